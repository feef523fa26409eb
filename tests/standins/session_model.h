/// \file
/// \brief Model of entries, agents and minions in virtual time, with callers
/// that resubmit their jobs and faults from a seed.
///
/// Dispatchers, agents, trackers and the timeouts of the links are those of the
/// product; the model replaces sockets and processes. It finds orders of events
/// in which a task runs twice at a time.
#ifndef WIGEONWALL_STANDINS_SESSION_MODEL_H
#define WIGEONWALL_STANDINS_SESSION_MODEL_H

#include "standins/fake_run_minion.h"
#include "wigeonwall/process/dispatch/job_dispatcher.h"
#include "wigeonwall/process/dispatch/link_timing.h"

#include <random>
#include <set>
#include <tuple>

namespace wigeonwall::standins {

/// \brief Faults that a run may contain.
enum class ModelFault : std::uint8_t {
  PauseEntry,
  PauseAgent,
  KillEntry,
  KillAgent,
  /// Messages of one direction of a link arrive only when the fault ends.
  HoldOrders,
  HoldReports,
  MinionRestarts,
  MinionUnreachable,
  StartsAppliedLate,
  StopsLost,
  /// An agent receives a well-formed report of a process that does not exist.
  ForeignReport,
  /// An agent receives a notice that its minion leaves, which goes on.
  ForeignLeave,
};

inline constexpr std::size_t ModelFaultCount = 12;

struct SessionModelOptions {
  std::uint32_t Seed_ = 1;
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 3;
  int Faults_ = 6;
  request::Duration Span_ = std::chrono::seconds(12);
};

struct SessionModelResult {
  /// Tasks that ran twice at a time, and minions over their capacity.
  std::vector<std::string> Violations_;
  int Completed_ = 0;
  int Jobs_ = 0;
};

/// \brief Plays one seed.
class SessionModel {
public:
  explicit SessionModel(SessionModelOptions Options);
  ~SessionModel();

  [[nodiscard]] SessionModelResult run();

private:
  struct Process;
  struct Owner;
  struct Agent;
  struct Session;
  struct Entry;

  [[nodiscard]] std::size_t below(std::size_t Limit);
  [[nodiscard]] request::Duration between(request::Duration Min,
                                          request::Duration Max);
  [[nodiscard]] std::int64_t clockMs() const;
  /// Runs \p Action in a process after \p Delay: not before the end of a pause,
  /// and not at all if the process has ended.
  void deliver(Process &To, request::Duration Delay,
               std::function<void()> Action);
  /// Delay of a message between an entry and an agent.
  [[nodiscard]] request::Duration delay(std::size_t EntryIndex,
                                        std::size_t AgentIndex, bool ToAgent);
  void startAgent(std::size_t Index);
  void startEntry(std::size_t Index);
  void sendMinionReport(std::size_t Index);
  void hello(std::size_t EntryIndex, std::size_t AgentIndex);
  void endSession(std::size_t EntryIndex, std::size_t AgentIndex);
  void onOrder(std::size_t AgentIndex, const std::string &Owner,
               const process::dispatch::RunOrder &Order);
  void removeOwner(Agent &From, const std::string &Name);
  void sendOutcome(std::size_t AgentIndex, const std::string &Owner,
                   const process::dispatch::RunOutcome &Outcome);
  void sendReport(std::size_t AgentIndex, const std::string &Owner);
  void tickAgent(std::size_t Index);
  void tickEntry(std::size_t Index);
  void inject(ModelFault Fault);
  void pause(Process &Paused, request::Duration Span);
  void submit(const request::BatchJob &Job, int Attempt);

  SessionModelOptions Options_;
  process::dispatch::LinkTiming Timing_;
  VirtualTime Time_;
  std::mt19937 Random_;
  std::vector<std::unique_ptr<Agent>> Agents_;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::vector<std::unique_ptr<FakeRunMinion>> Minions_;
  /// End of the fault that holds up messages, by entry, agent and direction.
  std::map<std::tuple<std::size_t, std::size_t, bool>, request::TimePoint>
      HeldUntil_;
  /// Minions on which a task is running.
  std::map<std::string, std::set<std::size_t>> Active_;
  std::uint64_t LastNumber_ = 0;
  SessionModelResult Result_;
};

} // namespace wigeonwall::standins

#endif
