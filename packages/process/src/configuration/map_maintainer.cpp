#include "wigeonwall/process/configuration/map_maintainer.h"

#include "wigeonwall/process/configuration/document_watcher.h"
#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::process {

using connection::StoreEntry;
using connection::StoreFault;
using request::TimePoint;
using version::AgentMap;
using version::MapAgent;
using version::MapChange;

namespace {

constexpr unsigned MaxRemovalAttempts = 3;
/// Limits the delay before a repeated removal to RejoinRemovalTimeout_ * 2^6.
constexpr unsigned MaxRejoinDoublings = 6;

/// Priority of an agent as a proposer in one epoch; highest first.
std::uint32_t proposerPriority(version::Epoch Current, const std::string &Id) {
  MemberUpdate Ranked;
  Ranked.Member_.Id_ = Id;
  Ranked.Member_.Incarnation_ = static_cast<std::int64_t>(Current);
  return MemberTable::hash(Ranked);
}

MapAgent toMapAgent(const Member &From) {
  MapAgent Agent;
  Agent.Id_ = From.Id_;
  Agent.Incarnation_ = From.Incarnation_;
  Agent.ControlAddress_ = From.ControlAddress_;
  Agent.TrafficAddress_ = From.TrafficAddress_;
  Agent.FailureDomain_ = From.FailureDomain_;
  Agent.Service_ = From.Service_;
  return Agent;
}

/// Decodes the map in \p Entry; empty if the key is absent.
std::optional<AgentMap> readMap(const StoreEntry &Entry, std::string &Error) {
  if (Entry.Index_ == 0)
    return AgentMap{};
  request::CodecFault Syntax;
  const auto Value = request::parseJson(Entry.Value_, Syntax);
  version::MapFault Fault;
  auto Map = Value ? version::decodeMap(*Value, Fault) : std::nullopt;
  if (!Map)
    Error = Value ? Fault.Position_ + ": " + Fault.Message_ : Syntax.Message_;
  return Map;
}

} // namespace

MapMaintainer::MapMaintainer(connection::KeyValueStore &Store,
                             const Membership &Members, request::Clock Clock,
                             std::mt19937_64 Random,
                             MapMaintainerOptions Options,
                             MapMaintainerHooks Hooks)
    : Store_(Store), Members_(Members), Clock_(std::move(Clock)),
      Random_(Random), Options_(Options), Hooks_(std::move(Hooks)),
      Start_(Clock_()) {}

AgentMap MapMaintainer::currentMap() const {
  const auto Map = Hooks_.Map_();
  return Map ? *Map : AgentMap{};
}

void MapMaintainer::tick() {
  const TimePoint Now = Clock_();
  if (Members_.own().Role_ != Role::Agent ||
      Members_.own().State_ != MemberState::Alive || Writing_ ||
      Now < NextAttempt_)
    return;
  if (Members_.alone() && Now - Start_ < Options_.StartupIsolationTime_)
    return;
  review(Now);
  if (!ChangePendingSince_ ||
      Now - *ChangePendingSince_ <
          Options_.BatchDelay_ + Options_.ProposerStagger_ *
                                     static_cast<std::int64_t>(ProposerRank_))
    return;
  Writing_ = true;
  attempt([this](const AgentMap &Base) { return pendingChange(Base); },
          [this](Outcome Result) {
            Writing_ = false;
            ChangePendingSince_.reset();
            NextReview_ = Clock_();
            if (Result == Outcome::Failed)
              NextAttempt_ = Clock_() + retryDelay();
          });
}

void MapMaintainer::review(TimePoint Now) {
  const auto Map = Hooks_.Map_();
  const version::Epoch Current = Map ? Map->Epoch_ : 0;
  if (Now < NextReview_ && ReviewedGeneration_ == Members_.generation() &&
      ReviewedEpoch_ == Current)
    return;
  NextReview_ = Now + Options_.ReviewInterval_;
  ReviewedGeneration_ = Members_.generation();
  ReviewedEpoch_ = Current;
  const MapChange Change = pendingChange(currentMap());
  if (Change.Joins_.empty() && Change.Removals_.empty()) {
    ChangePendingSince_.reset();
    return;
  }
  if (!ChangePendingSince_ || PendingChangeEpoch_ != Current) {
    ChangePendingSince_ = Now;
    PendingChangeEpoch_ = Current;
  }
  ProposerRank_ = proposerRank(Current);
}

request::Duration MapMaintainer::retryDelay() {
  std::uniform_int_distribution<request::Duration::rep> Jitter(
      0, Options_.RetryDelay_.count());
  return Options_.RetryDelay_ + request::Duration(Jitter(Random_));
}

MapChange MapMaintainer::pendingChange(const AgentMap &Map) {
  MapChange Change;
  addJoins(Map, Change);
  addRemovals(Map, Change);
  return Change;
}

void MapMaintainer::addJoins(const AgentMap &Map, MapChange &Change) const {
  for (const Member &Peer : Members_.members()) {
    if (Peer.Role_ != Role::Agent || Peer.State_ != MemberState::Alive)
      continue;
    const MapAgent *Present = Map.findPresent(Peer.Id_);
    if (Present == nullptr || Present->Incarnation_ < Peer.Incarnation_)
      Change.Joins_.push_back(toMapAgent(Peer));
  }
}

void MapMaintainer::addRemovals(const AgentMap &Map, MapChange &Change) {
  updateAddressOwners();
  const bool Majority = seesMajority(Map);
  for (const MapAgent &Agent : Map.Agents_) {
    if (Agent.RemovedEpoch_ != 0 || Agent.Id_ == Members_.own().Id_)
      continue;
    if (isPresent(Agent))
      Absences_.erase(Agent.Id_);
    else if (const auto Ended = endedAt(Agent))
      Change.Removals_.push_back({Agent.Id_, Agent.Incarnation_, *Ended});
    else if (checkRemovable(Agent, Majority))
      Change.Removals_.push_back({Agent.Id_, Agent.Incarnation_, 0});
  }
}

void MapMaintainer::updateAddressOwners() {
  AddressOwners_.clear();
  for (const Member &Peer : Members_.members()) {
    if (Peer.State_ == MemberState::Dead || Peer.State_ == MemberState::Left)
      continue;
    std::int64_t &Newest = AddressOwners_[Peer.ControlAddress_];
    Newest = std::max(Newest, Peer.Incarnation_);
  }
}

bool MapMaintainer::isPresent(const MapAgent &Agent) const {
  if (Agent.Id_ == Members_.own().Id_)
    return true;
  // A present newer incarnation replaces the agent when it joins the map.
  const MemberRecord *Record = Members_.table().find(Agent.Id_);
  return Record != nullptr && Record->Update_.present();
}

std::optional<std::int64_t>
MapMaintainer::endedAt(const MapAgent &Agent) const {
  const MemberRecord *Record = Members_.table().find(Agent.Id_);
  if (Record != nullptr) {
    const Member &Latest = Record->Update_.Member_;
    if (Latest.Incarnation_ > Agent.Incarnation_)
      return Latest.Incarnation_;
    // Only the agent itself announces that it left.
    if (Latest.Incarnation_ == Agent.Incarnation_ &&
        Latest.State_ == MemberState::Left)
      return Record->Update_.StoppedAtMs_;
  }
  // A newer process at the same address proves that the older one has ended,
  // whatever its id.
  const auto Owner = AddressOwners_.find(Agent.ControlAddress_);
  if (Owner != AddressOwners_.end() && Owner->second > Agent.Incarnation_)
    return Owner->second;
  return std::nullopt;
}

bool MapMaintainer::seesMajority(const AgentMap &Map) const {
  std::size_t Total = 0;
  std::size_t Seen = 0;
  for (const MapAgent &Agent : Map.Agents_) {
    if (Agent.RemovedEpoch_ != 0)
      continue;
    const bool Present = isPresent(Agent);
    // An agent that has ended is on neither side of a partition.
    if (!Present && endedAt(Agent))
      continue;
    ++Total;
    Seen += Present ? 1 : 0;
  }
  return 2 * Seen > Total;
}

bool MapMaintainer::checkRemovable(const MapAgent &Agent, bool Majority) {
  const TimePoint Now = Clock_();
  Absence &Record =
      Absences_.try_emplace(Agent.Id_, Absence{Now, Now, Agent.JoinedEpoch_, 0})
          .first->second;
  // The agent was added again: another process sees it alive.
  if (Agent.JoinedEpoch_ > Record.JoinedEpoch_) {
    Record.Since_ = Now;
    Record.JoinedEpoch_ = Agent.JoinedEpoch_;
    Record.Rejoins_ = std::min(Record.Rejoins_ + 1, MaxRejoinDoublings + 1);
  }
  const bool Unknown = Members_.table().find(Agent.Id_) == nullptr;
  // It may be alive in a group that has not yet merged with this one.
  if (Unknown && Now >= Record.NextContact_) {
    Record.NextContact_ = Now + Options_.ReviewInterval_;
    Hooks_.Contact_(Agent.ControlAddress_);
  }
  const request::Duration AbsentFor = Now - Record.Since_;
  if (!Majority)
    return AbsentFor >= Options_.MinorityRemovalTimeout_;
  if (Record.Rejoins_ != 0)
    return AbsentFor >=
           Options_.RejoinRemovalTimeout_ * (1 << (Record.Rejoins_ - 1));
  return !Unknown || AbsentFor >= Options_.UnknownAgentTimeout_;
}

std::size_t MapMaintainer::proposerRank(version::Epoch Current) const {
  const std::string &Own = Members_.own().Id_;
  const std::uint32_t OwnPriority = proposerPriority(Current, Own);
  std::size_t Rank = 0;
  for (const Member &Peer : Members_.members()) {
    if (Peer.Role_ != Role::Agent || Peer.State_ != MemberState::Alive)
      continue;
    const std::uint32_t Priority = proposerPriority(Current, Peer.Id_);
    if (Priority > OwnPriority || (Priority == OwnPriority && Peer.Id_ < Own))
      ++Rank;
  }
  return Rank;
}

void MapMaintainer::attempt(ChangeSource Change, AttemptCallback Done) {
  Store_.read(MapKey,
              Lifetime_.guard(
                  [this, Change = std::move(Change), Done = std::move(Done)](
                      const std::optional<StoreEntry> &Entry,
                      const StoreFault &) { write(Entry, Change, Done); }));
}

void MapMaintainer::write(const std::optional<StoreEntry> &Entry,
                          const ChangeSource &Change,
                          const AttemptCallback &Done) {
  if (!Entry)
    return Done(Outcome::Failed);
  std::string Error;
  auto Base = readMap(*Entry, Error);
  if (!Base) {
    Hooks_.Report_("cannot decode the map in the key-value service: " + Error);
    return Done(Outcome::Failed);
  }
  // After a stale read the swap fails. If the service has lost the newer map,
  // the change is based on the local one, so that the epoch never decreases.
  if (AgentMap Latest = currentMap(); Latest.Epoch_ > Base->Epoch_)
    Base = std::move(Latest);
  else if (Base->Epoch_ > Latest.Epoch_)
    Hooks_.OnMap_(version::encodeMap(*Base));
  const auto Next = version::applyChange(
      *Base, Change(*Base), Hooks_.WallClockMs_(), Hooks_.RetentionMs_());
  if (!Next)
    return Done(Outcome::NothingToDo);
  const Json::Value Source = version::encodeMap(*Next);
  Store_.compareAndSwap(
      MapKey, request::writeJson(Source), Entry->Index_,
      Lifetime_.guard([this, Source, Done](std::optional<bool> Swapped,
                                           const StoreFault &) {
        // If only the reply was lost, the next attempt reads the map back and
        // finds nothing left to change.
        if (!Swapped.value_or(false))
          return Done(Outcome::Failed);
        Hooks_.OnMap_(Source);
        Done(Outcome::Written);
      }));
}

void MapMaintainer::removeSelf(std::int64_t StoppedAtMs,
                               std::function<void()> Done) {
  if (Members_.own().Role_ != Role::Agent)
    return Done();
  retryRemoval({Members_.own().Id_, Members_.own().Incarnation_, StoppedAtMs},
               MaxRemovalAttempts, Done);
}

void MapMaintainer::retryRemoval(const MapChange::Removal &Own,
                                 unsigned Attempts,
                                 const std::function<void()> &Done) {
  const auto Change = [Own](const AgentMap &) {
    MapChange Removal;
    Removal.Removals_.push_back(Own);
    return Removal;
  };
  attempt(Change, [this, Own, Attempts, Done](Outcome Result) {
    if (Result != Outcome::Failed || Attempts <= 1)
      return Done();
    retryRemoval(Own, Attempts - 1, Done);
  });
}

} // namespace wigeonwall::process
