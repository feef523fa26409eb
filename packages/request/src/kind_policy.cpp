#include "wigeonwall/request/kind_policy.h"

#include <algorithm>

namespace wigeonwall::request {

void ShareTotals::add(const KindPolicy &Policy) noexcept {
  MinShares_ += std::max(0.0, Policy.MinShare_);
  Weights_ += std::max(0.0, Policy.Weight_);
}

double ShareTotals::guaranteeOf(const KindPolicy &Policy) const noexcept {
  return std::max(0.0, Policy.MinShare_) / std::max(1.0, MinShares_);
}

double ShareTotals::shareOf(const KindPolicy &Policy) const noexcept {
  const double Unguaranteed = 1.0 - std::min(1.0, MinShares_);
  const double Part =
      Weights_ > 0.0 ? std::max(0.0, Policy.Weight_) / Weights_ : 0.0;
  return guaranteeOf(Policy) + Unguaranteed * Part;
}

} // namespace wigeonwall::request
