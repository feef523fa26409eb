/// \file
/// \brief Homes, minion gateways and entries connected by a FakeNetwork;
/// records every task start and every answer.
#ifndef WIGEONWALL_STANDINS_JOB_CLUSTER_H
#define WIGEONWALL_STANDINS_JOB_CLUSTER_H

#include "standins/fake_network.h"

#include "wigeonwall/process/jobs/entry.h"
#include "wigeonwall/process/jobs/home.h"
#include "wigeonwall/process/jobs/minion_gateway.h"
#include "wigeonwall/process/observation/trace.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwall::standins {

/// \brief One answer that a caller received.
struct ReceivedAnswer {
  request::JobKey Key_;
  request::JobAnswer Answer_;
  request::TimePoint When_;
};

/// \brief Agents "a0".."aN" in failure domains "d0".."dM" and entries
/// "e0".."eK" of the service "permit-desk".
///
/// Membership and the map are set by the test, for all processes at once or
/// for some of them.
class JobCluster {
public:
  struct Shape {
    unsigned Agents_ = 4;
    unsigned Domains_ = 3;
    unsigned Entries_ = 2;
    unsigned Slots_ = 8;
    /// File for the spans of all processes, complete once the cluster is
    /// destroyed; no tracing if empty.
    std::string TraceFile_ = {};
  };

  explicit JobCluster(Shape Size);
  ~JobCluster();
  JobCluster(const JobCluster &) = delete;
  JobCluster &operator=(const JobCluster &) = delete;

  [[nodiscard]] VirtualTime &time() noexcept { return Time_; }
  [[nodiscard]] FakeNetwork &network() noexcept { return Network_; }
  /// \brief Counters shared by all processes.
  [[nodiscard]] process::Counters &counters() noexcept { return Counters_; }

  /// \brief A job of \p Tasks tasks that run for \p WorkMs each.
  [[nodiscard]] request::JobSpec
  job(const std::string &Id, unsigned Tasks, unsigned WorkMs,
      std::chrono::milliseconds Timeout = std::chrono::seconds(30)) const;
  /// \brief Submits through an entry; answers go to answers().
  void submit(const std::string &Entry, const request::JobSpec &Spec,
              const std::string &TraceParent = {});
  void cancel(const std::string &Entry, const request::JobKey &Key);

  [[nodiscard]] std::string homeOf(const request::JobSpec &Spec) const;
  [[nodiscard]] std::string copyOf(const request::JobSpec &Spec) const;

  /// \brief Kills a process; changes neither membership nor map.
  void kill(const std::string &Id);
  /// \brief Marks an agent as dead in the views of the given processes (all if
  /// empty).
  void announceDead(const std::string &Id,
                    const std::vector<std::string> &Observers = {});
  /// \brief Removes an agent from the map, as seen by the given processes.
  void removeFromMap(const std::string &Id,
                     const std::vector<std::string> &Observers = {});
  /// \brief Publishes the newest map to the given processes.
  void publishMap(const std::vector<std::string> &Observers);
  /// \brief Adds an agent that was removed by mistake to the map again, for all
  /// processes.
  void rejoin(const std::string &Id);
  /// \brief Replaces an agent by a new incarnation and updates the map.
  void restart(const std::string &Id);
  void beginLeaving(const std::string &Id);
  [[nodiscard]] bool drained(const std::string &Id) const;

  /// \brief Number of starts by "JOB/TASK", over all minions.
  [[nodiscard]] const std::map<std::string, unsigned> &starts() const noexcept {
    return Starts_;
  }
  [[nodiscard]] unsigned startsOf(const std::string &JobId) const;
  [[nodiscard]] const std::vector<ReceivedAnswer> &answers() const noexcept {
    return Answers_;
  }
  [[nodiscard]] std::size_t submissions() const noexcept {
    return Submissions_;
  }
  /// \brief Returns each violated guarantee: duplicate starts, partial or
  /// crossed answers, jobs that ran in spite of `not_run`.
  [[nodiscard]] std::vector<std::string> violations() const;

private:
  struct AgentNode;
  struct EntryNode;
  using View = std::shared_ptr<const process::ClusterView>;

  [[nodiscard]] process::AgentContext context(const std::string &Id);
  void addAgent(const std::string &Id);
  void addEntry(const std::string &Id);
  void tick(const std::string &Id);
  [[nodiscard]] process::MinionCall minion(const std::string &Id);
  void changeViews(const std::vector<std::string> &Observers,
                   const std::function<void(process::ClusterView &)> &Edit);
  [[nodiscard]] std::vector<std::string> allIds() const;
  [[nodiscard]] std::int64_t wallMs() const;
  [[nodiscard]] const process::Tracer *trace(const std::string &Id);

  Shape Shape_;
  VirtualTime Time_;
  FakeNetwork Network_;
  process::Counters Counters_;
  std::unique_ptr<process::SpanFile> SpanFile_;
  std::map<std::string, std::unique_ptr<process::Tracer>> Traces_;
  version::AgentMap Map_;
  std::map<std::string, View> Views_;
  std::map<std::string, std::int64_t> Incarnations_;
  std::map<std::string, std::unique_ptr<AgentNode>> Agents_;
  /// Ended processes; their timers still refer to them.
  std::vector<std::unique_ptr<AgentNode>> Ended_;
  std::map<std::string, std::unique_ptr<EntryNode>> Entries_;
  std::map<std::string, unsigned> Starts_;
  std::vector<ReceivedAnswer> Answers_;
  std::size_t Submissions_ = 0;
};

} // namespace wigeonwall::standins

#endif
