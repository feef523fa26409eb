#include "soak_run.h"

#include <csignal>
#include <thread>

namespace wigeonwall::soak {

using connection::HttpResult;
using standins::CallFault;
using standins::Hop;
using standins::PlatformCluster;

namespace {

constexpr Time StartTimeout{8'000};
constexpr Time StepPeriod{5};
/// Pause between jobs; one second in five comes as a burst.
constexpr Time JobPeriod{40};
constexpr Time BurstPeriod{8};
constexpr Time BurstEvery{5'000};
constexpr Time BurstLength{1'000};
constexpr int MostTasks = 4;
/// One caller in this many leaves before its answer.
constexpr int LeavingShare = 25;
constexpr Time LeavesAfter{150};
constexpr Time Deadline{3'000};
constexpr Time Patience{3'500};
/// The platform's `resend_ms`, and submissions of one job.
constexpr Time ResendAfter{1'300};
constexpr std::size_t MostAttempts = 3;
/// The platform's `config_apply_ms`.
constexpr Time ConfigBound{3'000};
constexpr Time ConfigPeriod{2'500};
constexpr Time StormPause{60};
constexpr int StormVersions = 6;
/// The platform's `contact_ms`: after it a recovered system serves as before.
constexpr Time CalmAfter{4'000};
/// From a SIGTERM to the end of a process; the cluster sets 3.5 s.
constexpr Time GracePeriod{3'500};
/// The last ends are acknowledged and leases have lapsed by then.
constexpr Time SettleTime{2'500};
constexpr Time HopDelay{80};
constexpr int LostCalls = 3;
constexpr request::Duration SoundRunTime = std::chrono::milliseconds(100);
constexpr request::Duration SlowRunTime = std::chrono::milliseconds(400);
/// A minion's steady clock may run this slow.
constexpr int SlowClockPercent = 98;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

standins::PlatformClusterOptions clusterOptions(const SoakOptions &Options) {
  standins::PlatformClusterOptions Result;
  Result.Entries_ = Options.Entries_;
  Result.Agents_ = Options.Agents_;
  Result.FirstPort_ = Options.FirstPort_;
  Result.KeepLogsIn_ = Options.KeepLogsIn_;
  return Result;
}

bool isEntryFault(FaultKind Kind) {
  return Kind == FaultKind::KillEntry || Kind == FaultKind::PauseEntry ||
         Kind == FaultKind::StopEntry || Kind == FaultKind::ReloadEntry;
}

} // namespace

SoakRun::SoakRun(const SoakOptions &Options)
    : Options_(Options), Random_(Options.Seed_),
      Cluster_(clusterOptions(Options)), Plan_(makePlan(Options)),
      Ledger_(Plan_), StartedAt_(Clock::now()) {}

Time SoakRun::now() const {
  return std::chrono::duration_cast<Time>(Clock::now() - StartedAt_);
}

void SoakRun::later(Time Delay, std::function<void()> Act) {
  Due_.push_back({now() + Delay, std::move(Act)});
}

void SoakRun::actOnDue() {
  const Time Now = now();
  for (std::size_t I = 0; I < Due_.size();) {
    if (Due_[I].At_ > Now) {
      ++I;
      continue;
    }
    const auto Act = std::move(Due_[I].Act_);
    Due_.erase(Due_.begin() + static_cast<std::ptrdiff_t>(I));
    Act();
  }
}

void SoakRun::start() {
  watchMinions();
  Cluster_.configure(Version_);
  for (std::size_t I = 0; I < Options_.Agents_; ++I)
    Cluster_.startAgent(I);
  for (std::size_t I = 0; I < Options_.Entries_; ++I)
    Cluster_.startEntry(I);
  if (!Cluster_.waitReady(StartTimeout))
    throw std::runtime_error("the system did not get ready");
}

void SoakRun::watchMinions() {
  Cluster_.run([this] {
    for (std::size_t I = 0; I < Options_.Agents_; ++I) {
      standins::FakeRunMinion &Minion = Cluster_.minion(I);
      if (I % 2 == 1)
        Minion.ClockPercent_ = SlowClockPercent;
      Minion.OnStart_ = [this, I](const std::string &Task) {
        Ledger_.onStart(now(), I, Task);
      };
      Minion.OnEnd_ = [this, I](const std::string &Task, request::RunEnd How) {
        Ledger_.onEnd(now(), I, Task, How);
      };
      // A run elsewhere may have ended just before a start.
      Cluster_.server(I).BeforeCall_ = [this] {
        for (std::size_t Other = 0; Other < Options_.Agents_; ++Other)
          Cluster_.server(Other).advance();
      };
    }
  });
}

void SoakRun::inject(const Fault &Which) {
  if (Which.Kind_ <= FaultKind::ReloadEntry)
    injectProcessFault(Which);
  else if (Which.Kind_ <= FaultKind::SilenceHop)
    injectHopFault(Which);
  else if (Which.Kind_ <= FaultKind::StoreLapses)
    injectStoreFault(Which);
  else if (Which.Kind_ == FaultKind::ConfigStorm)
    for (int I = 0; I < StormVersions; ++I)
      later(StormPause * I, [this] { configureNext(); });
  else
    injectMinionFault(Which);
}

void SoakRun::injectProcessFault(const Fault &Which) {
  const bool OfEntry = isEntryFault(Which.Kind_);
  const auto Process = [this](bool Entry, std::size_t I) -> auto & {
    return Entry ? Cluster_.entry(I) : Cluster_.agent(I);
  };
  const auto End = [this, Process](bool Entry, std::size_t I, int Signal,
                                   Time Back) {
    if (Down_[{Entry, I}]++ == 0)
      Process(Entry, I).signal(Signal);
    later(Back, [this, Entry, I, Process] {
      if (--Down_[{Entry, I}] > 0)
        return;
      if (Process(Entry, I).running())
        Cluster_.post([this] {
          Ledger_.addBreach(now(), "a process did not end after its signal");
        });
      Paused_[{Entry, I}] = 0;
      Entry ? Cluster_.startEntry(I) : Cluster_.startAgent(I);
    });
  };
  switch (Which.Kind_) {
  case FaultKind::KillAll:
    for (std::size_t I = 0; I < Options_.Entries_; ++I)
      End(true, I, SIGKILL, Which.For_);
    for (std::size_t I = 0; I < Options_.Agents_; ++I)
      End(false, I, SIGKILL, Which.For_);
    return;
  case FaultKind::KillEntry:
  case FaultKind::KillAgent:
    return End(OfEntry, Which.Target_, SIGKILL, Which.For_);
  case FaultKind::StopEntry:
  case FaultKind::StopAgent:
    // A frozen process cannot stop in time.
    if (Paused_[{OfEntry, Which.Target_}] > 0)
      return;
    return End(OfEntry, Which.Target_, SIGTERM,
               std::max(Which.For_, GracePeriod));
  case FaultKind::PauseEntry:
  case FaultKind::PauseAgent: {
    const std::size_t I = Which.Target_;
    if (Down_[{OfEntry, I}] > 0)
      return;
    if (Paused_[{OfEntry, I}]++ == 0)
      Process(OfEntry, I).signal(SIGSTOP);
    return later(Which.For_, [this, OfEntry, I, Process] {
      if (Paused_[{OfEntry, I}] > 0 && --Paused_[{OfEntry, I}] == 0)
        Process(OfEntry, I).signal(SIGCONT);
    });
  }
  default:
    if (Down_[{true, Which.Target_}] == 0)
      Cluster_.entry(Which.Target_).signal(SIGHUP);
  }
}

void SoakRun::injectHopFault(const Fault &Which) {
  standins::RelayFaults Faults;
  Faults.HoldRequests_ = Which.Kind_ == FaultKind::CutRequests ||
                         Which.Kind_ == FaultKind::SilenceHop;
  Faults.HoldReplies_ = Which.Kind_ == FaultKind::CutReplies ||
                        Which.Kind_ == FaultKind::SilenceHop;
  if (Which.Kind_ == FaultKind::DelayHop)
    Faults.Delay_ = HopDelay;
  const bool Reset = Which.Kind_ == FaultKind::ResetHop;
  Cluster_.post([this, Which, Faults, Reset] {
    standins::DelayRelay &Relay = Cluster_.relay(Which.Hop_, Which.Target_);
    if (Reset)
      return Relay.resetAll();
    Relay.setFaults(Faults);
  });
  if (!Reset)
    later(Which.For_, [this, Which] {
      Cluster_.post([this, Which] {
        Cluster_.relay(Which.Hop_, Which.Target_).setFaults({});
      });
    });
}

void SoakRun::injectStoreFault(const Fault &Which) {
  Cluster_.post([this, Which] {
    standins::PlatformStoreServer &Store = Cluster_.store();
    switch (Which.Kind_) {
    case FaultKind::StoreBusy:
      Store.Busy_ = true;
      break;
    case FaultKind::StoreSilent:
      Store.Silent_ = true;
      break;
    case FaultKind::StoreLosesReplies:
      Store.LosesReplies_ = true;
      break;
    case FaultKind::StoreForgets:
      Store.dropHistory();
      break;
    default:
      Store.dropLeases();
    }
  });
  later(Which.For_, [this] {
    Cluster_.post([this] {
      standins::PlatformStoreServer &Store = Cluster_.store();
      Store.Busy_ = Store.Silent_ = Store.LosesReplies_ = false;
    });
  });
}

void SoakRun::injectMinionFault(const Fault &Which) {
  Cluster_.post([this, Which] {
    standins::FakeRunMinion &Minion = Cluster_.minion(Which.Target_);
    const std::string Task = standins::jobId(Options_.Seed_, NextJob_) + "/0";
    switch (Which.Kind_) {
    case FaultKind::MinionRestarts:
      return Minion.restart();
    case FaultKind::MinionUnreachable:
      Minion.Reachable_ = false;
      return;
    case FaultKind::MinionSlow:
      Minion.RunTime_ = SlowRunTime;
      return;
    case FaultKind::MinionLosesReplies:
      Minion.StartFaults_.assign(LostCalls, CallFault::ReplyLost);
      Minion.HoldFaults_.assign(LostCalls, CallFault::ReplyLost);
      Minion.StopFaults_.assign(LostCalls, CallFault::ReplyLost);
      return;
    case FaultKind::MinionAppliesLate:
      Minion.StartFaults_.assign(LostCalls, CallFault::AppliedLate);
      Minion.StopFaults_.assign(1, CallFault::AppliedLate);
      return;
    case FaultKind::TaskFails:
      Minion.FailingTasks_.insert(Task);
      return;
    default:
      Minion.StalledTasks_.insert(Task);
    }
  });
  later(Which.For_, [this, Which] {
    Cluster_.post([this, Which] {
      standins::FakeRunMinion &Minion = Cluster_.minion(Which.Target_);
      Minion.Reachable_ = true;
      Minion.RunTime_ = SoundRunTime;
    });
  });
}

void SoakRun::submitNext() {
  const bool Leaves =
      std::uniform_int_distribution<int>(1, LeavingShare)(Random_) == 1;
  const int Tasks = std::uniform_int_distribution<int>(1, MostTasks)(Random_);
  const std::string Id = standins::jobId(Options_.Seed_, ++NextJob_);
  ++Open_;
  const std::size_t Entry =
      static_cast<std::size_t>(NextJob_) % Options_.Entries_;
  Cluster_.post([this, Id, Tasks, Leaves, Entry] {
    JobRecord &Which = Ledger_.job(Id);
    Which.Tasks_ = Tasks;
    Which.Deadline_ = Deadline;
    submit(Id, Entry, Leaves);
  });
}

void SoakRun::submit(const std::string &Id, std::size_t Entry, bool Leaves) {
  JobRecord &Which = Ledger_.job(Id);
  Attempt Next;
  Next.Entry_ = Entry;
  Next.SentAt_ = now();
  Next.LeavesEarly_ = Leaves;
  Which.Attempts_.push_back(Next);
  standins::CallerJob Job;
  Job.Id_ = Id;
  Job.Tasks_ = Which.Tasks_;
  Job.Deadline_ = Deadline;
  Job.Patience_ = Leaves ? LeavesAfter : Patience;
  Cluster_.submit(
      Entry, Job,
      [this, Id, Number = Which.Attempts_.size() - 1](
          const HttpResult &Result) { onAnswer(Id, Number, Result); });
}

void SoakRun::onAnswer(const std::string &Id, std::size_t Number,
                       const HttpResult &Result) {
  JobRecord &Which = Ledger_.job(Id);
  Attempt &Ended = Which.Attempts_.at(Number);
  Ended.EndedAt_ = now();
  Ended.Status_ = PlatformCluster::statusOf(Result);
  Ended.Completed_ =
      Ended.Status_ == StatusOk &&
      Result.Response_.Body_.find("completed") != std::string::npos;
  const bool Again = Ended.Status_ == 0 || Ended.Status_ == StatusBadGateway ||
                     Ended.Status_ == StatusGatewayTimeout;
  if (Ended.LeavesEarly_ || !Again || Which.Attempts_.size() >= MostAttempts) {
    --Open_;
    return;
  }
  const std::size_t Entry = (Ended.Entry_ + 1) % Options_.Entries_;
  Cluster_.after(ResendAfter, [this, Id, Entry] { submit(Id, Entry, false); });
}

void SoakRun::configureNext() {
  const int Version = ++Version_;
  const Time WrittenAt = now();
  Cluster_.configure(Version);
  for (std::size_t I = 0; I < Options_.Entries_; ++I)
    later(ConfigBound, [this, I, Version, WrittenAt] {
      if (Version == Version_)
        checkVersion(I, Version, WrittenAt);
    });
}

void SoakRun::checkVersion(std::size_t Entry, int Version, Time WrittenAt) {
  // An entry in touch has had the store all the while since the write.
  const Time Now = now();
  if (Ledger_.disturbed(Entry, WrittenAt, Now + Patience) ||
      Ledger_.storeDisturbed(Entry, WrittenAt, Now))
    return;
  Cluster_.send(
      Entry, "GET", "/v/" + std::to_string(Version) + "/", "", Deadline,
      Patience, [this, Entry, Version](const HttpResult &Result) {
        const int Status = PlatformCluster::statusOf(Result);
        // A newer version has dropped the route.
        if (Status == StatusNotFound && Version == Version_)
          Ledger_.addBreach(now(), "version " + std::to_string(Version) +
                                       " is not in force at entry " +
                                       std::to_string(Entry));
      });
}

void SoakRun::checkProcesses() {
  for (const bool Entry : {true, false}) {
    const std::size_t Count = Entry ? Options_.Entries_ : Options_.Agents_;
    for (std::size_t I = 0; I < Count; ++I) {
      auto &Process = Entry ? Cluster_.entry(I) : Cluster_.agent(I);
      if (Down_[{Entry, I}] > 0 || Process.running())
        continue;
      const std::string Name =
          (Entry ? "entry " : "agent ") + std::to_string(I);
      Cluster_.post([this, Name] {
        Ledger_.addBreach(now(), Name + " ended by itself");
      });
      Entry ? Cluster_.startEntry(I) : Cluster_.startAgent(I);
    }
  }
}

SoakResult SoakRun::run() {
  start();
  StartedAt_ = Clock::now();
  Time LastEnd{0};
  for (const Fault &Each : Plan_) {
    const Time Back =
        Each.Kind_ == FaultKind::StopEntry || Each.Kind_ == FaultKind::StopAgent
            ? std::max(Each.For_, GracePeriod)
            : Each.For_;
    LastEnd = std::max(LastEnd, Each.At_ + Back);
    later(Each.At_, [this, Each] { inject(Each); });
  }
  const Time CalmFrom = LastEnd + CalmAfter;
  const Time End = CalmFrom + Options_.CalmSpan_;
  for (Time At = ConfigPeriod; At < End - ConfigBound; At += ConfigPeriod)
    later(At, [this] { configureNext(); });
  for (Time NextJob{0}; now() < End; std::this_thread::sleep_for(StepPeriod)) {
    actOnDue();
    checkProcesses();
    for (; NextJob <= now(); NextJob += NextJob % BurstEvery < BurstLength
                                            ? BurstPeriod
                                            : JobPeriod)
      submitNext();
  }
  while (Open_ > 0)
    std::this_thread::sleep_for(StepPeriod);
  std::this_thread::sleep_for(SettleTime);
  finish();
  SoakResult Result;
  Cluster_.run([&] {
    Ledger_.checkJobs(CalmFrom);
    Result = {Ledger_.breaches(), Plan_, Ledger_.summary()};
  });
  return Result;
}

void SoakRun::finish() {
  Cluster_.run([this] {
    for (std::size_t I = 0; I < Options_.Agents_; ++I) {
      const standins::FakeRunMinion &Minion = Cluster_.minion(I);
      const std::string Name = "minion " + std::to_string(I);
      for (const std::string &Each : Minion.Breaches_)
        Ledger_.addBreach(now(), Name + ": " + Each);
      if (Minion.running() != 0)
        Ledger_.addBreach(now(), Name + " still runs tasks");
      if (Minion.unobserved() != 0)
        Ledger_.addBreach(now(), Name + " has unacknowledged ends");
    }
  });
}

} // namespace wigeonwall::soak
