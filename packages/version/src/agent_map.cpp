#include "wigeonwall/version/agent_map.h"

#include "wigeonwall/request/field_reader.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonwall::version {

using request::CodecFault;
using request::FieldReader;
using request::JobKey;

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

void mix(std::uint64_t &Hash, const std::string &Text) {
  for (unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * FnvPrime;
  Hash = (Hash ^ 0x1f) * FnvPrime;
}

/// Spreads the bits of an FNV hash, whose high bits vary little for short
/// inputs (finalizer of SplitMix64).
std::uint64_t finalize(std::uint64_t Hash) {
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

/// Hash over the job; each agent's id is mixed into a copy of it.
std::uint64_t hashOf(const JobKey &Key) {
  std::uint64_t Hash = FnvOffset;
  mix(Hash, Key.Service_);
  mix(Hash, Key.Id_);
  return Hash;
}

/// An agent with its rank for one job.
struct Ranked {
  std::uint64_t Weight_ = 0;
  const MapAgent *Agent_ = nullptr;

  [[nodiscard]] bool precedes(const Ranked &Other) const {
    if (Other.Agent_ == nullptr || Weight_ != Other.Weight_)
      return Other.Agent_ == nullptr || Weight_ > Other.Weight_;
    return Agent_->Id_ < Other.Agent_->Id_;
  }
};

/// The agents that can be holders, found in one pass: a sort of 620 agents
/// takes several times as long, and each job needs the holders at the entry
/// and twice at the home.
struct TopAgents {
  Ranked First_;
  Ranked Second_;
  /// First of those outside the failure domain of First_.
  Ranked Elsewhere_;

  void add(const Ranked &Next) {
    const bool Same =
        First_.Agent_ != nullptr &&
        First_.Agent_->FailureDomain_ == Next.Agent_->FailureDomain_;
    if (Next.precedes(First_)) {
      if (!Same)
        Elsewhere_ = First_;
      Second_ = std::exchange(First_, Next);
      return;
    }
    if (Next.precedes(Second_))
      Second_ = Next;
    if (!Same && Next.precedes(Elsewhere_))
      Elsewhere_ = Next;
  }
};

std::pair<std::string, std::int64_t> identity(const MapAgent *Agent) {
  if (Agent == nullptr)
    return {"", 0};
  return {Agent->Id_, Agent->Incarnation_};
}

Json::Value encodeAgent(const MapAgent &Agent) {
  Json::Value Value;
  Value["id"] = Agent.Id_;
  Value["incarnation"] = Json::Int64(Agent.Incarnation_);
  Value["control"] = Agent.ControlAddress_;
  Value["traffic"] = Agent.TrafficAddress_;
  Value["failure_domain"] = Agent.FailureDomain_;
  Value["service"] = Agent.Service_;
  Value["joined_epoch"] = Json::UInt64(Agent.JoinedEpoch_);
  Value["joined_at_ms"] = Json::Int64(Agent.JoinedAtMs_);
  if (Agent.RemovedEpoch_ != 0) {
    Value["removed_epoch"] = Json::UInt64(Agent.RemovedEpoch_);
    Value["removed_at_ms"] = Json::Int64(Agent.RemovedAtMs_);
    Value["stopped_at_ms"] = Json::Int64(Agent.StoppedAtMs_);
  }
  return Value;
}

std::optional<MapAgent> decodeAgent(const Json::Value &Value,
                                    const std::string &Position,
                                    CodecFault &Why) {
  FieldReader Reader(Value, Position, Why);
  MapAgent Agent;
  std::int64_t Joined = 0;
  std::int64_t Removed = 0;
  Reader.string("id", Agent.Id_);
  Reader.integer("incarnation", 0, INT64_MAX, Agent.Incarnation_);
  Reader.string("control", Agent.ControlAddress_);
  Reader.string("traffic", Agent.TrafficAddress_);
  Reader.string("failure_domain", Agent.FailureDomain_);
  Reader.string("service", Agent.Service_);
  Reader.integer("joined_epoch", 0, INT64_MAX, Joined);
  Reader.integer("joined_at_ms", 0, INT64_MAX, Agent.JoinedAtMs_);
  Reader.optionalInteger("removed_epoch", 0, INT64_MAX, Removed);
  Reader.optionalInteger("removed_at_ms", 0, INT64_MAX, Agent.RemovedAtMs_);
  Reader.optionalInteger("stopped_at_ms", 0, INT64_MAX, Agent.StoppedAtMs_);
  if (!Reader.finish())
    return std::nullopt;
  Agent.JoinedEpoch_ = static_cast<Epoch>(Joined);
  Agent.RemovedEpoch_ = static_cast<Epoch>(Removed);
  return Agent;
}

} // namespace

HolderPair AgentMap::holders(const JobKey &Key, Epoch When) const {
  const std::uint64_t KeyHash = hashOf(Key);
  TopAgents Top;
  for (const MapAgent &Agent : Agents_) {
    if (Agent.Service_ != Key.Service_ || !Agent.presentIn(When))
      continue;
    std::uint64_t Hash = KeyHash;
    mix(Hash, Agent.Id_);
    Top.add({finalize(Hash), &Agent});
  }
  return {Top.First_.Agent_, Top.Elsewhere_.Agent_ != nullptr
                                 ? Top.Elsewhere_.Agent_
                                 : Top.Second_.Agent_};
}

std::vector<HolderPair> AgentMap::earlierHolders(const JobKey &Key,
                                                 Epoch Oldest) const {
  // Pairs change only where an agent of the service joined or left.
  std::set<Epoch> Starts{Oldest};
  for (const MapAgent &Agent : Agents_) {
    if (Agent.Service_ != Key.Service_)
      continue;
    Starts.insert(Agent.JoinedEpoch_);
    if (Agent.RemovedEpoch_ != 0)
      Starts.insert(Agent.RemovedEpoch_);
  }
  using Identity = std::pair<std::string, std::int64_t>;
  const auto IdentityOf = [](const HolderPair &Pair) {
    return std::pair<Identity, Identity>(identity(Pair.Home_),
                                         identity(Pair.Copy_));
  };
  const auto Current = IdentityOf(holders(Key));
  std::vector<HolderPair> Result;
  for (auto Start = Starts.begin(); Start != Starts.end(); ++Start) {
    if (*Start < Oldest || *Start >= Epoch_)
      continue;
    HolderPair Pair = holders(Key, *Start);
    if (Pair.Home_ == nullptr || IdentityOf(Pair) == Current)
      continue;
    const auto Next = std::next(Start);
    Pair.LastEpoch_ =
        std::min(Next == Starts.end() ? Epoch_ : *Next, Epoch_) - 1;
    const auto Known =
        std::find_if(Result.begin(), Result.end(), [&](const HolderPair &Each) {
          return IdentityOf(Each) == IdentityOf(Pair);
        });
    if (Known == Result.end())
      Result.push_back(Pair);
    else
      Known->LastEpoch_ = Pair.LastEpoch_;
  }
  return Result;
}

Epoch AgentMap::oldestEpochAt(std::int64_t NowMs,
                              std::int64_t RetentionMs) const {
  const std::int64_t Limit = NowMs - RetentionMs;
  Epoch Oldest = OldestEpoch_;
  for (const MapAgent &Agent : Agents_) {
    if (Agent.JoinedAtMs_ < Limit)
      Oldest = std::max(Oldest, Agent.JoinedEpoch_);
    if (Agent.RemovedEpoch_ != 0 && Agent.RemovedAtMs_ < Limit)
      Oldest = std::max(Oldest, Agent.RemovedEpoch_);
  }
  return Oldest;
}

std::vector<const MapAgent *>
AgentMap::presentAgents(const std::string &Service) const {
  std::vector<const MapAgent *> Result;
  for (const MapAgent &Agent : Agents_)
    if (Agent.RemovedEpoch_ == 0 && Agent.Service_ == Service)
      Result.push_back(&Agent);
  return Result;
}

const MapAgent *AgentMap::findPresent(const std::string &Id) const {
  for (const MapAgent &Agent : Agents_)
    if (Agent.RemovedEpoch_ == 0 && Agent.Id_ == Id)
      return &Agent;
  return nullptr;
}

Json::Value encodeMap(const AgentMap &Map) {
  Json::Value Value;
  Value["epoch"] = Json::UInt64(Map.Epoch_);
  Value["oldest_epoch"] = Json::UInt64(Map.OldestEpoch_);
  Json::Value Agents(Json::arrayValue);
  for (const MapAgent &Agent : Map.Agents_)
    Agents.append(encodeAgent(Agent));
  Value["agents"] = std::move(Agents);
  return Value;
}

std::optional<AgentMap> decodeMap(const Json::Value &Value, MapFault &Why) {
  CodecFault Inner;
  FieldReader Reader(Value, "", Inner);
  AgentMap Map;
  std::int64_t Number = 0;
  std::int64_t Oldest = 0;
  Json::Value Agents(Json::arrayValue);
  Reader.integer("epoch", 0, INT64_MAX, Number);
  Reader.integer("oldest_epoch", 0, INT64_MAX, Oldest);
  Reader.optionalArray("agents", Agents);
  bool Valid = Reader.finish();
  for (Json::ArrayIndex I = 0; Valid && I < Agents.size(); ++I) {
    auto Agent = decodeAgent(Agents[I], "/agents/" + std::to_string(I), Inner);
    Valid = Agent.has_value();
    if (Agent)
      Map.Agents_.push_back(std::move(*Agent));
  }
  if (!Valid) {
    Why = {MapError::Malformed, Inner.Message_, Inner.Position_};
    return std::nullopt;
  }
  Map.Epoch_ = static_cast<Epoch>(Number);
  Map.OldestEpoch_ = static_cast<Epoch>(Oldest);
  return Map;
}

namespace {

bool remove(AgentMap &Map, const MapChange::Removal &Removal, Epoch Next,
            std::int64_t NowMs) {
  for (MapAgent &Agent : Map.Agents_) {
    if (Agent.RemovedEpoch_ != 0 || Agent.Id_ != Removal.Id_ ||
        Agent.Incarnation_ != Removal.Incarnation_)
      continue;
    Agent.RemovedEpoch_ = Next;
    Agent.RemovedAtMs_ = NowMs;
    Agent.StoppedAtMs_ = Removal.StoppedAtMs_;
    return true;
  }
  return false;
}

bool join(AgentMap &Map, MapAgent Agent, Epoch Next, std::int64_t NowMs) {
  if (const MapAgent *Present = Map.findPresent(Agent.Id_)) {
    if (Present->Incarnation_ >= Agent.Incarnation_)
      return false;
    // The new incarnation owns the address, so the old one has ended by then.
    remove(Map, {Present->Id_, Present->Incarnation_, Agent.Incarnation_}, Next,
           NowMs);
  }
  Agent.JoinedEpoch_ = Next;
  Agent.JoinedAtMs_ = NowMs;
  Agent.RemovedEpoch_ = 0;
  Agent.RemovedAtMs_ = 0;
  Agent.StoppedAtMs_ = 0;
  Map.Agents_.push_back(std::move(Agent));
  return true;
}

void dropExpired(AgentMap &Map, std::int64_t NowMs, std::int64_t RetentionMs) {
  Map.OldestEpoch_ = Map.oldestEpochAt(NowMs, RetentionMs);
  std::erase_if(Map.Agents_, [&](const MapAgent &Agent) {
    return Agent.RemovedEpoch_ != 0 && Agent.RemovedEpoch_ <= Map.OldestEpoch_;
  });
}

} // namespace

std::optional<AgentMap> applyChange(const AgentMap &Map,
                                    const MapChange &Change, std::int64_t NowMs,
                                    std::int64_t RetentionMs) {
  AgentMap Result = Map;
  const Epoch Next = Map.Epoch_ + 1;
  bool Changed = false;
  for (const MapChange::Removal &Removal : Change.Removals_)
    Changed = remove(Result, Removal, Next, NowMs) || Changed;
  for (const MapAgent &Agent : Change.Joins_)
    Changed = join(Result, Agent, Next, NowMs) || Changed;
  if (!Changed)
    return std::nullopt;
  dropExpired(Result, NowMs, RetentionMs);
  Result.Epoch_ = Next;
  return Result;
}

} // namespace wigeonwall::version
