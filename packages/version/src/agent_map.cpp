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

constexpr std::uint64_t FnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

void hashAppend(std::uint64_t &Hash, const std::string &Text) {
  for (unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * FnvPrime;
  Hash = (Hash ^ 0x1f) * FnvPrime;
}

/// Finalizer of SplitMix64. The high bits of an FNV-1a hash vary little for
/// short inputs.
std::uint64_t mixBits(std::uint64_t Hash) {
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

/// Hash of the job key. The id of each agent is appended to a copy of it.
std::uint64_t hashJobKey(const JobKey &Key) {
  std::uint64_t Hash = FnvOffsetBasis;
  hashAppend(Hash, Key.Service_);
  hashAppend(Hash, Key.Id_);
  return Hash;
}

/// An agent and its rendezvous weight for one job.
struct RankedAgent {
  std::uint64_t Weight_ = 0;
  const MapAgent *Agent_ = nullptr;

  [[nodiscard]] bool precedes(const RankedAgent &Other) const {
    if (Other.Agent_ == nullptr || Weight_ != Other.Weight_)
      return Other.Agent_ == nullptr || Weight_ > Other.Weight_;
    return Agent_->Id_ < Other.Agent_->Id_;
  }
};

/// Finds the candidates for holders in a single pass. Sorting 620 agents takes
/// several times as long, and the holders of each job are computed once at the
/// entry and twice at the home agent.
struct TopAgents {
  RankedAgent First_;
  RankedAgent Second_;
  /// Highest-ranked agent outside the failure domain of First_.
  RankedAgent FirstInOtherDomain_;

  void add(const RankedAgent &Next) {
    const bool SameDomain =
        First_.Agent_ != nullptr &&
        First_.Agent_->FailureDomain_ == Next.Agent_->FailureDomain_;
    if (Next.precedes(First_)) {
      if (!SameDomain)
        FirstInOtherDomain_ = First_;
      Second_ = std::exchange(First_, Next);
      return;
    }
    if (Next.precedes(Second_))
      Second_ = Next;
    if (!SameDomain && Next.precedes(FirstInOtherDomain_))
      FirstInOtherDomain_ = Next;
  }
};

std::pair<std::string, std::int64_t> identityOf(const MapAgent *Agent) {
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
                                    CodecFault &Fault) {
  FieldReader Reader(Value, Position, Fault);
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

HolderPair AgentMap::holders(const JobKey &Key, Epoch AtEpoch) const {
  const std::uint64_t KeyHash = hashJobKey(Key);
  TopAgents Top;
  for (const MapAgent &Agent : Agents_) {
    if (Agent.Service_ != Key.Service_ || !Agent.presentIn(AtEpoch))
      continue;
    std::uint64_t Hash = KeyHash;
    hashAppend(Hash, Agent.Id_);
    Top.add({mixBits(Hash), &Agent});
  }
  return {Top.First_.Agent_, Top.FirstInOtherDomain_.Agent_ != nullptr
                                 ? Top.FirstInOtherDomain_.Agent_
                                 : Top.Second_.Agent_};
}

std::vector<HolderPair> AgentMap::earlierHolders(const JobKey &Key,
                                                 Epoch Oldest) const {
  // The pairs change only at epochs at which an agent of the service joined or
  // left.
  std::set<Epoch> ChangeEpochs{Oldest};
  for (const MapAgent &Agent : Agents_) {
    if (Agent.Service_ != Key.Service_)
      continue;
    ChangeEpochs.insert(Agent.JoinedEpoch_);
    if (Agent.RemovedEpoch_ != 0)
      ChangeEpochs.insert(Agent.RemovedEpoch_);
  }
  using Identity = std::pair<std::string, std::int64_t>;
  const auto PairIdentity = [](const HolderPair &Pair) {
    return std::pair<Identity, Identity>(identityOf(Pair.Home_),
                                         identityOf(Pair.Copy_));
  };
  const auto Current = PairIdentity(holders(Key));
  std::vector<HolderPair> Result;
  for (auto ChangeEpoch = ChangeEpochs.begin();
       ChangeEpoch != ChangeEpochs.end(); ++ChangeEpoch) {
    if (*ChangeEpoch < Oldest || *ChangeEpoch >= Epoch_)
      continue;
    HolderPair Pair = holders(Key, *ChangeEpoch);
    if (Pair.Home_ == nullptr || PairIdentity(Pair) == Current)
      continue;
    const auto Next = std::next(ChangeEpoch);
    Pair.LastEpoch_ =
        std::min(Next == ChangeEpochs.end() ? Epoch_ : *Next, Epoch_) - 1;
    const auto Existing =
        std::find_if(Result.begin(), Result.end(), [&](const HolderPair &Each) {
          return PairIdentity(Each) == PairIdentity(Pair);
        });
    if (Existing == Result.end())
      Result.push_back(Pair);
    else
      Existing->LastEpoch_ = Pair.LastEpoch_;
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

std::optional<AgentMap> decodeMap(const Json::Value &Value, MapFault &Fault) {
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
    Fault = {MapError::Malformed, Inner.Message_, Inner.Position_};
    return std::nullopt;
  }
  Map.Epoch_ = static_cast<Epoch>(Number);
  Map.OldestEpoch_ = static_cast<Epoch>(Oldest);
  return Map;
}

namespace {

bool removeAgent(AgentMap &Map, const MapChange::Removal &Removal, Epoch Next,
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

bool addAgent(AgentMap &Map, MapAgent Agent, Epoch Next, std::int64_t NowMs) {
  if (const MapAgent *Present = Map.findPresent(Agent.Id_)) {
    if (Present->Incarnation_ >= Agent.Incarnation_)
      return false;
    // The new incarnation listens on the same address, so the old one had
    // stopped when it started.
    removeAgent(Map, {Present->Id_, Present->Incarnation_, Agent.Incarnation_},
                Next, NowMs);
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
    Changed = removeAgent(Result, Removal, Next, NowMs) || Changed;
  for (const MapAgent &Agent : Change.Joins_)
    Changed = addAgent(Result, Agent, Next, NowMs) || Changed;
  if (!Changed)
    return std::nullopt;
  dropExpired(Result, NowMs, RetentionMs);
  Result.Epoch_ = Next;
  return Result;
}

} // namespace wigeonwall::version
