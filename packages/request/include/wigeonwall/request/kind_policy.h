/// \file
/// \brief Scheduling rules of one request kind.
#ifndef WIGEONWALL_REQUEST_KIND_POLICY_H
#define WIGEONWALL_REQUEST_KIND_POLICY_H

#include <string>

namespace wigeonwall::request {

/// \brief Urgency, weight and limits of a kind, taken from the configuration.
struct KindPolicy {
  std::string Name_;
  /// 0 (least urgent) to 9.
  unsigned Urgency_ = 0;
  /// Relative share of the slots that no guarantee covers.
  double Weight_ = 1.0;
  /// Guaranteed share of the slots, 0 to 1.
  double MinShare_ = 0.0;
  /// Most tasks queued at one agent; 0 closes the kind.
  unsigned QueueLimit_ = 0;
};

/// \brief Sums over the kinds of a service, from which shares follow.
struct ShareTotals {
  double MinShares_ = 0.0;
  double Weights_ = 0.0;

  void add(const KindPolicy &Policy) noexcept;
  /// \brief Guaranteed part, 0 to 1; guarantees that exceed 1 together are
  /// reduced in proportion.
  [[nodiscard]] double guaranteeOf(const KindPolicy &Policy) const noexcept;
  /// \brief Guaranteed part plus the weighted part of what no guarantee
  /// covers, 0 to 1.
  [[nodiscard]] double shareOf(const KindPolicy &Policy) const noexcept;
};

} // namespace wigeonwall::request

#endif
