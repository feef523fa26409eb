#include "wigeonwall/process/membership/member_table.h"

#include <algorithm>
#include <bit>

namespace wigeonwall::process {

using request::TimePoint;

namespace {

/// Transmissions of an update per bit of the member count. With two, one in a
/// few hundred updates misses one of 15 members for more than 2 s.
constexpr unsigned SendsPerMemberCountBit = 3;

/// True when \p New supersedes \p Old of the same incarnation.
bool supersedes(const MemberUpdate &New, const MemberUpdate &Old) {
  if (Old.Member_.State_ == MemberState::Left)
    return false;
  if (New.Member_.State_ == MemberState::Left)
    return true;
  if (New.Revision_ != Old.Revision_)
    return New.Revision_ > Old.Revision_;
  return New.Suspicion_ > Old.Suspicion_;
}

} // namespace

ApplyResult MemberTable::apply(const MemberUpdate &Update, TimePoint Now,
                               bool Disseminate) {
  const auto Found = Records_.find(Update.Member_.Id_);
  ApplyResult Result = ApplyResult::Changed;
  if (Found == Records_.end() || Found->second.Update_.Member_.Incarnation_ <
                                     Update.Member_.Incarnation_) {
    // A member that is gone or whose address is unknown cannot be used.
    if (!Update.Complete_ || !Update.present())
      return ApplyResult::Ignored;
    set(Records_[Update.Member_.Id_], Update, Now);
    Result = ApplyResult::Joined;
  } else {
    MemberRecord &Record = Found->second;
    if (Record.Update_.Member_.Incarnation_ != Update.Member_.Incarnation_ ||
        !supersedes(Update, Record.Update_))
      return ApplyResult::Ignored;
    if (!Record.Update_.present() && Update.present())
      Result = ApplyResult::Revived;
    MemberUpdate Next = Record.Update_;
    Next.Member_.State_ = Update.Member_.State_;
    Next.Revision_ = Update.Revision_;
    Next.Suspicion_ = Update.Suspicion_;
    Next.StoppedAtMs_ = Update.StoppedAtMs_;
    set(Record, Next, Now);
  }
  if (Disseminate)
    queue(Records_[Update.Member_.Id_].Update_);
  return Result;
}

void MemberTable::set(MemberRecord &Record, const MemberUpdate &Update,
                      TimePoint Now) {
  const auto Count = [this](const MemberUpdate &Each, bool Add) {
    if (Each.Member_.Id_.empty() || !Each.present())
      return;
    PresentCount_ = Add ? PresentCount_ + 1 : PresentCount_ - 1;
    Digest_ ^= hash(Each);
  };
  Count(Record.Update_, false);
  Record = {Update, Now};
  Count(Record.Update_, true);
  if (Update.present() && Update.Suspicion_ == Suspicion::Suspect)
    Suspects_.insert(Update.Member_.Id_);
  else
    Suspects_.erase(Update.Member_.Id_);
}

bool MemberTable::removeGone(TimePoint Before) {
  return std::erase_if(Records_, [&](const auto &Each) {
           return !Each.second.Update_.present() && Each.second.Since_ < Before;
         }) != 0;
}

void MemberTable::restartSuspicions(TimePoint Now) {
  for (const std::string &Id : Suspects_)
    Records_[Id].Since_ = Now;
}

const MemberRecord *MemberTable::find(const std::string &Id) const {
  const auto Found = Records_.find(Id);
  return Found == Records_.end() ? nullptr : &Found->second;
}

bool MemberTable::knows(const std::string &Id, std::int64_t Incarnation) const {
  const MemberRecord *Record = find(Id);
  return Record != nullptr &&
         Record->Update_.Member_.Incarnation_ >= Incarnation;
}

std::uint32_t MemberTable::hash(const MemberUpdate &Update) {
  constexpr std::uint32_t FnvOffset = 2166136261U;
  constexpr std::uint32_t FnvPrime = 16777619U;
  std::uint32_t Hash = FnvOffset;
  for (unsigned char Byte : Update.Member_.Id_)
    Hash = (Hash ^ Byte) * FnvPrime;
  auto Number = static_cast<std::uint64_t>(Update.Member_.Incarnation_) * 31 +
                Update.Revision_;
  for (; Number != 0; Number >>= 8)
    Hash = (Hash ^ static_cast<std::uint32_t>(Number & 0xff)) * FnvPrime;
  return Hash;
}

void MemberTable::queue(const MemberUpdate &Update) {
  std::erase_if(Queue_, [&](const QueuedUpdate &Each) {
    return Each.Update_.Member_.Id_ == Update.Member_.Id_;
  });
  Queue_.push_back({Update, 0});
  // Receivers already know the address of a suspected, dead or leaving member.
  Queue_.back().Update_.Complete_ = Update.Suspicion_ == Suspicion::None &&
                                    Update.Member_.State_ == MemberState::Alive;
}

std::vector<MemberUpdate> MemberTable::takeUpdates(std::size_t MaxCount,
                                                   double MaxCost) {
  std::stable_sort(Queue_.begin(), Queue_.end(),
                   [](const QueuedUpdate &A, const QueuedUpdate &B) {
                     return A.SendCount_ < B.SendCount_;
                   });
  const unsigned Limit =
      SendsPerMemberCountBit *
      static_cast<unsigned>(std::bit_width(PresentCount_ + 1));
  std::vector<MemberUpdate> Updates;
  for (QueuedUpdate &Each : Queue_) {
    MaxCost -= cost(Each.Update_);
    if (Updates.size() == MaxCount || MaxCost < 0)
      break;
    Updates.push_back(Each.Update_);
    ++Each.SendCount_;
  }
  std::erase_if(Queue_, [&](const QueuedUpdate &Each) {
    return Each.SendCount_ >= Limit;
  });
  return Updates;
}

} // namespace wigeonwall::process
