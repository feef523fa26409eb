#include "soak_run.h"

#include <thread>

namespace wigeonwall::soak {

using connection::HttpResult;
using standins::PlatformCluster;

namespace {

constexpr Time StartTimeout{8'000};
constexpr Time PollInterval{5};
/// Time between jobs, which is shorter in one second of every five.
constexpr Time JobInterval{40};
constexpr Time BurstJobInterval{8};
constexpr Time BurstInterval{5'000};
constexpr Time BurstDuration{1'000};
constexpr int MaxTasks = 4;
/// One caller in this many disconnects before its answer.
constexpr int EarlyDisconnectOdds = 25;
constexpr Time EarlyDisconnectDelay{150};
/// One job in this many is cancelled by its caller, after up to the delay.
constexpr int CancelOdds = 15;
constexpr int MaxCancelDelayMs = 2'500;
constexpr Time CancelTimeout{1'500};
constexpr Time CancelRetryDelay{300};
constexpr int MaxCancelTries = 10;
constexpr Time JobDeadline{3'000};
constexpr Time CallerTimeout{3'500};
/// The platform's `resend_ms`, and the maximum number of submissions of a job.
constexpr Time ResendDelay{1'300};
constexpr std::size_t MaxAttempts = 3;
/// The platform's `config_apply_ms`.
constexpr Time ConfigApplyTime{3'000};
constexpr Time ConfigInterval{2'500};
/// The platform's `contact_ms`: time after the last fault until the system has
/// recovered.
constexpr Time RecoveryTime{4'000};
/// By then, agents have acknowledged the last ended tasks and leases have
/// expired.
constexpr Time SettleTime{2'500};
/// Speed of the slow minion clocks; the system has to tolerate this drift.
constexpr int SlowClockPercent = 98;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;

standins::PlatformClusterOptions clusterOptions(const SoakOptions &Options) {
  standins::PlatformClusterOptions Result;
  Result.Entries_ = Options.Entries_;
  Result.Agents_ = Options.Agents_;
  Result.FirstPort_ = Options.FirstPort_;
  Result.LogDirectory_ = Options.LogDirectory_;
  return Result;
}

} // namespace

SoakRun::SoakRun(const SoakOptions &Options)
    : Options_(Options), Random_(Options.Seed_),
      Cluster_(clusterOptions(Options)), Plan_(makeFaultPlan(Options)),
      Checker_(Plan_), StartedAt_(Clock::now()) {}

Time SoakRun::now() const {
  return std::chrono::duration_cast<Time>(Clock::now() - StartedAt_);
}

void SoakRun::schedule(Time Delay, std::function<void()> Action) {
  ScheduledActions_.push_back({now() + Delay, std::move(Action)});
}

void SoakRun::runDueActions() {
  const Time Now = now();
  for (std::size_t I = 0; I < ScheduledActions_.size();) {
    if (ScheduledActions_[I].StartsAt_ > Now) {
      ++I;
      continue;
    }
    const auto Action = std::move(ScheduledActions_[I].Action_);
    ScheduledActions_.erase(ScheduledActions_.begin() +
                            static_cast<std::ptrdiff_t>(I));
    Action();
  }
}

void SoakRun::start() {
  observeMinions();
  Cluster_.configure(Version_);
  for (std::size_t I = 0; I < Options_.Agents_; ++I)
    Cluster_.startAgent(I);
  for (std::size_t I = 0; I < Options_.Entries_; ++I)
    Cluster_.startEntry(I);
  if (!Cluster_.waitReady(StartTimeout))
    throw std::runtime_error("the system did not become ready in time");
}

void SoakRun::observeMinions() {
  Cluster_.run([this] {
    for (std::size_t I = 0; I < Options_.Agents_; ++I) {
      standins::FakeRunMinion &Minion = Cluster_.minion(I);
      if (I % 2 == 1)
        Minion.ClockPercent_ = SlowClockPercent;
      Minion.OnStart_ = [this, I](const std::string &Task) {
        Checker_.onTaskStart(now(), I, Task);
      };
      Minion.OnEnd_ = [this, I](const std::string &Task,
                                request::RunEnd Outcome) {
        Checker_.onTaskEnd(now(), I, Task, Outcome);
      };
      // Advances all minions first: a run on another minion may have ended
      // just before this start, and must not count as overlapping.
      Cluster_.minionServer(I).BeforeCall_ = [this] {
        for (std::size_t Other = 0; Other < Options_.Agents_; ++Other)
          Cluster_.minionServer(Other).advance();
      };
    }
  });
}

void SoakRun::measureLoopGap(Time LastTurn) {
  Cluster_.after(PollInterval, [this, LastTurn] {
    const Time Now = now();
    LongestLoopGap_ = std::max(LongestLoopGap_, Now - LastTurn);
    measureLoopGap(Now);
  });
}

void SoakRun::submitNext() {
  const bool DisconnectsEarly =
      std::uniform_int_distribution<int>(1, EarlyDisconnectOdds)(Random_) == 1;
  const int Tasks = std::uniform_int_distribution<int>(1, MaxTasks)(Random_);
  const std::string Id = standins::jobId(Options_.Seed_, ++LastJobNumber_);
  ++OpenJobs_;
  const std::size_t Entry =
      static_cast<std::size_t>(LastJobNumber_) % Options_.Entries_;
  const bool Cancels =
      std::uniform_int_distribution<int>(1, CancelOdds)(Random_) == 1;
  const Time CancelDelay(
      std::uniform_int_distribution<int>(0, MaxCancelDelayMs)(Random_));
  const std::size_t CancelEntry = std::uniform_int_distribution<std::size_t>(
      0, Options_.Entries_ - 1)(Random_);
  Cluster_.post([this, Id, Tasks, DisconnectsEarly, Entry, Cancels, CancelDelay,
                 CancelEntry] {
    JobRecord &Record = Checker_.job(Id);
    Record.Tasks_ = Tasks;
    Record.Deadline_ = JobDeadline;
    submit(Id, Entry, DisconnectsEarly);
    if (Cancels)
      Cluster_.after(CancelDelay, [this, Id, CancelEntry] {
        cancel(Id, CancelEntry, MaxCancelTries);
      });
  });
}

void SoakRun::submit(const std::string &Id, std::size_t Entry,
                     bool DisconnectsEarly) {
  JobRecord &Record = Checker_.job(Id);
  Attempt Next;
  Next.Entry_ = Entry;
  Next.SentAt_ = now();
  Next.DisconnectsEarly_ = DisconnectsEarly;
  Record.Attempts_.push_back(Next);
  standins::CallerJob Job;
  Job.Id_ = Id;
  Job.Tasks_ = Record.Tasks_;
  Job.Deadline_ = JobDeadline;
  Job.ClientTimeout_ = DisconnectsEarly ? EarlyDisconnectDelay : CallerTimeout;
  Cluster_.submit(
      Entry, Job,
      [this, Id, Number = Record.Attempts_.size() - 1](
          const HttpResult &Result) { onAnswer(Id, Number, Result); });
}

void SoakRun::cancel(const std::string &Id, std::size_t Entry, int TriesLeft) {
  Checker_.job(Id).Cancelling_ = true;
  Cluster_.send(Entry, "DELETE", "/q/" + Id, "", CancelTimeout, CancelTimeout,
                [this, Id, Entry, TriesLeft](const HttpResult &Result) {
                  const int Status = PlatformCluster::statusOf(Result);
                  if (Status == StatusOk || Status == StatusGone) {
                    Checker_.job(Id).CancelledAt_ = now();
                  } else if (TriesLeft > 1) {
                    const std::size_t Next = (Entry + 1) % Options_.Entries_;
                    Cluster_.after(CancelRetryDelay,
                                   [this, Id, Next, TriesLeft] {
                                     cancel(Id, Next, TriesLeft - 1);
                                   });
                  }
                });
}

void SoakRun::onAnswer(const std::string &Id, std::size_t Number,
                       const HttpResult &Result) {
  JobRecord &Record = Checker_.job(Id);
  Attempt &Answered = Record.Attempts_.at(Number);
  Answered.EndedAt_ = now();
  Answered.Status_ = PlatformCluster::statusOf(Result);
  Answered.Completed_ =
      Answered.Status_ == StatusOk &&
      Result.Response_.Body_.find("completed") != std::string::npos;
  const bool Resend = Answered.Status_ == 0 ||
                      Answered.Status_ == StatusBadGateway ||
                      Answered.Status_ == StatusGatewayTimeout;
  if (!Resend || Record.Cancelling_ || Record.Attempts_.size() >= MaxAttempts) {
    --OpenJobs_;
    return;
  }
  // The second attempt goes to the same entry, which may still have the remains
  // of the first. A caller that left early leaves that one early, too.
  const std::size_t Entry = (Answered.Entry_ + Number) % Options_.Entries_;
  const bool DisconnectsEarly = Answered.DisconnectsEarly_ && Number == 0;
  Cluster_.after(ResendDelay, [this, Id, Entry, DisconnectsEarly] {
    if (!Checker_.job(Id).Cancelling_)
      return submit(Id, Entry, DisconnectsEarly);
    --OpenJobs_;
  });
}

void SoakRun::publishNextVersion() {
  const int Version = ++Version_;
  const Time WrittenAt = now();
  Cluster_.configure(Version);
  for (std::size_t I = 0; I < Options_.Entries_; ++I)
    schedule(ConfigApplyTime, [this, I, Version, WrittenAt] {
      if (Version == Version_)
        checkVersion(I, Version, WrittenAt);
    });
}

void SoakRun::checkVersion(std::size_t Entry, int Version, Time WrittenAt) {
  // Checks only entries that could reach the store ever since the write.
  const Time Now = now();
  if (Checker_.callerFaultActive(Entry, WrittenAt, Now + CallerTimeout) ||
      Checker_.storeFaultActive(Entry, WrittenAt, Now))
    return;
  Cluster_.send(
      Entry, "GET", "/v/" + std::to_string(Version) + "/", "", JobDeadline,
      CallerTimeout, [this, Entry, Version](const HttpResult &Result) {
        const int Status = PlatformCluster::statusOf(Result);
        // A newer version removes the route, so only the latest must have it.
        if (Status == StatusNotFound && Version == Version_)
          Checker_.addViolation(now(), "version " + std::to_string(Version) +
                                           " is not applied by entry " +
                                           std::to_string(Entry));
      });
}

void SoakRun::checkProcesses() {
  for (const bool Entry : {true, false}) {
    const std::size_t Count = Entry ? Options_.Entries_ : Options_.Agents_;
    for (std::size_t I = 0; I < Count; ++I) {
      auto &Process = Entry ? Cluster_.entry(I) : Cluster_.agent(I);
      if (DownCounts_[{Entry, I}] > 0 || Process.running())
        continue;
      const std::string Name =
          (Entry ? "entry " : "agent ") + std::to_string(I);
      Cluster_.post([this, Name] {
        Checker_.addViolation(now(), Name + " exited without a fault");
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
    const Time RestartDelay =
        Each.Kind_ == FaultKind::StopEntry || Each.Kind_ == FaultKind::StopAgent
            ? std::max(Each.Duration_, GracePeriod)
            : Each.Duration_;
    LastEnd = std::max(LastEnd, Each.StartsAt_ + RestartDelay);
    schedule(Each.StartsAt_, [this, Each] { inject(Each); });
  }
  const Time FaultFreeFrom = LastEnd + RecoveryTime;
  const Time End = FaultFreeFrom + Options_.FaultFreePhase_;
  for (Time At = ConfigInterval; At < End - ConfigApplyTime;
       At += ConfigInterval)
    schedule(At, [this] { publishNextVersion(); });
  measureLoopGap(now());
  Time LastTurn{0};
  for (Time NextJob{0}; now() < End;
       std::this_thread::sleep_for(PollInterval)) {
    LongestGap_ = std::max(LongestGap_, now() - LastTurn);
    LastTurn = now();
    runDueActions();
    checkProcesses();
    for (; NextJob <= now(); NextJob += NextJob % BurstInterval < BurstDuration
                                            ? BurstJobInterval
                                            : JobInterval)
      submitNext();
  }
  while (OpenJobs_ > 0)
    std::this_thread::sleep_for(PollInterval);
  std::this_thread::sleep_for(SettleTime);
  checkMinions();
  SoakResult Result;
  Cluster_.run([&] {
    Checker_.checkJobs(FaultFreeFrom);
    Result = {Checker_.violations(), Plan_,
              Checker_.summary() + ", longest gap of the load " +
                  std::to_string(LongestGap_.count()) +
                  " ms, of the event loop " +
                  std::to_string(LongestLoopGap_.count()) + " ms"};
  });
  return Result;
}

void SoakRun::checkMinions() {
  Cluster_.run([this] {
    for (std::size_t I = 0; I < Options_.Agents_; ++I) {
      const standins::FakeRunMinion &Minion = Cluster_.minion(I);
      const std::string Name = "minion " + std::to_string(I);
      for (const std::string &Each : Minion.Breaches_)
        Checker_.addViolation(now(), Name + ": " + Each);
      if (Minion.running() != 0)
        Checker_.addViolation(now(), Name + " is still running tasks");
      if (Minion.unobserved() != 0)
        Checker_.addViolation(now(), Name + " has unacknowledged ended tasks");
    }
  });
}

} // namespace wigeonwall::soak
