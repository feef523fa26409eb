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

} // namespace wigeonwall::request

#endif
