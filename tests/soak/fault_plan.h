/// \file
/// \brief Random fault schedule of a soak run, determined by its seed.
#ifndef WIGEONWALL_SOAK_FAULT_PLAN_H
#define WIGEONWALL_SOAK_FAULT_PLAN_H

#include "standins/platform_cluster.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::soak {

using Time = std::chrono::milliseconds;

enum class FaultKind : std::uint8_t {
  KillEntry,
  KillAgent,
  KillAll,
  PauseEntry,
  PauseAgent,
  StopEntry,
  StopAgent,
  ReloadEntry,
  DelayHop,
  ResetHop,
  CutRequests,
  CutReplies,
  SilenceHop,
  StoreBusy,
  StoreSilent,
  StoreLosesReplies,
  StoreForgets,
  StoreLapses,
  MinionRestarts,
  MinionUnreachable,
  MinionSlow,
  MinionLosesReplies,
  MinionAppliesLate,
  TaskFails,
  TaskStands,
  ConfigStorm,
};

inline constexpr std::array<request::EnumName<FaultKind>, 26> FaultKindNames{{
    {FaultKind::KillEntry, "kill_entry"},
    {FaultKind::KillAgent, "kill_agent"},
    {FaultKind::KillAll, "kill_all"},
    {FaultKind::PauseEntry, "pause_entry"},
    {FaultKind::PauseAgent, "pause_agent"},
    {FaultKind::StopEntry, "stop_entry"},
    {FaultKind::StopAgent, "stop_agent"},
    {FaultKind::ReloadEntry, "reload_entry"},
    {FaultKind::DelayHop, "delay_hop"},
    {FaultKind::ResetHop, "reset_hop"},
    {FaultKind::CutRequests, "cut_requests"},
    {FaultKind::CutReplies, "cut_replies"},
    {FaultKind::SilenceHop, "silence_hop"},
    {FaultKind::StoreBusy, "store_busy"},
    {FaultKind::StoreSilent, "store_silent"},
    {FaultKind::StoreLosesReplies, "store_loses_replies"},
    {FaultKind::StoreForgets, "store_forgets"},
    {FaultKind::StoreLapses, "store_lapses"},
    {FaultKind::MinionRestarts, "minion_restarts"},
    {FaultKind::MinionUnreachable, "minion_unreachable"},
    {FaultKind::MinionSlow, "minion_slow"},
    {FaultKind::MinionLosesReplies, "minion_loses_replies"},
    {FaultKind::MinionAppliesLate, "minion_applies_late"},
    {FaultKind::TaskFails, "task_fails"},
    {FaultKind::TaskStands, "task_stands"},
    {FaultKind::ConfigStorm, "config_storm"},
}};

struct Fault {
  FaultKind Kind_ = FaultKind::KillEntry;
  /// Offset from the start of the load.
  Time StartsAt_{0};
  /// Time until the fault is removed or the process is restarted.
  Time Duration_{0};
  /// Index of the affected entry or agent, depending on the kind and the hop.
  std::size_t Target_ = 0;
  standins::Hop Hop_ = standins::Hop::CallerToEntry;

  [[nodiscard]] std::string describe() const;
};

struct SoakOptions {
  std::uint32_t Seed_ = 1;
  /// Length of the load with faults, and of the fault-free load that follows.
  Time FaultPhase_{10'000};
  Time FaultFreePhase_{8'000};
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 4;
  std::uint16_t FirstPort_ = 30'000;
  /// Directory in which process logs are kept; they are discarded when empty.
  std::string LogDirectory_;
};

/// \brief Generates faults in order of start time. Some are repeated on one
/// target, and faults may overlap.
[[nodiscard]] std::vector<Fault> makeFaultPlan(const SoakOptions &Options);

} // namespace wigeonwall::soak

#endif
