/// \file
/// \brief Scheduling policy of one request kind.
#ifndef WIGEONWALL_REQUEST_KIND_POLICY_H
#define WIGEONWALL_REQUEST_KIND_POLICY_H

#include <string>

namespace wigeonwall::request {

/// \brief Urgency, weight and limits of a kind, as configured.
struct KindPolicy {
  std::string Name_;
  /// 0 (least urgent) to 9.
  unsigned Urgency_ = 0;
  /// Relative share of the slots that no guarantee covers.
  double Weight_ = 1.0;
  /// Guaranteed share of the slots, 0 to 1.
  double MinShare_ = 0.0;
  /// Maximum number of tasks queued at one agent; 0 disables the kind.
  unsigned QueueLimit_ = 0;
};

/// \brief Sums over the kinds of a service, from which shares are computed.
struct ShareTotals {
  double MinShares_ = 0.0;
  double Weights_ = 0.0;

  void add(const KindPolicy &Policy) noexcept;
  /// \brief Guaranteed share, 0 to 1. Guarantees whose sum exceeds 1 are scaled
  /// down proportionally.
  [[nodiscard]] double guaranteeOf(const KindPolicy &Policy) const noexcept;
  /// \brief Guaranteed share plus the weighted part of the capacity that no
  /// guarantee covers, 0 to 1.
  [[nodiscard]] double shareOf(const KindPolicy &Policy) const noexcept;
};

} // namespace wigeonwall::request

#endif
