/// \file
/// \brief Faults of a soak run: how each begins and ends.
#include "soak_run.h"

#include <csignal>

namespace wigeonwall::soak {

using standins::CallFault;

namespace {

constexpr Time StormInterval{60};
constexpr int StormVersions = 6;
constexpr Time HopDelay{80};
constexpr int FaultyCalls = 3;
constexpr request::Duration NormalRunTime = std::chrono::milliseconds(100);
constexpr request::Duration SlowRunTime = std::chrono::milliseconds(400);

bool isEntryFault(FaultKind Kind) {
  return Kind == FaultKind::KillEntry || Kind == FaultKind::PauseEntry ||
         Kind == FaultKind::StopEntry || Kind == FaultKind::ReloadEntry;
}

} // namespace

void SoakRun::inject(const Fault &Injected) {
  if (Injected.Kind_ <= FaultKind::ReloadEntry)
    injectProcessFault(Injected);
  else if (Injected.Kind_ <= FaultKind::SilenceHop)
    injectHopFault(Injected);
  else if (Injected.Kind_ <= FaultKind::StoreLapses)
    injectStoreFault(Injected);
  else if (Injected.Kind_ == FaultKind::ConfigStorm)
    for (int I = 0; I < StormVersions; ++I)
      schedule(StormInterval * I, [this] { publishNextVersion(); });
  else
    injectMinionFault(Injected);
}

void SoakRun::injectProcessFault(const Fault &Injected) {
  const bool TargetsEntry = isEntryFault(Injected.Kind_);
  const auto Process = [this](bool Entry, std::size_t I) -> auto & {
    return Entry ? Cluster_.entry(I) : Cluster_.agent(I);
  };
  const auto End = [this, Process](bool Entry, std::size_t I, int Signal,
                                   Time RestartDelay) {
    if (DownCounts_[{Entry, I}]++ == 0)
      Process(Entry, I).signal(Signal);
    schedule(RestartDelay, [this, Entry, I, Process] {
      if (--DownCounts_[{Entry, I}] > 0)
        return;
      if (Process(Entry, I).running())
        Cluster_.post([this] {
          Checker_.addViolation(now(),
                                "a process did not exit after its signal");
        });
      PauseCounts_[{Entry, I}] = 0;
      Entry ? Cluster_.startEntry(I) : Cluster_.startAgent(I);
    });
  };
  switch (Injected.Kind_) {
  case FaultKind::KillAll:
    for (std::size_t I = 0; I < Options_.Entries_; ++I)
      End(true, I, SIGKILL, Injected.Duration_);
    for (std::size_t I = 0; I < Options_.Agents_; ++I)
      End(false, I, SIGKILL, Injected.Duration_);
    return;
  case FaultKind::KillEntry:
  case FaultKind::KillAgent:
    return End(TargetsEntry, Injected.Target_, SIGKILL, Injected.Duration_);
  case FaultKind::StopEntry:
  case FaultKind::StopAgent:
    // A process paused by SIGSTOP cannot exit within the grace period.
    if (PauseCounts_[{TargetsEntry, Injected.Target_}] > 0)
      return;
    return End(TargetsEntry, Injected.Target_, SIGTERM,
               std::max(Injected.Duration_, GracePeriod));
  case FaultKind::PauseEntry:
  case FaultKind::PauseAgent: {
    const std::size_t I = Injected.Target_;
    if (DownCounts_[{TargetsEntry, I}] > 0)
      return;
    if (PauseCounts_[{TargetsEntry, I}]++ == 0)
      Process(TargetsEntry, I).signal(SIGSTOP);
    return schedule(Injected.Duration_, [this, TargetsEntry, I, Process] {
      if (PauseCounts_[{TargetsEntry, I}] > 0 &&
          --PauseCounts_[{TargetsEntry, I}] == 0)
        Process(TargetsEntry, I).signal(SIGCONT);
    });
  }
  default:
    if (DownCounts_[{true, Injected.Target_}] == 0)
      Cluster_.entry(Injected.Target_).signal(SIGHUP);
  }
}

void SoakRun::injectHopFault(const Fault &Injected) {
  standins::RelayFaults Faults;
  Faults.HoldRequests_ = Injected.Kind_ == FaultKind::CutRequests ||
                         Injected.Kind_ == FaultKind::SilenceHop;
  Faults.HoldReplies_ = Injected.Kind_ == FaultKind::CutReplies ||
                        Injected.Kind_ == FaultKind::SilenceHop;
  if (Injected.Kind_ == FaultKind::DelayHop)
    Faults.Delay_ = HopDelay;
  const bool IsReset = Injected.Kind_ == FaultKind::ResetHop;
  Cluster_.post([this, Injected, Faults, IsReset] {
    standins::DelayRelay &Relay =
        Cluster_.relay(Injected.Hop_, Injected.Target_);
    if (IsReset)
      return Relay.resetAll();
    Relay.setFaults(Faults);
  });
  if (!IsReset)
    schedule(Injected.Duration_, [this, Injected] {
      Cluster_.post([this, Injected] {
        Cluster_.relay(Injected.Hop_, Injected.Target_).setFaults({});
      });
    });
}

void SoakRun::injectStoreFault(const Fault &Injected) {
  Cluster_.post([this, Injected] {
    standins::PlatformStoreServer &Store = Cluster_.store();
    switch (Injected.Kind_) {
    case FaultKind::StoreBusy:
      Store.Unavailable_ = true;
      break;
    case FaultKind::StoreSilent:
      Store.Unresponsive_ = true;
      break;
    case FaultKind::StoreLosesReplies:
      Store.DropsReplies_ = true;
      break;
    case FaultKind::StoreForgets:
      Store.compactHistory();
      break;
    default:
      Store.expireAllLeases();
    }
  });
  schedule(Injected.Duration_, [this] {
    Cluster_.post([this] {
      standins::PlatformStoreServer &Store = Cluster_.store();
      Store.Unavailable_ = Store.Unresponsive_ = Store.DropsReplies_ = false;
    });
  });
}

void SoakRun::injectMinionFault(const Fault &Injected) {
  Cluster_.post([this, Injected] {
    standins::FakeRunMinion &Minion = Cluster_.minion(Injected.Target_);
    const std::string Task =
        standins::jobId(Options_.Seed_, LastJobNumber_) + "/0";
    switch (Injected.Kind_) {
    case FaultKind::MinionRestarts:
      return Minion.restart();
    case FaultKind::MinionUnreachable:
      Minion.Reachable_ = false;
      return;
    case FaultKind::MinionSlow:
      Minion.RunTime_ = SlowRunTime;
      return;
    case FaultKind::MinionLosesReplies:
      Minion.StartFaults_.assign(FaultyCalls, CallFault::ReplyLost);
      Minion.HoldFaults_.assign(FaultyCalls, CallFault::ReplyLost);
      Minion.StopFaults_.assign(FaultyCalls, CallFault::ReplyLost);
      return;
    case FaultKind::MinionAppliesLate:
      Minion.StartFaults_.assign(FaultyCalls, CallFault::AppliedLate);
      Minion.StopFaults_.assign(1, CallFault::AppliedLate);
      return;
    case FaultKind::TaskFails:
      Minion.FailingTasks_.insert(Task);
      return;
    default:
      Minion.StalledTasks_.insert(Task);
    }
  });
  schedule(Injected.Duration_, [this, Injected] {
    Cluster_.post([this, Injected] {
      standins::FakeRunMinion &Minion = Cluster_.minion(Injected.Target_);
      Minion.Reachable_ = true;
      Minion.RunTime_ = NormalRunTime;
    });
  });
}

} // namespace wigeonwall::soak
