/// \file
/// \brief An entry's picture of the fleet, and its choice of minions for a job.
#ifndef WIGEONWALL_REQUEST_FLEET_VIEW_H
#define WIGEONWALL_REQUEST_FLEET_VIEW_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/batch_job.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::request {

struct FleetViewOptions {
  /// Run time away from the preferred rack over run time on it.
  double RemotePenalty_ = 1.5;
};

/// \brief Place of one task.
struct TaskPlacement {
  std::string Agent_;
  /// Run time on a nominal minion at that place.
  Duration Expected_{};
  /// Predicted time until the task ends, waiting included.
  Duration Finish_{};
  /// Predicted wait at the minion.
  Duration Wait_{};
};

/// \brief Places tasks where they are predicted to end first.
///
/// The load answered is many entries that place bursts of parallel tasks on
/// the same minions within the delay of a report: an entry adds its own orders
/// that a report does not include yet, and breaks near ties at random, so that
/// entries with the same picture do not choose alike.
class FleetView {
public:
  /// Returns a number from 0 up to 1.
  using Random = std::function<double()>;

  FleetView(FleetViewOptions Options, Random Draw)
      : Options_(Options), Draw_(std::move(Draw)) {}

  void onReport(const std::string &Agent, AgentReport Report);
  /// \brief The agent cannot be reached; no task is placed there.
  void remove(const std::string &Agent);
  /// \brief Notes an order that the message \p Sequence carries.
  void onTaskSent(const std::string &Agent, std::uint64_t Sequence,
                  const Resources &Needs, Duration Expected);

  /// \brief Chooses a place for each of \p Count tasks of \p Job; empty when
  /// some task has no minion at all. \p Avoid names an agent that gets a task
  /// only if no other can take it; \p Placed counts tasks per agent already
  /// there, for the bound per minion.
  [[nodiscard]] std::vector<TaskPlacement>
  place(const BatchJob &Job, const std::string &Service, std::uint32_t Count,
        Duration Slack, const std::string &Avoid,
        const std::map<std::string, std::uint32_t> &Placed);

private:
  struct UnseenOrder {
    std::uint64_t Sequence_ = 0;
    Resources Needs_;
    double MillicoreSeconds_ = 0;
  };
  struct Agent {
    AgentReport Report_;
    std::deque<UnseenOrder> Unseen_;
  };
  /// An agent while tasks of one job are dealt out.
  struct Candidate {
    std::string Name_;
    const AgentReport *Report_ = nullptr;
    Resources Free_;
    /// Work that waits beyond what the report includes.
    double ExtraMillicoreSeconds_ = 0;
    Duration Expected_{};
    Duration BaseWait_{};
    std::uint32_t Room_ = 0;

    [[nodiscard]] Duration wait(const Resources &Needs) const;
    /// Share of the processor in use, over 1 with a queue.
    [[nodiscard]] double fill() const;
  };

  std::vector<Candidate>
  candidates(const BatchJob &Job, const std::string &Service, Duration Slack,
             const std::map<std::string, std::uint32_t> &Placed) const;

  FleetViewOptions Options_;
  Random Draw_;
  std::map<std::string, Agent> Agents_;
};

} // namespace wigeonwall::request

#endif
