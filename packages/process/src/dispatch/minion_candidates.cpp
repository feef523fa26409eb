#include "wigeonwall/process/dispatch/minion_candidates.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using request::TimePoint;

void MinionCandidates::add(const request::MinionReport &Report) {
  const auto Known = Candidates_.find(Report.Incarnation_);
  if (Known != Candidates_.end() &&
      Known->second.Report_.Sequence_ >= Report.Sequence_)
    return;
  if (Known == Candidates_.end() && Candidates_.size() >= Options_.MaxCount_)
    removeOldest();
  Candidate &Added = Candidates_[Report.Incarnation_];
  Added.Report_ = Report;
  Added.ReportedAt_ = Hooks_.Now_();
  poll(Added);
}

void MinionCandidates::poll(Candidate &Polled) {
  if (Polled.PollPending_ || PendingPolls_ >= Options_.MaxPendingPolls_)
    return;
  ++PendingPolls_;
  Polled.PollPending_ = true;
  Polled.RuledOut_ = false;
  Polled.Token_.Value_ = std::max(Polled.Token_.Value_, Hooks_.NextToken_());
  const TimePoint Now = Hooks_.Now_();
  Polled.PolledAt_ = Now;
  HoldCall Call;
  Call.FencingToken_ = Polled.Token_.Value_;
  Hooks_.Hold_(
      Polled.Report_, Call,
      [this, Now, Incarnation = Polled.Report_.Incarnation_](HoldReply Reply) {
        onReply(Incarnation, std::move(Reply), Now);
      });
}

void MinionCandidates::onReply(const request::MinionIncarnation &Incarnation,
                               HoldReply Reply, TimePoint SentAt) {
  --PendingPolls_;
  const auto Found = Candidates_.find(Incarnation);
  if (Found == Candidates_.end())
    return;
  Candidate &Polled = Found->second;
  Polled.PollPending_ = false;
  Polled.RuledOut_ = Reply.Gone_;
  // tick() repeats the poll with the higher token.
  if (Reply.Fenced_)
    return Polled.Token_.raise();
  if (!Reply.Listing_)
    return Hooks_.Log_(Incarnation.Id_, "minion_unconfirmed",
                       "detail=\"" + Reply.Detail_ + "\"");
  Hooks_.OnAnswered_(
      {Polled.Report_, std::move(*Reply.Listing_), SentAt, Polled.Token_});
}

void MinionCandidates::removeOldest() {
  const auto Oldest = std::min_element(
      Candidates_.begin(), Candidates_.end(), [](const auto &A, const auto &B) {
        return A.second.ReportedAt_ < B.second.ReportedAt_;
      });
  Hooks_.Log_(Oldest->first.Id_, "candidate_expired", "cause=too_many");
  Candidates_.erase(Oldest);
}

bool MinionCandidates::mayHaveReplaced(
    const request::MinionReport &Present) const {
  return std::any_of(
      Candidates_.begin(), Candidates_.end(), [&Present](const auto &Each) {
        const request::MinionReport &Report = Each.second.Report_;
        return !Each.second.RuledOut_ &&
               Report.Incarnation_.Id_ == Present.Incarnation_.Id_ &&
               Report.Address_ == Present.Address_;
      });
}

void MinionCandidates::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Next = Candidates_.begin(); Next != Candidates_.end();) {
    const auto Current = Next++;
    Candidate &Each = Current->second;
    if (Now - Each.ReportedAt_ > Options_.Lifetime_) {
      Hooks_.Log_(Current->first.Id_, "candidate_expired", "");
      Candidates_.erase(Current);
    } else if (Now - Each.PolledAt_ >= Options_.PollPeriod_) {
      poll(Each);
    }
  }
}

} // namespace wigeonwall::process::dispatch
