/// \file
/// \brief When how much capacity of a minion will be free, as a short list of
/// steps.
#ifndef WIGEONWALL_REQUEST_CAPACITY_PROFILE_H
#define WIGEONWALL_REQUEST_CAPACITY_PROFILE_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <array>
#include <optional>
#include <span>

namespace wigeonwall::request {

/// \brief Free capacity from a time on, until the next step.
struct CapacityStep {
  /// Time after the profile was made.
  Duration At_{};
  std::int64_t CpuMillicores_ = 0;
  std::int64_t MemoryMb_ = 0;

  bool operator==(const CapacityStep &) const = default;

  [[nodiscard]] bool allows(const Resources &Needs) const noexcept {
    return Needs.CpuMillicores_ <= CpuMillicores_ &&
           Needs.MemoryMb_ <= MemoryMb_;
  }
};

/// \brief Step function of the free capacity; the last step has no end.
///
/// Its size is fixed, so that an entry can copy and change the profiles of all
/// agents for each job without an allocation.
class CapacityProfile {
public:
  /// Maximum number of steps in a report.
  static constexpr std::size_t MaxReportedSteps = 8;
  /// Maximum number of steps after tasks have been added.
  static constexpr std::size_t MaxSteps = 24;
  /// Time that a reported profile covers.
  static constexpr Duration Horizon = std::chrono::milliseconds(1'500);

  /// \brief Adds a step after all others; returns false if it is not later
  /// than the last one, or the profile is full.
  bool append(const CapacityStep &Step) noexcept;

  [[nodiscard]] bool empty() const noexcept { return Size_ == 0; }
  [[nodiscard]] std::span<const CapacityStep> steps() const noexcept {
    return {Steps_.data(), Size_};
  }

  /// \brief Earliest start from \p From on at which \p Needs are free for
  /// \p Length; empty if there is none.
  [[nodiscard]] std::optional<Duration>
  earliestStart(const Resources &Needs, Duration Length,
                Duration From) const noexcept;
  /// \brief Removes \p Needs from \p From until \p Until. In a full profile the
  /// period is extended to the bounds of steps, so that the profile never
  /// promises capacity that is in use.
  void take(const Resources &Needs, Duration From, Duration Until) noexcept;

private:
  /// Starts a step at \p At unless the profile is full. Returns the index of
  /// the step that contains \p At.
  std::size_t split(Duration At) noexcept;

  std::array<CapacityStep, MaxSteps> Steps_{};
  std::size_t Size_ = 0;
};

} // namespace wigeonwall::request

#endif
