#include "wigeonwall/process/membership/membership.h"

#include <algorithm>
#include <utility>

namespace wigeonwall::process {

using request::TimePoint;

namespace {

/// Minimum interval between full-list exchanges with one member; a list of 620
/// members has about 90 KB.
constexpr request::Duration JoinInterval = std::chrono::seconds(2);

/// One push to 3 peers by each process leaves about 5% of the processes without
/// the update, two leave 0.3%; updates piggybacked on probes reach the rest.
constexpr unsigned PushesPerUpdate = 2;

/// Rate limits of updates (in units of MemberTable::cost()) and of pushes. They
/// keep a process that sends four messages per second under 6 KB/s while many
/// members change. The bursts cover the start of about 15 processes.
constexpr double UpdateCostPerSecond = 30;
constexpr double UpdateCostBurst = 600;
constexpr double PushesPerSecond = 1;
constexpr double PushBurst = 10;

/// Consecutive digest mismatches, without an update in between, that trigger a
/// full-list exchange. A process that lacks an update has mismatches with all
/// peers; the others have them only with that process and leave the exchange to
/// it.
constexpr unsigned MismatchesForRepair = 8;

/// The same while updates are queued. When hundreds of processes start at once,
/// the queues stay non-empty for half an hour; without an exchange, some
/// members would stay unknown to a few processes for that time.
constexpr unsigned MismatchesForRepairWhileBusy = 40;

} // namespace

double TokenBucket::available(TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - Last_;
  Last_ = Now;
  Tokens_ = std::min(Burst_, Tokens_ + PerSecond_ * Passed.count());
  return Tokens_;
}

Membership::Membership(Member Own, request::Clock Clock, std::mt19937_64 Random,
                       MembershipOptions Options, MembershipHooks Hooks)
    : Clock_(std::move(Clock)), Random_(Random), Options_(Options),
      Hooks_(std::move(Hooks)), LastCallAt_(Clock_()),
      UpdateTokens_(UpdateCostPerSecond, UpdateCostBurst, LastCallAt_),
      PushTokens_(PushesPerSecond, PushBurst, LastCallAt_) {
  Own_.Member_ = std::move(Own);
  Own_.Member_.State_ = MemberState::Alive;
  // A random phase keeps processes that start together from probing together.
  std::uniform_int_distribution<request::Duration::rep> Phase(
      0, Options_.ProbePeriod_.count());
  NextRandom_ = LastCallAt_ + request::Duration(Phase(Random_));
  NextSuccessor_ = NextRandom_ + Options_.ProbePeriod_ / 2;
  NextDead_ = LastCallAt_ + Options_.DeadProbePeriod_;
  NextPush_ = LastCallAt_;
  NextRepair_ = LastCallAt_ + Options_.RepairPeriod_;
  Table_.queue(Own_);
}

TimePoint Membership::observeTime() {
  const TimePoint Now = Clock_();
  if (Now - LastCallAt_ > Options_.PauseThreshold_) {
    // Replies may have arrived during the pause, so neither pending probes nor
    // running suspicion timeouts are evidence of a failure.
    Probes_.clear();
    IndirectProbes_.clear();
    Table_.restartSuspicions(Now);
  }
  LastCallAt_ = Now;
  return Now;
}

void Membership::tick() {
  const TimePoint Now = observeTime();
  if (Superseded_ || Own_.Member_.State_ == MemberState::Left)
    return;
  checkProbes(Now);
  checkSuspicions(Now);
  notifySuspects(Now);
  if (Now >= NextRandom_) {
    NextRandom_ = Now + Options_.ProbePeriod_;
    probeRandom(Now);
  }
  if (Now >= NextSuccessor_) {
    NextSuccessor_ = Now + Options_.ProbePeriod_;
    probeSuccessor(Now);
  }
  if (Now >= NextDead_) {
    NextDead_ = Now + Options_.DeadProbePeriod_;
    probeDead(Now);
    if (Table_.removeGone(Now - Options_.GoneMemberRetention_))
      notifyChanged();
  }
  recheckOne(Now);
  pushUpdates(Now);
}

MembershipMessage Membership::onProbe(const MembershipMessage &Request) {
  const TimePoint Now = observeTime();
  receive(Request, Now);
  if (Request.Target_) {
    apply(*Request.Target_, Now);
    acknowledge(Request.Target_->Member_.Id_,
                Request.Target_->Member_.Incarnation_);
  }
  return replyTo(Request, messageFor(Request.From_.Member_.Id_));
}

MembershipMessage Membership::replyTo(const MembershipMessage &Request,
                                      MembershipMessage Reply) const {
  const Member &From = Request.From_.Member_;
  Reply.UnknownSender_ = !Table_.knows(From.Id_, From.Incarnation_);
  // The sender needs the address of this process to join.
  if (Reply.UnknownSender_)
    Reply.From_ = Own_;
  const MemberRecord *Record = Table_.find(From.Id_);
  if (Record == nullptr ||
      Record->Update_.Member_.Incarnation_ <= From.Incarnation_)
    return Reply;
  // Tells an older incarnation that is still running that it was replaced.
  if (Reply.Updates_.size() == Options_.MaxUpdates_)
    Reply.Updates_.pop_back();
  Reply.Updates_.push_back(Record->Update_.withoutDetails());
  return Reply;
}

MembershipMessage Membership::onProbeVia(const MembershipMessage &Request) {
  const TimePoint Now = observeTime();
  receive(Request, Now);
  if (Request.Target_) {
    const std::string &Id = Request.Target_->Member_.Id_;
    if (const MemberRecord *Record = Table_.find(Id)) {
      IndirectProbes_.push_back(
          {Request.From_.Member_.Id_, Id,
           Now + Options_.DirectTimeout_ + Options_.IndirectTimeout_});
      Hooks_.SendProbe_(Record->Update_.Member_);
    }
  }
  return messageFor(Request.From_.Member_.Id_);
}

MembershipMessage Membership::onJoin(const MembershipMessage &Request) {
  receive(Request, observeTime());
  return replyTo(Request, joinMessage());
}

void Membership::onReply(const MembershipMessage &Reply) {
  const TimePoint Now = observeTime();
  receive(Reply, Now);
  const Member &From = Reply.From_.Member_;
  acknowledge(From.Id_, From.Incarnation_);
  if (Reply.UnknownSender_)
    requestJoin(From.Id_, Now);
}

void Membership::onUnreachable(const std::string &Id) {
  const TimePoint Now = observeTime();
  const auto Found = Probes_.find(Id);
  if (Found != Probes_.end() && !Found->second.Indirect_)
    startIndirectProbes(Id, Found->second, Now);
}

void Membership::receive(const MembershipMessage &Message, TimePoint Now) {
  if (Message.From_.Member_.Id_ == Own_.Member_.Id_) {
    handleUpdateOfSelf(Message.From_);
    return;
  }
  receiveSender(Message.From_, Now);
  for (const MemberUpdate &Update : Message.Updates_)
    apply(Update, Now);
  receiveList(Message, Now);
  compareDigest(Message, Now);
}

void Membership::receiveSender(const MemberUpdate &From, TimePoint Now) {
  // A member that was considered dead may come from the other side of a healed
  // partition, whose member list differs.
  if (apply(From, Now) == ApplyResult::Revived)
    requestJoin(From.Member_.Id_, Now);
}

void Membership::receiveList(const MembershipMessage &Message, TimePoint Now) {
  // A process that has just started does not disseminate what all others know.
  const bool Disseminate = Table_.presentCount() > 1;
  for (const MemberUpdate &Each : Message.List_) {
    if (Each.Member_.Id_ == Own_.Member_.Id_) {
      handleUpdateOfSelf(Each);
      continue;
    }
    // After a partition, each side considers the other dead. Adopting those
    // suspicions would mark this side's members dead, so they only cause a
    // probe.
    MemberUpdate Announced = Each;
    if (Each.present())
      Announced.Suspicion_ = Suspicion::None;
    if (Each.present() || Each.Member_.State_ == MemberState::Left)
      apply(Announced, Now, Disseminate);
    const MemberRecord *Record = Table_.find(Each.Member_.Id_);
    if (Record != nullptr && Record->Update_.present() != Each.present() &&
        std::find(RecheckQueue_.begin(), RecheckQueue_.end(),
                  Each.Member_.Id_) == RecheckQueue_.end())
      RecheckQueue_.push_back(Each.Member_.Id_);
  }
}

void Membership::compareDigest(const MembershipMessage &Message,
                               TimePoint Now) {
  if (!Message.List_.empty() || Message.Digest_ == digest()) {
    Mismatches_ = 0;
    return;
  }
  // Digests differ temporarily while updates are being disseminated.
  ++Mismatches_;
  const unsigned Needed =
      Table_.hasUpdates() ? MismatchesForRepairWhileBusy : MismatchesForRepair;
  if (Mismatches_ < Needed || Now < NextRepair_)
    return;
  Mismatches_ = 0;
  NextRepair_ = Now + Options_.RepairPeriod_;
  requestJoin(Message.From_.Member_.Id_, Now);
}

ApplyResult Membership::apply(const MemberUpdate &Update, TimePoint Now,
                              bool Disseminate) {
  if (Update.Member_.Id_ == Own_.Member_.Id_) {
    handleUpdateOfSelf(Update);
    return ApplyResult::Ignored;
  }
  const ApplyResult Result = Table_.apply(Update, Now, Disseminate);
  if (Result == ApplyResult::Ignored)
    return Result;
  Mismatches_ = 0;
  if (Disseminate)
    PendingPushes_ = PushesPerUpdate;
  notifyChanged();
  return Result;
}

void Membership::handleUpdateOfSelf(const MemberUpdate &Update) {
  if (Update.Member_.Incarnation_ > Own_.Member_.Incarnation_) {
    if (!std::exchange(Superseded_, true))
      Hooks_.Superseded_();
    return;
  }
  if (Update.Member_.Incarnation_ < Own_.Member_.Incarnation_ ||
      Own_.Member_.State_ == MemberState::Left)
    return;
  if (Update.Revision_ < Own_.Revision_ ||
      (Update.Revision_ == Own_.Revision_ &&
       Update.Suspicion_ == Suspicion::None))
    return;
  Own_.Revision_ = Update.Revision_;
  announceState(Own_.Member_.State_);
}

void Membership::announceState(MemberState Announced) {
  Own_.Member_.State_ = Announced;
  ++Own_.Revision_;
  Table_.queue(Own_);
  PendingPushes_ = PushesPerUpdate;
  notifyChanged();
}

void Membership::notifyChanged() {
  ++Generation_;
  Hooks_.Changed_();
}

void Membership::acknowledge(const std::string &Id, std::int64_t Incarnation) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr || Record->Update_.Member_.Incarnation_ > Incarnation)
    return;
  Probes_.erase(Id);
  std::vector<IndirectProbe> Done;
  std::copy_if(IndirectProbes_.begin(), IndirectProbes_.end(),
               std::back_inserter(Done),
               [&](const IndirectProbe &Each) { return Each.Target_ == Id; });
  std::erase_if(IndirectProbes_,
                [&](const IndirectProbe &Each) { return Each.Target_ == Id; });
  for (const IndirectProbe &Each : Done)
    if (const MemberRecord *Origin = Table_.find(Each.Origin_))
      Hooks_.SendIndirectAck_(Origin->Update_.Member_,
                              Record->Update_.withoutDetails());
}

void Membership::requestJoin(const std::string &Id, TimePoint Now) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr)
    return;
  std::erase_if(LastJoinAt_, [&](const auto &Each) {
    return Now - Each.second >= JoinInterval;
  });
  if (!LastJoinAt_.try_emplace(Id, Now).second)
    return;
  Hooks_.SendJoin_(Record->Update_.Member_);
}

MembershipMessage Membership::messageFor(const std::string &ToId) {
  MembershipMessage Message;
  Message.From_ = Own_.withoutDetails();
  Message.Digest_ = digest();
  // A suspected member must receive the suspicion to be able to refute it.
  const MemberRecord *Receiver = Table_.find(ToId);
  if (Receiver != nullptr && Receiver->Update_.Suspicion_ != Suspicion::None)
    Message.Updates_.push_back(Receiver->Update_.withoutDetails());
  for (MemberUpdate &Each :
       Table_.takeUpdates(Options_.MaxUpdates_ - Message.Updates_.size(),
                          UpdateTokens_.available(LastCallAt_))) {
    UpdateTokens_.spend(MemberTable::cost(Each));
    Message.Updates_.push_back(std::move(Each));
  }
  return Message;
}

MembershipMessage Membership::joinMessage() {
  MembershipMessage Message;
  Message.From_ = Own_;
  Message.Digest_ = digest();
  for (const auto &[Id, Record] : Table_.records())
    Message.List_.push_back(Record.Update_);
  for (MemberUpdate &Each : Message.List_)
    Each.Complete_ = Each.present();
  return Message;
}

void Membership::beginLeaving() {
  if (Own_.Member_.State_ != MemberState::Alive)
    return;
  announceState(MemberState::Leaving);
  NextPush_ = observeTime();
  pushUpdates(NextPush_);
}

void Membership::leave(std::int64_t StoppedAtMs) {
  if (Own_.Member_.State_ == MemberState::Left)
    return;
  Own_.StoppedAtMs_ = StoppedAtMs;
  announceState(MemberState::Left);
  NextPush_ = observeTime();
  pushUpdates(NextPush_);
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Members{Own_.Member_};
  for (const auto &[Id, Record] : Table_.records()) {
    Members.push_back(Record.Update_.Member_);
    Members.back().State_ = Record.Update_.state();
  }
  return Members;
}

std::vector<Member> Membership::randomPeers(std::size_t MaxCount,
                                            const std::string &Except) {
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Record] : Table_.records())
    if (Id != Except && Record.Update_.present() &&
        Record.Update_.Suspicion_ == Suspicion::None)
      Candidates.push_back(&Record.Update_.Member_);
  std::vector<const Member *> Chosen;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Chosen),
              MaxCount, Random_);
  std::vector<Member> Peers;
  Peers.reserve(Chosen.size());
  for (const Member *Each : Chosen)
    Peers.push_back(*Each);
  return Peers;
}

} // namespace wigeonwall::process
