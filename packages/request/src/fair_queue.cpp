#include "wigeonwall/request/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace wigeonwall::request {

using detail::KindQueue;
using detail::KindQueues;
using detail::SlotUse;

namespace {

/// Minimum cost of a task. A cost of zero would let a kind start any number of
/// tasks in a row.
constexpr Duration MinCost = std::chrono::milliseconds(1);

/// Minimum weight. A kind configured with a weight of zero or less is mostly
/// served when no other kind has tasks queued.
constexpr double MinWeight = 1e-3;

/// Tolerance for products such as 0.7 * 10 that fall just below a whole number.
constexpr double RoundingTolerance = 1e-9;

/// Free slots that a flooding kind may not use while another kind with a
/// guarantee is below its share. In a simulation of one queue with 8 slots,
/// tasks of 50 to 350 ms and a flood of 5 times the capacity, the reserve
/// lowers the p99 answer times of the other kinds from 1.21 and 1.32 times
/// their values without flood to 0.92 and 0.99 times. The flooding kind loses
/// 13% of its starts.
constexpr unsigned ReservedSlots = 1;

/// Queued tasks per slot from which a kind counts as flooding. In the same
/// simulation at 90% load without flood, a threshold of 2 raised the p99 answer
/// time of one kind from 1259 to 1636 ms; 3 did not.
constexpr unsigned FloodBacklogPerSlot = 3;

/// Minimum number of slots for a reserve; with fewer it costs too much. At 90%
/// load, the reserve raised the p99 answer time of one kind from 2.6 to 16.5 s
/// with 4 slots, and from 1.6 to 1.8 s with 6.
constexpr unsigned MinSlotsForReserve = 6;

double costOf(const QueuedTask &Task) {
  return static_cast<double>(std::max(Task.ExpectedRun_, MinCost).count());
}

Duration fractionInterval(const QueuedTask &Task, double Fraction) {
  return Duration(static_cast<std::int64_t>(costOf(Task) / Fraction));
}

bool precedes(const KindQueue &A, const KindQueue &B, TimePoint Now) {
  const bool GuaranteeA = A.belowGuarantee(Now);
  const bool GuaranteeB = B.belowGuarantee(Now);
  if (GuaranteeA != GuaranteeB)
    return GuaranteeA;
  if (GuaranteeA && A.Policy_.Urgency_ != B.Policy_.Urgency_)
    return A.Policy_.Urgency_ > B.Policy_.Urgency_;
  if (A.StartTag_ != B.StartTag_)
    return A.StartTag_ < B.StartTag_;
  return A.Policy_.Urgency_ > B.Policy_.Urgency_;
}

bool isFlooding(const KindQueue &Kind, const SlotUse &Slots) {
  return Kind.Tasks_.size() >= std::size_t{FloodBacklogPerSlot} * Slots.Total_;
}

/// True if the last free slot is reserved for another kind than \p Kind.
bool isReservedForOthers(const KindQueues &Kinds, const KindQueue &Kind,
                         TimePoint Now, const SlotUse &Slots) {
  if (Slots.Free_ > ReservedSlots || Slots.Total_ < MinSlotsForReserve ||
      Kind.belowGuarantee(Now) || !isFlooding(Kind, Slots))
    return false;
  return std::any_of(Kinds.begin(), Kinds.end(), [&](const auto &Entry) {
    const KindQueue &Other = Entry.second;
    return &Other != &Kind && Other.Policy_.MinShare_ > 0 &&
           Other.Running_ < Other.ShareSlots_;
  });
}

KindQueue *selectFair(KindQueues &Kinds, TimePoint Now, const SlotUse &Slots) {
  KindQueue *Best = nullptr;
  for (auto &[Name, Kind] : Kinds)
    if (!Kind.Tasks_.empty() && !isReservedForOthers(Kinds, Kind, Now, Slots) &&
        (Best == nullptr || precedes(Kind, *Best, Now)))
      Best = &Kind;
  return Best;
}

KindQueue *selectOldest(KindQueues &Kinds, TimePoint, const SlotUse &) {
  KindQueue *Best = nullptr;
  for (auto &[Name, Kind] : Kinds)
    if (!Kind.Tasks_.empty() &&
        (Best == nullptr || Kind.Tasks_.begin()->first.second <
                                Best->Tasks_.begin()->first.second))
      Best = &Kind;
  return Best;
}

detail::QueueOrdering makeOrdering(QueuePolicy Policy) {
  if (Policy == QueuePolicy::Fifo)
    return {[](const QueuedTask &) { return std::int64_t{0}; }, selectOldest};
  return {[](const QueuedTask &Task) -> std::int64_t {
            return Task.Deadline_.time_since_epoch().count();
          },
          selectFair};
}

/// Charges the start of the first task of \p Kind to its guarantee if possible,
/// otherwise to its weighted share.
void chargeStart(KindQueue &Kind, TimePoint Now, double &VirtualTime) {
  const QueuedTask &Task = Kind.Tasks_.begin()->second;
  if (Kind.Running_ < Kind.GuaranteedSlots_)
    return;
  if (Kind.belowGuarantee(Now)) {
    Kind.FractionReadyAt_ =
        Now + fractionInterval(Task, Kind.GuaranteedFraction_);
    return;
  }
  VirtualTime = std::max(VirtualTime, Kind.StartTag_);
  Kind.StartTag_ += costOf(Task) / std::max(Kind.Policy_.Weight_, MinWeight);
}

} // namespace

bool KindQueue::belowGuarantee(TimePoint Now) const noexcept {
  return Running_ < GuaranteedSlots_ ||
         (Running_ == GuaranteedSlots_ && GuaranteedFraction_ > 0 &&
          Now >= FractionReadyAt_);
}

FairQueue::FairQueue(QueuePolicy Policy, unsigned Slots,
                     std::vector<KindPolicy> Kinds, Clock Now)
    : Ordering_(makeOrdering(Policy)), Slots_(Slots), Now_(std::move(Now)) {
  setPolicies(Kinds);
}

Reason FairQueue::push(QueuedTask Task) {
  const auto Found = Kinds_.find(Task.Kind_);
  if (Found == Kinds_.end() || Found->second.Removed_)
    return Reason::UnknownKind;
  KindQueue &Kind = Found->second;
  if (Kind.Policy_.QueueLimit_ == 0)
    return Reason::LimitIsZero;
  if (Kind.Tasks_.size() >= Kind.Policy_.QueueLimit_)
    return Reason::QueueFull;
  // A kind that was idle starts at the current virtual time, so that it gets no
  // credit for its idle time.
  if (Kind.Tasks_.empty())
    Kind.StartTag_ = std::max(Kind.StartTag_, VirtualTime_);
  const std::int64_t Rank = Ordering_.Rank_(Task);
  Kind.Tasks_.emplace(std::pair(Rank, NextArrival_++), std::move(Task));
  ++Queued_;
  return Reason::None;
}

std::optional<QueuedTask> FairQueue::pop() {
  if (Running_ >= Slots_ || Queued_ == 0)
    return std::nullopt;
  const TimePoint Now = Now_();
  KindQueue *Kind = Ordering_.Select_(Kinds_, Now, {Slots_, Slots_ - Running_});
  if (Kind == nullptr)
    return std::nullopt;
  chargeStart(*Kind, Now, VirtualTime_);
  QueuedTask Task = std::move(Kind->Tasks_.begin()->second);
  Kind->Tasks_.erase(Kind->Tasks_.begin());
  ++Kind->Running_;
  ++Running_;
  --Queued_;
  return Task;
}

void FairQueue::finish(const std::string &Kind) {
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end() || Found->second.Running_ == 0)
    return;
  --Found->second.Running_;
  --Running_;
  if (Found->second.Removed_ && Found->second.Running_ == 0)
    Kinds_.erase(Found);
}

template <typename Predicate>
std::vector<QueuedTask> FairQueue::removeIf(Predicate Matches) {
  std::vector<QueuedTask> Removed;
  for (auto &[Name, Kind] : Kinds_)
    for (auto It = Kind.Tasks_.begin(); It != Kind.Tasks_.end();) {
      if (!Matches(Kind, It->second)) {
        ++It;
        continue;
      }
      Removed.push_back(std::move(It->second));
      It = Kind.Tasks_.erase(It);
      --Queued_;
    }
  return Removed;
}

std::vector<QueuedTask> FairQueue::removeJob(const JobKey &Job) {
  return removeIf([&](const KindQueue &, const QueuedTask &Task) {
    return Task.Job_ == Job;
  });
}

std::vector<QueuedTask> FairQueue::removeExpired() {
  const TimePoint Now = Now_();
  return removeIf([&](const KindQueue &, const QueuedTask &Task) {
    return Task.Deadline_ <= Now;
  });
}

std::vector<QueuedTask> FairQueue::clear() {
  return removeIf([](const KindQueue &, const QueuedTask &) { return true; });
}

std::vector<QueuedTask>
FairQueue::setPolicies(const std::vector<KindPolicy> &Kinds) {
  for (auto &[Name, Kind] : Kinds_)
    Kind.Removed_ = true;
  for (const KindPolicy &Policy : Kinds) {
    KindQueue &Kind = Kinds_[Policy.Name_];
    Kind.Policy_ = Policy;
    Kind.Removed_ = false;
  }
  auto Orphans = removeIf(
      [](const KindQueue &Kind, const QueuedTask &) { return Kind.Removed_; });
  std::erase_if(Kinds_, [](const auto &Entry) {
    return Entry.second.Removed_ && Entry.second.Running_ == 0;
  });
  assignShares();
  return Orphans;
}

void FairQueue::assignShares() {
  ShareTotals Totals;
  for (const auto &[Name, Kind] : Kinds_)
    if (!Kind.Removed_)
      Totals.add(Kind.Policy_);
  for (auto &[Name, Kind] : Kinds_) {
    const KindPolicy Policy =
        Kind.Removed_ ? KindPolicy{"", 0, 0} : Kind.Policy_;
    const double Guaranteed = Totals.guaranteeOf(Policy) * Slots_;
    const double Whole = std::floor(Guaranteed + RoundingTolerance);
    Kind.GuaranteedSlots_ = static_cast<unsigned>(Whole);
    Kind.GuaranteedFraction_ =
        Guaranteed - Whole > RoundingTolerance ? Guaranteed - Whole : 0.0;
    Kind.ShareSlots_ = Totals.shareOf(Policy) * Slots_;
  }
}

AgentLoad FairQueue::load() const noexcept {
  return {Running_, Queued_, Slots_};
}

} // namespace wigeonwall::request
