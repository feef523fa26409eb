#include "wigeonwall/request/health.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Weight of one outcome in the score. With the EjectionScore below, five
/// consecutive failures eject a minion, and alternating successes and failures
/// reach a score of only 0.57.
constexpr double OutcomeWeight = 0.25;

constexpr double EjectionScore = 0.7;

/// Less than EjectionScore, so that payload errors alone never eject a minion.
/// Otherwise a caller with malformed payloads would eject every minion.
constexpr double PayloadErrorScore = 0.5;

/// Consecutive successful probes after which a minion is readmitted.
constexpr unsigned ProbesToRecover = 3;

/// Outcomes after a recovery that reset the back-off. A minion that fails
/// before that is ejected for twice as long as the last time.
constexpr unsigned OutcomesToResetBackoff = 20;

double scoreOf(MinionOutcome Outcome) {
  switch (Outcome) {
  case MinionOutcome::Success:
    return 0.0;
  case MinionOutcome::PayloadError:
    return PayloadErrorScore;
  case MinionOutcome::ServerError:
  case MinionOutcome::ConnectionError:
    return 1.0;
  }
  return 1.0;
}

Duration backoffAfter(unsigned Ejections) {
  Duration Backoff = MinBackoff;
  for (unsigned I = 1; I < Ejections && Backoff < MaxBackoff; ++I)
    Backoff *= 2;
  return std::min(Backoff, MaxBackoff);
}

} // namespace

MinionOutcome classifyStatus(int Status) noexcept {
  if (Status >= 200 && Status < 300)
    return MinionOutcome::Success;
  return Status >= 400 && Status < 500 ? MinionOutcome::PayloadError
                                       : MinionOutcome::ServerError;
}

HealthTracker::HealthTracker(Clock Now) : Now_(std::move(Now)) {}

HealthState HealthTracker::state() {
  if (State_ == HealthState::Ejected && Now_() >= EjectedUntil_)
    State_ = HealthState::Probing;
  return State_;
}

bool HealthTracker::canStart() {
  const HealthState Current = state();
  return Current == HealthState::Healthy ||
         (Current == HealthState::Probing && ProbesInFlight_ == 0);
}

HealthTracker::Ticket HealthTracker::begin() {
  if (state() != HealthState::Healthy)
    ++ProbesInFlight_;
  return Generation_;
}

void HealthTracker::record(Ticket Started, MinionOutcome Outcome) {
  endProbe(Started);
  if (Started != Generation_)
    return;
  if (state() == HealthState::Healthy)
    recordHealthy(Outcome);
  else
    recordProbe(Outcome);
}

void HealthTracker::abandon(Ticket Started) { endProbe(Started); }

Duration HealthTracker::ejectedFor() {
  return state() == HealthState::Ejected ? EjectedUntil_ - Now_()
                                         : Duration::zero();
}

double HealthTracker::severity() {
  if (state() == HealthState::Healthy)
    return FailureScore_;
  return static_cast<double>(Ejections_) + FailureScore_;
}

void HealthTracker::endProbe(Ticket Started) {
  if (Started == Generation_ && ProbesInFlight_ > 0)
    --ProbesInFlight_;
}

void HealthTracker::recordHealthy(MinionOutcome Outcome) {
  FailureScore_ += OutcomeWeight * (scoreOf(Outcome) - FailureScore_);
  if (FailureScore_ > EjectionScore) {
    eject();
    return;
  }
  if (HealthyOutcomes_ < OutcomesToResetBackoff &&
      ++HealthyOutcomes_ == OutcomesToResetBackoff)
    Ejections_ = 0;
}

void HealthTracker::recordProbe(MinionOutcome Outcome) {
  // A payload error does not show whether the minion has recovered.
  if (Outcome == MinionOutcome::PayloadError)
    return;
  if (Outcome == MinionOutcome::Success) {
    if (++ProbeSuccesses_ >= ProbesToRecover)
      recover();
    return;
  }
  ProbeSuccesses_ = 0;
  // Failures during the back-off do not extend it.
  if (State_ == HealthState::Probing)
    eject();
}

void HealthTracker::eject() {
  ++Ejections_;
  ++Generation_;
  State_ = HealthState::Ejected;
  EjectedUntil_ = Now_() + backoffAfter(Ejections_);
  ProbesInFlight_ = 0;
  ProbeSuccesses_ = 0;
}

void HealthTracker::recover() {
  ++Generation_;
  State_ = HealthState::Healthy;
  FailureScore_ = 0.0;
  ProbesInFlight_ = 0;
  HealthyOutcomes_ = 0;
}

std::vector<std::string> limitEjections(std::vector<EjectedMinion> Ejected,
                                        std::size_t Total) {
  // Ties are broken by id, so that all homes choose the same agents.
  std::sort(Ejected.begin(), Ejected.end(),
            [](const EjectedMinion &A, const EjectedMinion &B) {
              return A.Severity_ != B.Severity_ ? A.Severity_ > B.Severity_
                                                : A.AgentId_ < B.AgentId_;
            });
  Ejected.resize(std::min(Ejected.size(), Total / 3));
  std::vector<std::string> Ids;
  Ids.reserve(Ejected.size());
  for (EjectedMinion &Minion : Ejected)
    Ids.push_back(std::move(Minion.AgentId_));
  return Ids;
}

} // namespace wigeonwall::request
