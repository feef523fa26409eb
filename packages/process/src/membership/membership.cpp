#include "wigeonwall/process/membership/membership.h"

#include <algorithm>
#include <utility>

namespace wigeonwall::process {

using request::TimePoint;

namespace {

/// Between full-list exchanges with one member; a list of 620 has about 90 KB.
constexpr request::Duration JoinInterval = std::chrono::seconds(2);

/// One push to 3 peers by each process leaves about 5% of them without the
/// news, two leave 0.3%; updates on probes reach the rest.
constexpr unsigned PushesPerNews = 2;

/// Bounds on updates (in units of MemberTable::cost()) and on pushes: with
/// them, a process that sends four messages a second stays under 6 KB/s while
/// many members change. The bursts cover the start of some 15 processes.
constexpr double UpdateCostPerSecond = 30;
constexpr double UpdateCostBurst = 600;
constexpr double PushesPerSecond = 1;
constexpr double PushBurst = 10;

/// Differing digests in a row, with no news in between, that call for a repair.
/// A process that lacks an update differs from all peers; the others differ
/// only from that one and leave the repair to it.
constexpr unsigned MismatchesForRepair = 8;

/// The same while updates wait to be passed on. When hundreds of processes
/// start at once, the queues stay filled for half an hour, and without a repair
/// some members stay unknown to a few processes that long.
constexpr unsigned MismatchesWhileBusy = 40;

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
      Hooks_(std::move(Hooks)), LastCall_(Clock_()),
      UpdateTokens_(UpdateCostPerSecond, UpdateCostBurst, LastCall_),
      PushTokens_(PushesPerSecond, PushBurst, LastCall_) {
  Own_.Member_ = std::move(Own);
  Own_.Member_.State_ = MemberState::Alive;
  // A random phase keeps processes that start together from probing together.
  std::uniform_int_distribution<request::Duration::rep> Phase(
      0, Options_.ProbePeriod_.count());
  NextRandom_ = LastCall_ + request::Duration(Phase(Random_));
  NextNeighbour_ = NextRandom_ + Options_.ProbePeriod_ / 2;
  NextDead_ = LastCall_ + Options_.DeadProbePeriod_;
  NextPush_ = LastCall_;
  NextRepair_ = LastCall_ + Options_.RepairPeriod_;
  Table_.queue(Own_);
}

TimePoint Membership::observeTime() {
  const TimePoint Now = Clock_();
  if (Now - LastCall_ > Options_.PauseGap_) {
    // Replies may have come while this process was paused, so neither open
    // probes nor running suspicions say anything about the others.
    Probes_.clear();
    Relays_.clear();
    Table_.restartSuspicions(Now);
  }
  LastCall_ = Now;
  return Now;
}

void Membership::tick() {
  const TimePoint Now = observeTime();
  if (Superseded_ || Own_.Member_.State_ == MemberState::Left)
    return;
  checkProbes(Now);
  checkSuspicions(Now);
  remindSuspects(Now);
  if (Now >= NextRandom_) {
    NextRandom_ = Now + Options_.ProbePeriod_;
    probeRandom(Now);
  }
  if (Now >= NextNeighbour_) {
    NextNeighbour_ = Now + Options_.ProbePeriod_;
    probeNext(Now);
  }
  if (Now >= NextDead_) {
    NextDead_ = Now + Options_.DeadProbePeriod_;
    probeDead(Now);
    if (Table_.forget(Now - Options_.ForgetTime_))
      changed();
  }
  recheckOne(Now);
  pushNews(Now);
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
  // An older incarnation that still runs learns that it was replaced.
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
      Relays_.push_back(
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
    askOthers(Id, Found->second, Now);
}

void Membership::receive(const MembershipMessage &Message, TimePoint Now) {
  if (Message.From_.Member_.Id_ == Own_.Member_.Id_) {
    hearAboutSelf(Message.From_);
    return;
  }
  receiveSender(Message.From_, Now);
  for (const MemberUpdate &Update : Message.Updates_)
    apply(Update, Now);
  receiveList(Message, Now);
  compareDigest(Message, Now);
}

void Membership::receiveSender(const MemberUpdate &From, TimePoint Now) {
  // A member that was dead until now may come from the other side of a cut,
  // whose list differs from the own one.
  if (apply(From, Now) == ApplyResult::Revived)
    requestJoin(From.Member_.Id_, Now);
}

void Membership::receiveList(const MembershipMessage &Message, TimePoint Now) {
  // A process that has just started need not pass on what all others know.
  const bool PassOn = Table_.presentCount() > 1;
  for (const MemberUpdate &Each : Message.List_) {
    if (Each.Member_.Id_ == Own_.Member_.Id_) {
      hearAboutSelf(Each);
      continue;
    }
    // After a cut, each side holds the other dead. Taking over accusations
    // would kill the own side, so they only cause a probe.
    MemberUpdate Statement = Each;
    if (Each.present())
      Statement.Suspicion_ = Suspicion::None;
    if (Each.present() || Each.Member_.State_ == MemberState::Left)
      apply(Statement, Now, PassOn);
    const MemberRecord *Record = Table_.find(Each.Member_.Id_);
    if (Record != nullptr && Record->Update_.present() != Each.present() &&
        std::find(Recheck_.begin(), Recheck_.end(), Each.Member_.Id_) ==
            Recheck_.end())
      Recheck_.push_back(Each.Member_.Id_);
  }
}

void Membership::compareDigest(const MembershipMessage &Message,
                               TimePoint Now) {
  if (!Message.List_.empty() || Message.Digest_ == digest()) {
    Mismatches_ = 0;
    return;
  }
  // While news is on its way, digests differ and will agree without help.
  ++Mismatches_;
  const unsigned Needed =
      Table_.hasUpdates() ? MismatchesWhileBusy : MismatchesForRepair;
  if (Mismatches_ < Needed || Now < NextRepair_)
    return;
  Mismatches_ = 0;
  NextRepair_ = Now + Options_.RepairPeriod_;
  requestJoin(Message.From_.Member_.Id_, Now);
}

ApplyResult Membership::apply(const MemberUpdate &Update, TimePoint Now,
                              bool PassOn) {
  if (Update.Member_.Id_ == Own_.Member_.Id_) {
    hearAboutSelf(Update);
    return ApplyResult::Ignored;
  }
  const ApplyResult Result = Table_.apply(Update, Now, PassOn);
  if (Result == ApplyResult::Ignored)
    return Result;
  Mismatches_ = 0;
  if (PassOn)
    PushesDue_ = PushesPerNews;
  changed();
  return Result;
}

void Membership::hearAboutSelf(const MemberUpdate &Update) {
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
  state(Own_.Member_.State_);
}

void Membership::state(MemberState Statement) {
  Own_.Member_.State_ = Statement;
  ++Own_.Revision_;
  Table_.queue(Own_);
  PushesDue_ = PushesPerNews;
  changed();
}

void Membership::changed() {
  ++Generation_;
  Hooks_.Changed_();
}

void Membership::acknowledge(const std::string &Id, std::int64_t Incarnation) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr || Record->Update_.Member_.Incarnation_ > Incarnation)
    return;
  Probes_.erase(Id);
  std::vector<Relay> Done;
  std::copy_if(Relays_.begin(), Relays_.end(), std::back_inserter(Done),
               [&](const Relay &Each) { return Each.Target_ == Id; });
  std::erase_if(Relays_, [&](const Relay &Each) { return Each.Target_ == Id; });
  for (const Relay &Each : Done)
    if (const MemberRecord *Origin = Table_.find(Each.Origin_))
      Hooks_.SendIndirectAck_(Origin->Update_.Member_,
                              Record->Update_.withoutDetails());
}

void Membership::requestJoin(const std::string &Id, TimePoint Now) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr)
    return;
  std::erase_if(LastJoin_, [&](const auto &Each) {
    return Now - Each.second >= JoinInterval;
  });
  if (!LastJoin_.try_emplace(Id, Now).second)
    return;
  Hooks_.SendJoin_(Record->Update_.Member_);
}

MembershipMessage Membership::messageFor(const std::string &ToId) {
  MembershipMessage Message;
  Message.From_ = Own_.withoutDetails();
  Message.Digest_ = digest();
  // An accused member has to hear the accusation to be able to refute it.
  const MemberRecord *Receiver = Table_.find(ToId);
  if (Receiver != nullptr && Receiver->Update_.Suspicion_ != Suspicion::None)
    Message.Updates_.push_back(Receiver->Update_.withoutDetails());
  for (MemberUpdate &Each :
       Table_.takeUpdates(Options_.MaxUpdates_ - Message.Updates_.size(),
                          UpdateTokens_.available(LastCall_))) {
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
  state(MemberState::Leaving);
  NextPush_ = observeTime();
  pushNews(NextPush_);
}

void Membership::leave(std::int64_t StoppedAtMs) {
  if (Own_.Member_.State_ == MemberState::Left)
    return;
  Own_.StoppedAtMs_ = StoppedAtMs;
  state(MemberState::Left);
  NextPush_ = observeTime();
  pushNews(NextPush_);
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Members{Own_.Member_};
  for (const auto &[Id, Record] : Table_.records()) {
    Members.push_back(Record.Update_.Member_);
    Members.back().State_ = Record.Update_.state();
  }
  return Members;
}

std::vector<Member> Membership::randomPeers(std::size_t Most,
                                            const std::string &Except) {
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Record] : Table_.records())
    if (Id != Except && Record.Update_.present() &&
        Record.Update_.Suspicion_ == Suspicion::None)
      Candidates.push_back(&Record.Update_.Member_);
  std::vector<const Member *> Chosen;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Chosen),
              Most, Random_);
  std::vector<Member> Peers;
  Peers.reserve(Chosen.size());
  for (const Member *Each : Chosen)
    Peers.push_back(*Each);
  return Peers;
}

} // namespace wigeonwall::process
