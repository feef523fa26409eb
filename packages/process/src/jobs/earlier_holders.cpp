#include "wigeonwall/process/jobs/earlier_holders.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::process {

using request::HomeIdentity;
using request::JobKey;
using version::HolderPair;
using version::MapAgent;

namespace {

constexpr unsigned MaxAttempts = 2;
constexpr std::chrono::milliseconds AttemptInterval{100};

bool stoppedBefore(const MapAgent *Agent, std::int64_t CreatedAtMs) {
  return Agent != nullptr && Agent->StoppedAtMs_ != 0 &&
         CreatedAtMs > Agent->StoppedAtMs_ + ClockToleranceMs;
}

} // namespace

struct EarlierHolders::Inquiry {
  JobKey Key_;
  PriorRecordCallback Done_;
  std::vector<bool> Cleared_;
  /// Per pair, the number of holders that have not answered or failed yet.
  std::vector<unsigned> Outstanding_;
  bool Finished_ = false;
};

EarlierHolders::EarlierHolders(AgentContext Context)
    : Context_(std::move(Context)),
      SealsSent_(Context_.Counters_.counter("record_seals_sent_total")) {}

bool EarlierHolders::isSelf(const MapAgent *Agent) const {
  return Agent != nullptr && Agent->Id_ == Context_.Self_.Id_ &&
         Agent->Incarnation_ == Context_.Self_.Incarnation_;
}

void EarlierHolders::recordEpoch(const MapAgent &Holder,
                                 const Json::Value &Reply) {
  if (!Reply["epoch"].isUInt64())
    return;
  ObservedEpochs_[Holder.Id_].advance(
      Holder.Incarnation_, Reply["epoch"].asUInt64(), Context_.WallMs_());
}

namespace {

/// Whether the holder was observed in an epoch above \p Last before the job was
/// created.
bool observedAbove(const ObservedEpochs &Observed, const MapAgent &Holder,
                   version::Epoch Last, std::int64_t CreatedAtMs) {
  const auto Found = Observed.find(Holder.Id_);
  if (Found == Observed.end())
    return false;
  const ObservedEpoch &Seen = Found->second;
  return Seen.Incarnation_ == Holder.Incarnation_ && Seen.Epoch_ > Last &&
         CreatedAtMs > Seen.ObservedAtMs_ + ClockToleranceMs;
}

} // namespace

bool EarlierHolders::leftEpochBefore(const MapAgent *Holder,
                                     version::Epoch Last,
                                     std::int64_t CreatedAtMs) const {
  return Holder != nullptr &&
         (observedAbove(ObservedEpochs_, *Holder, Last, CreatedAtMs) ||
          observedAbove(Context_.View_()->ObservedEpochs_, *Holder, Last,
                        CreatedAtMs));
}

bool EarlierHolders::isPairCleared(const HolderPair &Pair,
                                   std::int64_t CreatedAtMs) const {
  // This process has no record of the job, which is equivalent to a seal.
  return isSelf(Pair.Home_) || isSelf(Pair.Copy_) ||
         stoppedBefore(Pair.Home_, CreatedAtMs) ||
         stoppedBefore(Pair.Copy_, CreatedAtMs) ||
         leftEpochBefore(Pair.Home_, Pair.LastEpoch_, CreatedAtMs) ||
         leftEpochBefore(Pair.Copy_, Pair.LastEpoch_, CreatedAtMs);
}

std::vector<HolderPair>
EarlierHolders::pairsToQuery(const JobKey &Key, std::int64_t CreatedAtMs,
                             const ClusterView &View) const {
  const auto RetentionMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          recordRetention(View));
  const version::Epoch Oldest =
      View.Map_->oldestEpochAt(Context_.WallMs_(), RetentionMs.count());
  auto Pairs = View.Map_->earlierHolders(Key, Oldest);
  std::erase_if(Pairs, [&](const HolderPair &Pair) {
    return isPairCleared(Pair, CreatedAtMs);
  });
  return Pairs;
}

bool EarlierHolders::allPairsCleared(const JobKey &Key,
                                     std::int64_t CreatedAtMs) const {
  return pairsToQuery(Key, CreatedAtMs, *Context_.View_()).empty();
}

void EarlierHolders::query(const JobKey &Key, std::int64_t CreatedAtMs,
                           PriorRecordCallback Done) {
  const auto View = Context_.View_();
  auto State = std::make_shared<Inquiry>();
  State->Key_ = Key;
  State->Done_ = std::move(Done);
  const auto Pairs = pairsToQuery(Key, CreatedAtMs, *View);
  State->Cleared_.resize(Pairs.size());
  State->Outstanding_.resize(Pairs.size());
  for (std::size_t I = 0; I < Pairs.size(); ++I) {
    State->Outstanding_[I] = Pairs[I].Copy_ != nullptr ? 2 : 1;
    sendSeal(State, I, *Pairs[I].Home_, 1);
    if (Pairs[I].Copy_ != nullptr)
      sendSeal(State, I, *Pairs[I].Copy_, 1);
  }
  if (Pairs.empty())
    Context_.After_(request::Duration::zero(),
                    [this, State] { finish(State, {}); });
}

void EarlierHolders::sendSeal(const std::shared_ptr<Inquiry> &State,
                              std::size_t Pair, const MapAgent &Holder,
                              unsigned Attempt) {
  Json::Value Params;
  writeJobKey(Params, State->Key_);
  Params["epoch"] = Json::UInt64(currentEpoch(*Context_.View_()));
  Params["to_incarnation"] = Json::Int64(Holder.Incarnation_);
  SealsSent_.fetch_add(1);
  Context_.Call_(
      Holder.TrafficAddress_, "record.seal", std::move(Params), CallTimeout,
      [this, State, Pair, Holder,
       Attempt](const connection::RpcResult &Result) {
        if (Result.ok()) {
          recordEpoch(Holder, Result.Value_);
          return onReply(State, Pair, Result.Value_);
        }
        // A refusal means that another incarnation has the address.
        if (Result.Refused_ || Attempt >= MaxAttempts)
          return onHolderFailed(State, Pair);
        Context_.After_(AttemptInterval, [this, State, Pair, Holder, Attempt] {
          sendSeal(State, Pair, Holder, Attempt + 1);
        });
      });
}

void EarlierHolders::onReply(const std::shared_ptr<Inquiry> &State,
                             std::size_t Pair, const Json::Value &Reply) {
  if (State->Finished_)
    return;
  if (auto Known = readSealReply(Reply, *Context_.View_()))
    return finish(State, std::move(*Known));
  State->Cleared_[Pair] = true;
  if (std::all_of(State->Cleared_.begin(), State->Cleared_.end(),
                  [](bool Each) { return Each; }))
    finish(State, {});
}

void EarlierHolders::onHolderFailed(const std::shared_ptr<Inquiry> &State,
                                    std::size_t Pair) {
  if (State->Finished_)
    return;
  if (--State->Outstanding_[Pair] == 0 && !State->Cleared_[Pair])
    finish(State, {PriorRecord::Lost, {}, {}});
}

void EarlierHolders::finish(const std::shared_ptr<Inquiry> &State,
                            PriorRecordResult Result) {
  if (State->Finished_)
    return;
  State->Finished_ = true;
  State->Done_(Result);
}

std::optional<PriorRecordResult> readSealReply(const Json::Value &Reply,
                                               const ClusterView &View) {
  const std::string State = Reply["state"].asString();
  if (State == "sealed")
    return std::nullopt;
  PriorRecordResult Result;
  Result.Kind_ = PriorRecord::Lost;
  request::CodecFault Why;
  if (State == "final" && Reply.isMember("answer"))
    if (auto Answer = request::decodeAnswer(Reply["answer"], Why)) {
      Result.Kind_ = PriorRecord::Answered;
      Result.Answer_ = std::move(*Answer);
      return Result;
    }
  Result.Home_ = decodeHome(Reply["home"]);
  if (isAlive(Result.Home_, View))
    Result.Kind_ = PriorRecord::RunningElsewhere;
  return Result;
}

} // namespace wigeonwall::process
