#include "wigeonwall/process/membership/membership.h"

#include <algorithm>

namespace wigeonwall::process {

using request::TimePoint;

namespace {

/// Interval between notices to a member that this process suspects.
constexpr request::Duration SuspectNoticePeriod = std::chrono::seconds(1);

} // namespace

void Membership::probeRandom(TimePoint Now) {
  while (true) {
    if (ProbeRound_.empty()) {
      for (const auto &[Id, Record] : Table_.records())
        if (Record.Update_.present())
          ProbeRound_.push_back(Id);
      std::shuffle(ProbeRound_.begin(), ProbeRound_.end(), Random_);
    }
    if (ProbeRound_.empty())
      return;
    const std::string Id = std::move(ProbeRound_.back());
    ProbeRound_.pop_back();
    const MemberRecord *Record = Table_.find(Id);
    if (Record != nullptr && Record->Update_.present())
      return startProbe(Id, Now);
  }
}

void Membership::probeSuccessor(TimePoint Now) {
  const std::uint32_t OwnHash = MemberTable::hash(Own_);
  const MemberUpdate *Next = nullptr;
  std::uint32_t Least = UINT32_MAX;
  for (const auto &[Id, Record] : Table_.records()) {
    // Suspected members are skipped; the next member in hash order is probed.
    if (!Record.Update_.present() ||
        Record.Update_.Suspicion_ != Suspicion::None)
      continue;
    const std::uint32_t Distance = MemberTable::hash(Record.Update_) - OwnHash;
    if (Distance <= Least) {
      Least = Distance;
      Next = &Record.Update_;
    }
  }
  if (Next != nullptr)
    startProbe(std::string(Next->Member_.Id_), Now);
}

void Membership::probeDead(TimePoint) {
  std::vector<const Member *> Dead;
  for (const auto &[Id, Record] : Table_.records())
    if (Record.Update_.state() == MemberState::Dead)
      Dead.push_back(&Record.Update_.Member_);
  if (Dead.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Dead.size() - 1);
  Hooks_.SendProbe_(*Dead[Pick(Random_)]);
}

void Membership::recheckOne(TimePoint Now) {
  if (RecheckQueue_.empty())
    return;
  const std::string Id = std::move(RecheckQueue_.front());
  RecheckQueue_.pop_front();
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr)
    return;
  if (Record->Update_.present())
    startProbe(Id, Now);
  else if (Record->Update_.state() == MemberState::Dead)
    Hooks_.SendProbe_(Record->Update_.Member_);
}

void Membership::startProbe(const std::string &Id, TimePoint Now) {
  if (Probes_.count(Id) == 0)
    Probes_[Id] = {Now, false};
  Hooks_.SendProbe_(Table_.find(Id)->Update_.Member_);
}

void Membership::startIndirectProbes(const std::string &Id, Probe &Each,
                                     TimePoint Now) {
  Each = {Now, true};
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr)
    return;
  for (const Member &Via : randomPeers(Options_.Fanout_, Id))
    Hooks_.SendProbeVia_(Via, Record->Update_.withoutDetails());
}

void Membership::checkProbes(TimePoint Now) {
  std::vector<std::string> Missed;
  for (auto &[Id, Each] : Probes_) {
    if (!Each.Indirect_ && Now - Each.Start_ >= Options_.DirectTimeout_)
      startIndirectProbes(Id, Each, Now);
    else if (Each.Indirect_ && Now - Each.Start_ >= Options_.IndirectTimeout_)
      Missed.push_back(Id);
  }
  for (const std::string &Id : Missed) {
    Probes_.erase(Id);
    raiseSuspicion(Id, Suspicion::Suspect, Now);
    // The notice lets a suspect refute if only messages were lost.
    SuspectNotices_[Id] = Now;
  }
  std::erase_if(IndirectProbes_,
                [&](const IndirectProbe &Each) { return Each.Until_ < Now; });
}

void Membership::checkSuspicions(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const std::string &Id : Table_.suspects())
    if (Now - Table_.find(Id)->Since_ >= Options_.SuspicionTimeout_)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    raiseSuspicion(Id, Suspicion::Dead, Now);
}

void Membership::notifySuspects(TimePoint Now) {
  std::erase_if(SuspectNotices_, [&](const auto &Each) {
    return Table_.suspects().count(Each.first) == 0;
  });
  for (auto &[Id, Next] : SuspectNotices_) {
    if (Now < Next)
      continue;
    Next = Now + SuspectNoticePeriod;
    Hooks_.SendProbe_(Table_.find(Id)->Update_.Member_);
  }
}

void Membership::raiseSuspicion(const std::string &Id, Suspicion What,
                                TimePoint Now) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr || Record->Update_.Suspicion_ >= What)
    return;
  MemberUpdate Update = Record->Update_;
  Update.Suspicion_ = What;
  apply(Update, Now);
}

void Membership::pushUpdates(TimePoint Now) {
  if (PendingPushes_ == 0 || Now < NextPush_ || PushTokens_.available(Now) < 1)
    return;
  --PendingPushes_;
  PushTokens_.spend(1);
  NextPush_ = Now + Options_.PushPeriod_;
  for (const Member &Peer : randomPeers(Options_.Fanout_))
    Hooks_.SendProbe_(Peer);
}

} // namespace wigeonwall::process
