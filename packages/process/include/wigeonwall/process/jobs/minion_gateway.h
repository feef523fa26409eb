/// \file
/// \brief Task queue and HTTP client of one minion.
#ifndef WIGEONWALL_PROCESS_JOBS_MINION_GATEWAY_H
#define WIGEONWALL_PROCESS_JOBS_MINION_GATEWAY_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/process/jobs/dispatch_policy.h"
#include "wigeonwall/process/observation/job_traces.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/request/fair_queue.h"
#include "wigeonwall/request/health.h"
#include "wigeonwall/request/start_deduplicator.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace wigeonwall::process {

/// \brief A task that is queued or running on the minion.
struct GatewayTask {
  request::JobKey Job_;
  request::TaskIndex Task_ = 0;
  /// Number of tasks in the job, on all agents.
  std::uint32_t JobTasks_ = 1;
  std::uint32_t Attempt_ = 0;
  std::string Kind_;
  request::HomeIdentity Home_;
  request::TimePoint Deadline_;
  std::chrono::milliseconds DeclaredRun_{0};
  bool NonIdempotent_ = false;
  Json::Value Payload_;
  request::TimePoint QueuedAt_;
  TaskTrace Trace_;
};

/// \brief Outcome of a call to the minion.
struct MinionReply {
  request::TaskResult Result_;
  request::MinionOutcome Outcome_ = request::MinionOutcome::Success;
};

/// \brief Sends a task to the minion; \p Done is called once, asynchronously.
using MinionCall = std::function<void(const GatewayTask &Task,
                                      std::chrono::milliseconds Timeout,
                                      std::function<void(MinionReply)> Done)>;

/// \brief Admits, queues and runs the tasks of one minion, and resends each
/// result to the task's home until the home acknowledges it.
class MinionGateway {
public:
  MinionGateway(AgentContext Context, const AgentSettings &Options,
                DispatchPolicy &Policy, MinionCall Call);

  /// \brief Handles `task.start`.
  [[nodiscard]] Json::Value start(const Json::Value &Params);
  /// \brief Handles `task.cancel`.
  [[nodiscard]] Json::Value cancel(const Json::Value &Params);

  /// \brief Refuses new tasks and returns queued ones to their homes as not
  /// started.
  void beginLeaving();
  /// \brief Drops queued tasks whose deadline has passed; call periodically.
  void tick();
  /// \brief Applies the kinds of a new configuration and refuses start
  /// messages of older epochs from now on.
  void onViewChange();
  /// \brief True if no task is queued or running and no result is
  /// unacknowledged.
  [[nodiscard]] bool idle() const noexcept;

private:
  [[nodiscard]] Json::Value admit(const Json::Value &Item,
                                  const request::HomeIdentity &Home,
                                  std::uint64_t Epoch);
  [[nodiscard]] request::Reason
  enqueue(std::uint64_t Ticket, const GatewayTask &Task, bool EjectionKnown);
  void startNext();
  void dropExpired(std::uint64_t Ticket);
  void run(std::uint64_t Ticket);
  void finish(std::uint64_t Ticket, request::TimePoint StartedAt,
              request::HealthTracker::Ticket HealthTicket, MinionReply Reply);
  [[nodiscard]] request::AgentLoad load();
  void returnUnstarted(const std::vector<request::QueuedTask> &Tasks,
                       request::Reason Why);
  void reportResult(const GatewayTask &Task, const request::TaskResult &Result);
  void sendResult(const request::HomeIdentity &Home, const Json::Value &Item);

  AgentContext Context_;
  std::string Service_;
  request::FairQueue Queue_;
  DispatchPolicy &Policy_;
  request::HealthTracker Health_;
  MinionCall Call_;
  request::StartDeduplicator StartDeduplicator_;
  CallBatcher Results_;
  GatewayMetrics Metrics_;
  std::unordered_map<std::uint64_t, GatewayTask> Queued_;
  std::unordered_map<std::uint64_t, GatewayTask> Running_;
  std::uint64_t ConfigVersion_ = 0;
  std::uint64_t NextTicket_ = 1;
  std::size_t UnacknowledgedResults_ = 0;
  bool Leaving_ = false;
};

/// \brief Returns a MinionCall that sends HTTP `POST /run`.
[[nodiscard]] MinionCall
makeHttpMinionCall(std::shared_ptr<connection::HttpClient> Client,
                   connection::Endpoint Minion);

} // namespace wigeonwall::process

#endif
