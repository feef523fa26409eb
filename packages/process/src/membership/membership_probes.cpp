#include "wigeonwall/process/membership/membership.h"

#include <algorithm>

namespace wigeonwall::process {

using request::TimePoint;

namespace {

/// Between notices to a member that this process suspects.
constexpr request::Duration ReminderPeriod = std::chrono::seconds(1);

} // namespace

void Membership::probeRandom(TimePoint Now) {
  while (true) {
    if (Round_.empty()) {
      for (const auto &[Id, Record] : Table_.records())
        if (Record.Update_.present())
          Round_.push_back(Id);
      std::shuffle(Round_.begin(), Round_.end(), Random_);
    }
    if (Round_.empty())
      return;
    const std::string Id = std::move(Round_.back());
    Round_.pop_back();
    const MemberRecord *Record = Table_.find(Id);
    if (Record != nullptr && Record->Update_.present())
      return startProbe(Id, Now);
  }
}

void Membership::probeNext(TimePoint Now) {
  const std::uint32_t OwnHash = MemberTable::hash(Own_);
  const MemberUpdate *Next = nullptr;
  std::uint32_t Least = UINT32_MAX;
  for (const auto &[Id, Record] : Table_.records()) {
    // The successor of an accused member is probed in its place.
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
  if (Recheck_.empty())
    return;
  const std::string Id = std::move(Recheck_.front());
  Recheck_.pop_front();
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

void Membership::askOthers(const std::string &Id, Probe &Each, TimePoint Now) {
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
      askOthers(Id, Each, Now);
    else if (Each.Indirect_ && Now - Each.Start_ >= Options_.IndirectTimeout_)
      Missed.push_back(Id);
  }
  for (const std::string &Id : Missed) {
    Probes_.erase(Id);
    accuse(Id, Suspicion::Suspect, Now);
    // A suspect that only lost messages can refute once it hears of it.
    Reminders_[Id] = Now;
  }
  std::erase_if(Relays_, [&](const Relay &Each) { return Each.Until_ < Now; });
}

void Membership::checkSuspicions(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const std::string &Id : Table_.suspects())
    if (Now - Table_.find(Id)->Since_ >= Options_.SuspectTime_)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    accuse(Id, Suspicion::Dead, Now);
}

void Membership::remindSuspects(TimePoint Now) {
  std::erase_if(Reminders_, [&](const auto &Each) {
    return Table_.suspects().count(Each.first) == 0;
  });
  for (auto &[Id, Next] : Reminders_) {
    if (Now < Next)
      continue;
    Next = Now + ReminderPeriod;
    Hooks_.SendProbe_(Table_.find(Id)->Update_.Member_);
  }
}

void Membership::accuse(const std::string &Id, Suspicion What, TimePoint Now) {
  const MemberRecord *Record = Table_.find(Id);
  if (Record == nullptr || Record->Update_.Suspicion_ >= What)
    return;
  MemberUpdate Update = Record->Update_;
  Update.Suspicion_ = What;
  apply(Update, Now);
}

void Membership::pushNews(TimePoint Now) {
  if (PushesDue_ == 0 || Now < NextPush_ || PushTokens_.available(Now) < 1)
    return;
  --PushesDue_;
  PushTokens_.spend(1);
  NextPush_ = Now + Options_.PushPeriod_;
  for (const Member &Peer : randomPeers(Options_.Fanout_))
    Hooks_.SendProbe_(Peer);
}

} // namespace wigeonwall::process
