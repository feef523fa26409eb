/// \file
/// \brief An entry's view of the agents, and placement of tasks on them.
#ifndef WIGEONWALL_REQUEST_FLEET_VIEW_H
#define WIGEONWALL_REQUEST_FLEET_VIEW_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/batch_job.h"
#include "wigeonwall/request/placement_cost.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::request {

struct PlacementExplanation;
enum class Exclusion : std::uint8_t;
namespace detail {

/// \brief Capacity of one agent over time, with the tasks that the entry adds.
class PlacementProfile {
public:
  PlacementProfile() = default;
  /// \p Reported has to outlive this object; it is copied only when a task is
  /// added. \p Age is the time since the report.
  PlacementProfile(const CapacityProfile &Reported, Duration Age);

  [[nodiscard]] bool empty() const noexcept { return Reported_ == nullptr; }
  /// \brief Adds a task that was sent \p Ago and is not in the report.
  void addSent(const Resources &Needs, Duration RunTime, Duration Ago);
  /// \brief Predicts the wait of a task that is sent now.
  void predict(const Resources &Needs, Duration RunTime);
  /// \brief Adds a task with the predicted wait.
  void addPredicted(const Resources &Needs, Duration RunTime);
  /// \brief Result of the last call of predict().
  [[nodiscard]] Duration wait() const noexcept { return Wait_; }

private:
  [[nodiscard]] const CapacityProfile &steps() const noexcept {
    return Changed_ ? *Changed_ : *Reported_;
  }
  void take(const Resources &Needs, Duration Start, Duration RunTime);

  const CapacityProfile *Reported_ = nullptr;
  std::optional<CapacityProfile> Changed_;
  Duration Age_{};
  Duration Wait_{};
};

} // namespace detail

struct FleetViewOptions {
  /// Ratio of the run time outside the preferred rack to that inside.
  double RemotePenalty_ = 1.5;
  /// Maximum age of an answer to a query that is used for placement, if the
  /// agent does not report each change. Short tasks last 50 ms, so older
  /// figures say little.
  Duration MaxReportAge_ = std::chrono::milliseconds(25);
  /// Time after which an agent that has not answered a query is only asked
  /// again when it has sent a report.
  Duration QueryTimeout_ = std::chrono::milliseconds(15);
  /// See PlacementCost.
  double ContentionWeight_ = 0;
  /// Predict waits from the profiles of the reports, where there are any.
  bool LookAhead_ = false;
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

/// \brief Maximum predicted completion time and wait of several placements.
struct PlacementMaxima {
  Duration Finish_{};
  Duration Wait_{};
};

[[nodiscard]] PlacementMaxima
maximaOf(const std::vector<TaskPlacement> &Places);

/// \brief Places tasks where they are predicted to end first.
///
/// Many entries may place bursts of parallel tasks on the same minions before
/// the next reports arrive. An entry therefore adds the tasks it has sent to
/// the reports that do not include them yet, and breaks near ties at random, so
/// that entries with the same reports choose different minions.
///
/// With many entries, agents do not report each change to all of them. Only
/// agents with a current report are considered then; agentsToQuery() names a
/// random sample of the others, whose reports the caller has to request. The
/// cost of a placement so depends on the job, not on the size of the fleet.
class FleetView {
public:
  /// Returns a random number in [0, 1).
  using Random = std::function<double()>;

  FleetView(FleetViewOptions Options, Clock Now, Random RandomNumber)
      : Options_(Options), Now_(std::move(Now)),
        Random_(std::move(RandomNumber)), Cost_(Options.ContentionWeight_) {}

  /// \brief Sets the age that reports reach before they are replaced.
  void setReportAge(Duration Age) noexcept { Cost_.setFigureAge(Age); }

  void onReport(const std::string &Agent, AgentReport Report);
  /// \brief Removes an unreachable agent; no task is placed there.
  void remove(const std::string &Agent);
  /// \brief Sets the failure domains on whose agents no task is placed.
  void setEvacuatedDomains(std::set<std::string> Domains) {
    EvacuatedDomains_ = std::move(Domains);
  }
  /// \brief Records a task sent to an agent in the message \p Sequence.
  void onTaskSent(const std::string &Agent, std::uint64_t Sequence,
                  const Resources &Needs, Duration Expected);

  /// \brief Chooses agents without a current report to query before \p Count
  /// tasks of \p Job are placed: first those in the preferred rack, then others
  /// at random. Records them as queried.
  ///
  /// Returns an empty list if all suitable agents have a current report or have
  /// not answered an earlier query.
  [[nodiscard]] std::vector<std::string>
  agentsToQuery(const BatchJob &Job, const std::string &Service,
                std::uint32_t Count);
  /// \brief Returns true if every task can start at once in the job's preferred
  /// rack, so that querying further agents cannot find better places.
  [[nodiscard]] static bool
  canStartAtOnce(const BatchJob &Job, const std::vector<TaskPlacement> &Places);

  /// \brief Chooses an agent for each of \p Count tasks of \p Job, among the
  /// agents with a current report.
  ///
  /// Returns an empty list if any task has no suitable minion. \p Avoid names
  /// an agent that is chosen only as a last resort. \p Placed contains the
  /// number of tasks already placed per agent, for BatchJob::MaxPerMinion_.
  [[nodiscard]] std::vector<TaskPlacement>
  place(const BatchJob &Job, const std::string &Service, std::uint32_t Count,
        Duration Slack, const std::string &Avoid,
        const std::map<std::string, std::uint32_t> &Placed);

  /// \brief Explains the placement of a new job by the present reports, with
  /// all agents that are ruled out. Nothing is queried or recorded.
  [[nodiscard]] PlacementExplanation explain(const BatchJob &Job,
                                             const std::string &Service,
                                             Duration Slack) const;

private:
  /// A task that was sent but is not included in the agent's report yet.
  struct UnreportedTask {
    std::uint64_t Sequence_ = 0;
    Resources Needs_;
    double MillicoreSeconds_ = 0;
    Duration Expected_{};
    TimePoint SentAt_;
  };
  struct Agent {
    AgentReport Report_;
    TimePoint ReportedAt_;
    /// Time of the last report that answered a query. Other reports reach all
    /// entries at the same time; if they were used, all entries would choose
    /// the same few agents.
    TimePoint AnsweredAt_;
    /// Time of the last query; zero if a report has arrived since.
    TimePoint QueriedAt_;
    std::deque<UnreportedTask> Unreported_;
  };
  /// An agent that can take tasks of the job being placed.
  struct Candidate {
    /// Refers to the key in Agents_.
    std::string_view Name_;
    const AgentReport *Report_ = nullptr;
    Resources Free_;
    /// Queued work that the report does not include.
    double ExtraMillicoreSeconds_ = 0;
    Duration Expected_{};
    Duration BaseWait_{};
    /// Number of tasks of the job that it may still get.
    std::uint32_t TasksAllowed_ = 0;
    /// Empty if the wait is predicted from BaseWait_.
    detail::PlacementProfile Profile_;

    [[nodiscard]] Duration wait(const Resources &Needs) const;
    [[nodiscard]] Duration runTime() const {
      return fromSeconds(toSeconds(Expected_) * Report_->Slowness_);
    }
    /// Share of the CPU in use; may exceed 1.
    [[nodiscard]] double cpuUtilization() const;
  };

  /// Returns why no task of \p Job may be placed on the agent, whatever the age
  /// of its report.
  [[nodiscard]] Exclusion exclusionOf(const BatchJob &Job,
                                      const std::string &Service,
                                      const AgentReport &Report) const;
  [[nodiscard]] bool isSuitable(const BatchJob &Job, const std::string &Service,
                                const AgentReport &Report) const;
  [[nodiscard]] bool isCurrent(const Agent &Known) const;
  std::vector<Candidate>
  candidates(const BatchJob &Job, const std::string &Service, Duration Slack,
             const std::map<std::string, std::uint32_t> &Placed) const;

  FleetViewOptions Options_;
  Clock Now_;
  Random Random_;
  PlacementCost Cost_;
  std::map<std::string, Agent> Agents_;
  std::set<std::string> EvacuatedDomains_;
};

} // namespace wigeonwall::request

#endif
