#include "wigeonwall/request/evacuations.h"

#include <algorithm>
#include <iterator>

namespace wigeonwall::request {

std::optional<EvacuationChange> Evacuations::apply(EvacuationState Next) {
  if (Next.Revision_ < State_.Revision_)
    return std::nullopt;
  EvacuationChange Change;
  const std::set<std::string> &Before = State_.Domains_;
  const std::set<std::string> &After = Next.Domains_;
  std::set_difference(After.begin(), After.end(), Before.begin(), Before.end(),
                      std::back_inserter(Change.Began_));
  std::set_difference(Before.begin(), Before.end(), After.begin(), After.end(),
                      std::back_inserter(Change.Ended_));
  State_ = std::move(Next);
  return Change;
}

} // namespace wigeonwall::request
