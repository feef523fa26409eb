/// \file
/// \brief Queue and connections in front of one minion.
#ifndef WIGEONWALL_PROCESS_MINION_GATEWAY_H
#define WIGEONWALL_PROCESS_MINION_GATEWAY_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/process/agent_context.h"
#include "wigeonwall/request/start_gate.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace wigeonwall::process {

/// \brief A task between its start message and its result.
struct GatewayTask {
  request::JobKey Job_;
  request::TaskIndex Task_ = 0;
  std::uint32_t Attempt_ = 0;
  std::string Kind_;
  request::HomeIdentity Home_;
  request::TimePoint Deadline_;
  std::chrono::milliseconds DeclaredRun_{0};
  bool NonIdempotent_ = false;
  Json::Value Payload_;
};

/// \brief Sends a task to the minion; the callback runs once, later.
using MinionCall = std::function<void(
    const GatewayTask &Task, std::chrono::milliseconds Timeout,
    std::function<void(request::TaskResult)> Done)>;

/// \brief Order in which queued tasks start; owner of the slots.
struct QueueHooks {
  /// Takes a task; a reason other than None refuses it.
  std::function<request::Reason(std::uint64_t Ticket, const GatewayTask &)>
      Push_;
  /// Returns the next task to start if a slot is free.
  std::function<std::optional<std::uint64_t>()> Pop_;
  /// A started task has ended.
  std::function<void(const GatewayTask &, request::Duration Run,
                     const request::TaskResult &)>
      Finish_;
  /// Removes a queued task.
  std::function<void(std::uint64_t Ticket)> Remove_;
  std::function<request::AgentLoad()> Load_;
};

/// \brief Admits, queues and runs the tasks of one minion, and returns each
/// result to its home until the home acknowledges it.
class MinionGateway {
public:
  MinionGateway(AgentContext Context, QueueHooks Queue, MinionCall Call);

  /// \brief Handles `task.start`.
  [[nodiscard]] Json::Value start(const Json::Value &Params);
  /// \brief Handles `task.cancel`.
  [[nodiscard]] Json::Value cancel(const Json::Value &Params);

  /// \brief Refuses new tasks and hands queued ones back as not started.
  void beginLeaving();
  /// \brief Ends queued tasks whose deadline has passed; called often.
  void tick();
  /// \brief Refuses start messages of older epochs from now on.
  void onViewChange();
  /// \brief True when nothing is queued, running or waiting to be delivered.
  [[nodiscard]] bool idle() const noexcept;

private:
  [[nodiscard]] Json::Value admit(const Json::Value &Item,
                                  const request::HomeIdentity &Home,
                                  std::uint64_t Epoch);
  void startNext();
  void run(std::uint64_t Ticket);
  void finish(std::uint64_t Ticket, request::TimePoint StartedAt,
              request::TaskResult Result);
  void handBack(std::uint64_t Ticket, request::Reason Why);
  void report(const GatewayTask &Task, const request::TaskResult &Result);
  void deliver(const request::HomeIdentity &Home, const Json::Value &Item);

  AgentContext Context_;
  QueueHooks Queue_;
  MinionCall Call_;
  request::StartGate Gate_;
  CallBatcher Results_;
  std::unordered_map<std::uint64_t, GatewayTask> Queued_;
  std::unordered_map<std::uint64_t, GatewayTask> Running_;
  std::uint64_t NextTicket_ = 1;
  std::size_t Undelivered_ = 0;
  bool Leaving_ = false;
};

/// \brief Calls a minion by HTTP `POST /run`.
[[nodiscard]] MinionCall
makeHttpMinionCall(std::shared_ptr<connection::HttpClient> Client,
                   connection::Endpoint Minion);

/// \brief First in, first out; one queue and one limit for all kinds.
[[nodiscard]] QueueHooks makeFifoQueue(unsigned Slots, std::size_t QueueLimit);

} // namespace wigeonwall::process

#endif
