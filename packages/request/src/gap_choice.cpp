#include "wigeonwall/request/gap_choice.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Longest time for which reservations hold back other runs without a pause.
constexpr Duration MaxHeld = CapacityProfile::Horizon;

/// Shortest validity after the reserved start. Ends are listed with a delay of
/// some ms.
constexpr Duration MinGrace = std::chrono::milliseconds(20);

} // namespace

void GapChoice::end(ReservationEvent Event) {
  Reservation_.reset();
  Count_(Event);
}

void GapChoice::expire(TimePoint Now) {
  if (!Reservation_ || Now <= Reservation_->ExpiresAt_)
    return;
  PausedUntil_ = Now + (Reservation_->ExpiresAt_ - HeldSince_);
  end(ReservationEvent::Expired);
}

std::string GapChoice::holder(TimePoint Now) {
  expire(Now);
  return Reservation_ ? Reservation_->Task_ : "";
}

void GapChoice::onStart(const std::string &Task, TimePoint Now) {
  expire(Now);
  if (Reservation_ && Reservation_->Task_ == Task)
    end(ReservationEvent::Used);
}

GapChoice::Gap GapChoice::reserve(const GapCandidate &Blocked,
                                  const CapacityTimeline &Free, TimePoint Now) {
  expire(Now);
  if (Now < PausedUntil_)
    return {true, true, Free};
  const std::optional<Duration> Fits =
      Free.earliestStart(Blocked.Run_.Needs_, Blocked.RunTime_);
  const Duration Start = Fits.value_or(CapacityProfile::Horizon);
  if (Reservation_ && Reservation_->Task_ != Blocked.Run_.Task_)
    end(ReservationEvent::Expired);
  else if (!Reservation_)
    HeldSince_ = Now;
  if (!Reservation_) {
    const double Overrun = toSeconds(Blocked.Margin_) /
                           std::max(1e-3, toSeconds(Blocked.RunTime_));
    const Duration Grace = MinGrace + fromSeconds(toSeconds(Start) * Overrun);
    Reservation_ = {Blocked.Run_.Task_,
                    std::min(Now + Start + Grace, HeldSince_ + MaxHeld)};
    Count_(ReservationEvent::Made);
  }
  Gap Left{false, Fits.has_value(), Free};
  Left.Remaining_.reserve(Blocked.Run_.Needs_, Start, Blocked.RunTime_);
  return Left;
}

bool GapChoice::Gap::allows(const GapCandidate &Next) const {
  if (Unreserved_)
    return true;
  const Duration Occupied = Next.RunTime_ + Next.Margin_;
  // A start after the horizon cannot be entered in the timeline.
  return (StartPredicted_ || Occupied <= CapacityProfile::Horizon) &&
         Remaining_.fitsNow(Next.Run_.Needs_, Occupied);
}

bool GapChoice::fill(const Gap &Left, const GapCandidate &Next) {
  if (!Left.allows(Next))
    return false;
  if (!Left.Unreserved_)
    Count_(ReservationEvent::GapFilled);
  return true;
}

} // namespace wigeonwall::request
