/// \file
/// \brief Timeline of the free capacity of one minion in steps of fixed size.
#ifndef WIGEONWALL_REQUEST_CAPACITY_TIMELINE_H
#define WIGEONWALL_REQUEST_CAPACITY_TIMELINE_H

#include "wigeonwall/request/capacity_profile.h"

#include <array>
#include <optional>
#include <span>

namespace wigeonwall::request {

/// \brief Capacity that becomes free when a run ends.
struct CapacityRelease {
  /// Time from now until the expected end.
  Duration After_{};
  Resources Needs_;
};

/// \brief Free capacity of a minion over CapacityProfile::Horizon.
///
/// Ends are rounded up to the next step and lengths are rounded up to whole
/// steps, so that the timeline never promises capacity too early.
class CapacityTimeline {
public:
  /// A tenth of the run time of the shortest tasks.
  static constexpr Duration StepLength = std::chrono::milliseconds(5);
  static constexpr std::size_t StepCount =
      CapacityProfile::Horizon / StepLength;

  /// \p Free is free now; each release adds to it at its time. Releases after
  /// the horizon have no effect.
  CapacityTimeline(const Resources &Free,
                   std::span<const CapacityRelease> Releases);

  /// \brief Earliest time from now at which \p Needs are free for \p Length;
  /// empty if there is none before the horizon. Capacity that is free in the
  /// last step counts as free after it.
  [[nodiscard]] std::optional<Duration> earliestStart(const Resources &Needs,
                                                      Duration Length) const;
  /// \brief Returns true if \p Needs are free from now for \p Length.
  [[nodiscard]] bool fitsNow(const Resources &Needs, Duration Length) const;
  /// \brief Removes \p Needs for \p Length from \p Start on.
  void reserve(const Resources &Needs, Duration Start, Duration Length);

  /// \brief Returns false if more than the free capacity has been reserved.
  [[nodiscard]] bool neverNegative() const;
  /// \brief Returns the timeline in at most CapacityProfile::MaxReportedSteps
  /// steps, none of which exceeds the capacity that is free during it. Changes
  /// that are near in time are kept before later ones.
  [[nodiscard]] CapacityProfile profile() const;

private:
  std::array<Resources, StepCount> Free_{};
};

} // namespace wigeonwall::request

#endif
