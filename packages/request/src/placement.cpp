#include "wigeonwall/request/placement.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Age up to which a report has full weight. After that, the estimate moves
/// towards the mean of the service, which it reaches at twice this age.
/// Otherwise all homes would keep choosing the agent that was idle when it last
/// reported to them. In a simulation of least_loaded with 11 homes, 11 agents
/// of 8 slots, jobs of up to 8 tasks of 50 to 350 ms and 70% load, the p99
/// ratio of actual to ideal answer time was 1.8 to 2.0 with 1 s, 1.6 to 1.8
/// with 30 ms and 1.8 to 2.1 with 2 ms.
constexpr Duration ReportLifetime = std::chrono::milliseconds(30);

/// Assumed slots of an agent if no report has stated any number of slots yet.
constexpr double DefaultSlots = 1.0;

/// Weight of a report of the given age, from 1 down to 0.
double reportWeight(Duration Age) {
  const double Lifetimes = static_cast<double>(Age.count()) /
                           static_cast<double>(ReportLifetime.count());
  return std::clamp(2.0 - Lifetimes, 0.0, 1.0);
}

double reportedTasks(const AgentLoad &Load) {
  return static_cast<double>(Load.Running_) + Load.Queued_;
}

std::size_t randomBelow(std::size_t Bound, RandomEngine &Random) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
}

std::size_t chooseRandom(const std::vector<PlacementCandidate> &Candidates,
                         RandomEngine &Random) {
  return randomBelow(Candidates.size(), Random);
}

std::size_t chooseOfTwo(const std::vector<PlacementCandidate> &Candidates,
                        RandomEngine &Random) {
  const std::size_t First = randomBelow(Candidates.size(), Random);
  if (Candidates.size() == 1)
    return First;
  std::size_t Second = randomBelow(Candidates.size() - 1, Random);
  if (Second >= First)
    ++Second;
  return Candidates[Second].loadWithOneMore() <
                 Candidates[First].loadWithOneMore()
             ? Second
             : First;
}

/// Breaks ties at random, because homes with the same reports would otherwise
/// all choose the same agent.
std::size_t chooseLeastLoaded(const std::vector<PlacementCandidate> &Candidates,
                              RandomEngine &Random) {
  std::size_t Best = 0;
  std::size_t Ties = 1;
  for (std::size_t I = 1; I < Candidates.size(); ++I) {
    const double Load = Candidates[I].loadWithOneMore();
    const double BestLoad = Candidates[Best].loadWithOneMore();
    if (Load < BestLoad) {
      Best = I;
      Ties = 1;
    } else if (Load == BestLoad && randomBelow(++Ties, Random) == 0) {
      Best = I;
    }
  }
  return Best;
}

} // namespace

PlacementFunction makePlacementFunction(PlacementPolicy Policy) {
  switch (Policy) {
  case PlacementPolicy::Random:
    return chooseRandom;
  case PlacementPolicy::TwoChoices:
    return chooseOfTwo;
  case PlacementPolicy::LeastLoaded:
    break;
  }
  return chooseLeastLoaded;
}

Placer::Placer(PlacementFunction Choose, Clock Now, std::uint64_t Seed)
    : Choose_(std::move(Choose)), Now_(std::move(Now)), Random_(Seed) {}

void Placer::setAgents(const std::set<std::string> &Ids) {
  std::vector<AgentStatus> Next;
  Next.reserve(Ids.size());
  for (const std::string &Id : Ids) {
    AgentStatus *Existing = find(Id);
    Next.push_back(Existing != nullptr ? std::move(*Existing) : AgentStatus{});
    Next.back().Id_ = Id;
  }
  Agents_ = std::move(Next);
}

void Placer::setUsable(const std::string &Id, bool Usable) {
  if (AgentStatus *Agent = find(Id))
    Agent->Usable_ = Usable;
}

void Placer::setEjected(const std::set<std::string> &Ids) {
  for (AgentStatus &Agent : Agents_)
    Agent.Ejected_ = Ids.count(Agent.Id_) != 0;
}

std::vector<std::string> Placer::choose(std::size_t Count,
                                        const std::set<std::string> &Excluded) {
  std::vector<PlacementCandidate> Candidates = candidates(Excluded, false);
  if (Candidates.empty())
    Candidates = candidates(Excluded, true);
  std::vector<std::string> Chosen;
  if (Candidates.empty())
    return Chosen;
  Chosen.reserve(Count);
  while (Chosen.size() < Count) {
    PlacementCandidate &Candidate = Candidates[Choose_(Candidates, Random_)];
    AgentStatus &Agent = Agents_[Candidate.Agent_];
    Candidate.Tasks_ += 1.0;
    ++Agent.InFlight_;
    ++Agent.Unreported_;
    Chosen.push_back(Agent.Id_);
  }
  return Chosen;
}

void Placer::report(const std::string &Id, const AgentLoad &Load) {
  acknowledge(Id, 0, Load);
}

void Placer::acknowledge(const std::string &Id, std::uint32_t Count,
                         const AgentLoad &Load) {
  AgentStatus *Agent = find(Id);
  if (Agent == nullptr)
    return;
  Agent->Unreported_ -= std::min(Agent->Unreported_, Count);
  Agent->Load_ = Load;
  Agent->ReportedAt_ = Now_();
  Agent->Reported_ = true;
}

void Placer::finish(const std::string &Id, std::uint32_t Count) {
  AgentStatus *Agent = find(Id);
  if (Agent == nullptr)
    return;
  Agent->InFlight_ -= std::min(Agent->InFlight_, Count);
  Agent->Unreported_ = std::min(Agent->Unreported_, Agent->InFlight_);
}

void Placer::withdraw(const std::string &Id, std::uint32_t Count) {
  if (AgentStatus *Agent = find(Id))
    Agent->Unreported_ -= std::min(Agent->Unreported_, Count);
  finish(Id, Count);
}

double Placer::meanLoad() const {
  const TimePoint Now = Now_();
  const PlacementCandidate Mean = meanAgent(Now);
  double Tasks = 0.0;
  double Slots = 0.0;
  for (std::size_t I = 0; I < Agents_.size(); ++I) {
    if (!Agents_[I].Usable_)
      continue;
    const PlacementCandidate Agent = estimate(I, Mean, Now);
    Tasks += Agent.Tasks_;
    Slots += Agent.Slots_;
  }
  return Slots > 0.0 ? Tasks / Slots : 0.0;
}

AgentStatus *Placer::find(const std::string &Id) {
  const auto Found =
      std::lower_bound(Agents_.begin(), Agents_.end(), Id,
                       [](const AgentStatus &Agent, const std::string &Value) {
                         return Agent.Id_ < Value;
                       });
  return Found != Agents_.end() && Found->Id_ == Id ? &*Found : nullptr;
}

PlacementCandidate Placer::estimate(std::size_t Agent,
                                    const PlacementCandidate &Mean,
                                    TimePoint Now) const {
  const AgentStatus &Entry = Agents_[Agent];
  const double ReportWeight =
      Entry.Reported_ ? reportWeight(Now - Entry.ReportedAt_) : 0.0;
  const double Slots =
      Entry.Load_.Slots_ > 0 ? Entry.Load_.Slots_ : Mean.Slots_;
  const double Tasks = ReportWeight * reportedTasks(Entry.Load_) +
                       (1.0 - ReportWeight) * Mean.Tasks_ / Mean.Slots_ * Slots;
  // The agent has at least the tasks that this home has in flight there.
  return {Agent, std::max(Tasks + Entry.Unreported_, double(Entry.InFlight_)),
          Slots};
}

PlacementCandidate Placer::meanAgent(TimePoint Now) const {
  PlacementCandidate Mean{0, 0.0, 0.0};
  double Weight = 0.0;
  for (const AgentStatus &Agent : Agents_) {
    if (!Agent.Usable_ || !Agent.Reported_ || Agent.Load_.Slots_ == 0)
      continue;
    // An old report still states the number of slots, so its weight is not 0.
    const double ReportWeight =
        std::max(reportWeight(Now - Agent.ReportedAt_), 1e-3);
    Mean.Tasks_ += ReportWeight * reportedTasks(Agent.Load_);
    Mean.Slots_ += ReportWeight * Agent.Load_.Slots_;
    Weight += ReportWeight;
  }
  if (Weight == 0.0)
    return {0, 0.0, DefaultSlots};
  return {0, Mean.Tasks_ / Weight, Mean.Slots_ / Weight};
}

std::vector<PlacementCandidate>
Placer::candidates(const std::set<std::string> &Excluded, bool Ejected) const {
  const TimePoint Now = Now_();
  const PlacementCandidate Mean = meanAgent(Now);
  std::vector<PlacementCandidate> Result;
  Result.reserve(Agents_.size());
  for (std::size_t I = 0; I < Agents_.size(); ++I)
    if (Agents_[I].Usable_ && Agents_[I].Ejected_ == Ejected &&
        Excluded.count(Agents_[I].Id_) == 0)
      Result.push_back(estimate(I, Mean, Now));
  return Result;
}

} // namespace wigeonwall::request
