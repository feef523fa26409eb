#include "wigeonwall/request/record_copies.h"

#include <algorithm>

namespace wigeonwall::request {

RecordCopies::RecordCopies(Clock Now) : Now_(std::move(Now)) {}

PrepareResult RecordCopies::prepare(const JobKey &Key,
                                    std::uint64_t Fingerprint,
                                    const HomeIdentity &Home,
                                    std::uint64_t Epoch, std::uint64_t OwnEpoch,
                                    Duration Retention) {
  if (const auto Found = Copies_.find(Key); Found != Copies_.end())
    return Found->second.Home_ == Home ? PrepareResult::Ok
                                       : PrepareResult::Known;
  if (Epoch < OwnEpoch || Epoch < sealedBelow(Key))
    return PrepareResult::Stale;
  if (Epoch > OwnEpoch)
    return PrepareResult::Retry;
  const TimePoint ExpiresAt = Now_() + Retention;
  Copies_[Key] = {Fingerprint, Home, false, std::nullopt, ExpiresAt};
  Expiries_.push_back({ExpiresAt, Key});
  return PrepareResult::Ok;
}

void RecordCopies::finish(const JobKey &Key, const HomeIdentity &Home,
                          std::optional<JobAnswer> Answer, Duration Retention) {
  const auto Found = Copies_.find(Key);
  if (Found == Copies_.end() || !(Found->second.Home_ == Home))
    return;
  RecordCopy &Copy = Found->second;
  Copy.Final_ = true;
  Copy.Answer_ = std::move(Answer);
  Copy.ExpiresAt_ = Now_() + Retention;
  Expiries_.push_back({Copy.ExpiresAt_, Key});
}

void RecordCopies::refuse(const JobKey &Key, std::uint64_t Fingerprint,
                          const HomeIdentity &By, JobAnswer Refusal,
                          Duration Retention) {
  const TimePoint ExpiresAt = Now_() + Retention;
  Copies_.try_emplace(
      Key, RecordCopy{Fingerprint, By, true, std::move(Refusal), ExpiresAt});
  Expiries_.push_back({ExpiresAt, Key});
}

const RecordCopy *RecordCopies::find(const JobKey &Key) const {
  const auto Found = Copies_.find(Key);
  return Found == Copies_.end() ? nullptr : &Found->second;
}

void RecordCopies::seal(const JobKey &Key, std::uint64_t Epoch,
                        Duration Retention) {
  Seal &Entry = Seals_[Key];
  Entry.Epoch_ = std::max(Entry.Epoch_, Epoch);
  Entry.ExpiresAt_ = Now_() + Retention;
  Expiries_.push_back({Entry.ExpiresAt_, Key});
}

std::uint64_t RecordCopies::sealedBelow(const JobKey &Key) const {
  const auto Found = Seals_.find(Key);
  return Found == Seals_.end() ? 0 : Found->second.Epoch_;
}

void RecordCopies::dropExpired() {
  const TimePoint Now = Now_();
  while (!Expiries_.empty() && Expiries_.front().When_ <= Now) {
    const JobKey Key = Expiries_.front().Key_;
    Expiries_.pop_front();
    if (const auto Copy = Copies_.find(Key);
        Copy != Copies_.end() && Copy->second.ExpiresAt_ <= Now)
      Copies_.erase(Copy);
    if (const auto Entry = Seals_.find(Key);
        Entry != Seals_.end() && Entry->second.ExpiresAt_ <= Now)
      Seals_.erase(Entry);
  }
}

} // namespace wigeonwall::request
