/// \file
/// \brief An entry's view of the agents, and placement of tasks on them.
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
  /// Ratio of the run time outside the preferred rack to that inside.
  double RemotePenalty_ = 1.5;
};

/// \brief Agent chosen for one task, with the prediction for it.
struct TaskPlacement {
  std::string Agent_;
  /// Run time on a minion of nominal speed in that rack.
  Duration Expected_{};
  /// Predicted time until the task ends, including the wait.
  Duration Finish_{};
  /// Predicted queueing delay at the minion.
  Duration Wait_{};
};

/// \brief Places tasks where they are predicted to end first.
///
/// Many entries may place bursts of parallel tasks on the same minions before
/// the next reports arrive. An entry therefore adds the tasks it has sent to
/// the reports that do not include them yet, and breaks near ties at random, so
/// that entries with the same reports choose different minions.
class FleetView {
public:
  /// Returns a random number in [0, 1).
  using Random = std::function<double()>;

  FleetView(FleetViewOptions Options, Random RandomNumber)
      : Options_(Options), Random_(std::move(RandomNumber)) {}

  void onReport(const std::string &Agent, AgentReport Report);
  /// \brief Removes an unreachable agent; no task is placed there.
  void remove(const std::string &Agent);
  /// \brief Records a task sent to an agent in the message \p Sequence.
  void onTaskSent(const std::string &Agent, std::uint64_t Sequence,
                  const Resources &Needs, Duration Expected);

  /// \brief Chooses an agent for each of \p Count tasks of \p Job.
  ///
  /// Returns an empty list if any task has no suitable minion. \p Avoid names
  /// an agent that is chosen only as a last resort. \p Placed contains the
  /// number of tasks already placed per agent, for BatchJob::MaxPerMinion_.
  [[nodiscard]] std::vector<TaskPlacement>
  place(const BatchJob &Job, const std::string &Service, std::uint32_t Count,
        Duration Slack, const std::string &Avoid,
        const std::map<std::string, std::uint32_t> &Placed);

private:
  /// A task that was sent but is not included in the agent's report yet.
  struct UnreportedTask {
    std::uint64_t Sequence_ = 0;
    Resources Needs_;
    double MillicoreSeconds_ = 0;
  };
  struct Agent {
    AgentReport Report_;
    std::deque<UnreportedTask> Unreported_;
  };
  /// An agent that can take tasks of the job being placed.
  struct Candidate {
    std::string Name_;
    const AgentReport *Report_ = nullptr;
    Resources Free_;
    /// Queued work that the report does not include.
    double ExtraMillicoreSeconds_ = 0;
    Duration Expected_{};
    Duration BaseWait_{};
    /// Number of tasks of the job that it may still get.
    std::uint32_t TasksAllowed_ = 0;

    [[nodiscard]] Duration wait(const Resources &Needs) const;
    /// Share of the CPU in use; may exceed 1.
    [[nodiscard]] double cpuUtilization() const;
  };

  std::vector<Candidate>
  candidates(const BatchJob &Job, const std::string &Service, Duration Slack,
             const std::map<std::string, std::uint32_t> &Placed) const;

  FleetViewOptions Options_;
  Random Random_;
  std::map<std::string, Agent> Agents_;
};

} // namespace wigeonwall::request

#endif
