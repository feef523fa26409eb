/// \file
/// \brief Set of failure domains in which no task may be started.
#ifndef WIGEONWALL_REQUEST_EVACUATIONS_H
#define WIGEONWALL_REQUEST_EVACUATIONS_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief The evacuated failure domains as of a revision of the store.
struct EvacuationState {
  std::uint64_t Revision_ = 0;
  std::set<std::string> Domains_;
};

/// \brief Domains whose evacuation began or ended with a new state.
struct EvacuationChange {
  std::vector<std::string> Began_;
  std::vector<std::string> Ended_;
};

/// \brief Keeps the newest known state.
///
/// States arrive from the store and from other processes, in any order. Only
/// the revision of the store tells which one is newer.
class Evacuations {
public:
  /// \brief Replaces the state unless \p Next is older. Returns the difference,
  /// or an empty optional if \p Next was ignored.
  ///
  /// A state of the same revision replaces the present one, because a listing
  /// in several pages may be newer than the revision of its first page.
  std::optional<EvacuationChange> apply(EvacuationState Next);
  [[nodiscard]] const EvacuationState &state() const noexcept { return State_; }

private:
  EvacuationState State_;
};

} // namespace wigeonwall::request

#endif
