/// \file
/// \brief Reservation for the first waiting run that does not fit, and the
/// choice of the runs that may start before it.
#ifndef WIGEONWALL_REQUEST_GAP_CHOICE_H
#define WIGEONWALL_REQUEST_GAP_CHOICE_H

#include "wigeonwall/request/capacity_timeline.h"
#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/run_queue.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace wigeonwall::request {

/// \brief Events of reservations that are counted.
enum class ReservationEvent : std::uint8_t {
  Made,
  /// The run started while it had the reservation.
  Used,
  /// The reservation ended before the run started.
  Expired,
  /// A run started before the one that has the reservation.
  GapFilled,
};

inline constexpr std::array<EnumName<ReservationEvent>, 4>
    ReservationEventNames{{
        {ReservationEvent::Made, "made"},
        {ReservationEvent::Used, "used"},
        {ReservationEvent::Expired, "expired"},
        {ReservationEvent::GapFilled, "gap_filled"},
    }};

/// \brief A waiting run with its predicted run time on this minion.
struct GapCandidate {
  const WaitingRun &Run_;
  Duration RunTime_{};
  /// Time by which the run may exceed its prediction.
  Duration Margin_{};
};

/// \brief Backfilling with one reservation for each minion (EASY).
///
/// The first waiting run that does not fit gets the earliest start at which it
/// is predicted to fit. Another run may start before it only if it does not
/// delay that start. A reservation is only a rule about the order of starts: it
/// ends when the run has started, has left the queue, or has not started in
/// time. After an expired reservation none is made for as long as it lasted, so
/// that small runs have at least half of the time.
class GapChoice {
public:
  /// \brief What the first run that does not fit leaves to the others.
  struct Gap {
    /// There is no reservation, so that all runs may start.
    bool Unreserved_ = false;
    /// The first run fits within the horizon.
    bool StartPredicted_ = true;
    CapacityTimeline Remaining_;

    [[nodiscard]] bool allows(const GapCandidate &Next) const;
  };

  explicit GapChoice(std::function<void(ReservationEvent)> Count)
      : Count_(std::move(Count)) {}

  /// \brief Reserves the earliest start of \p Blocked, and returns what is left
  /// until another run starts. \p Free is the minion's capacity without the
  /// waiting runs.
  [[nodiscard]] Gap reserve(const GapCandidate &Blocked,
                            const CapacityTimeline &Free, TimePoint Now);
  /// \brief Returns true if \p Next, which fits now, may start in \p Left.
  [[nodiscard]] bool fill(const Gap &Left, const GapCandidate &Next);
  /// \brief Records that the run of a task is about to start.
  void onStart(const std::string &Task, TimePoint Now);

  /// \brief Task that has the reservation; empty if none.
  [[nodiscard]] std::string holder(TimePoint Now);

private:
  struct Reservation {
    std::string Task_;
    TimePoint ExpiresAt_;
  };

  void expire(TimePoint Now);
  void end(ReservationEvent Event);

  std::function<void(ReservationEvent)> Count_;
  std::optional<Reservation> Reservation_;
  /// Start of the uninterrupted series of reservations.
  TimePoint HeldSince_;
  TimePoint PausedUntil_;
};

} // namespace wigeonwall::request

#endif
