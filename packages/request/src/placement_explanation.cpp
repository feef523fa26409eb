#include "wigeonwall/request/placement_explanation.h"

#include <algorithm>

namespace wigeonwall::request {

PlacementExplanation FleetView::explain(const BatchJob &Job,
                                        const std::string &Service,
                                        Duration Slack) const {
  // Placement runs on copies, so that the explanation follows its rules and
  // draws no random numbers of the entry.
  FleetView Copy(*this);
  Copy.Random_ = [] { return 0.5; };
  FleetView Single(Copy);
  const auto WhyExcluded = [&](const Agent &Known) {
    const Exclusion Cause = exclusionOf(Job, Service, Known.Report_);
    if (Cause != Exclusion::None)
      return Cause;
    return isCurrent(Known) ? Exclusion::Other : Exclusion::ReportTooOld;
  };
  PlacementExplanation Result;
  Result.Places_ = Copy.place(Job, Service, Job.TaskCount_, Slack, "", {});
  for (const auto &[Name, Known] : Agents_) {
    AgentExplanation Next;
    Next.Agent_ = Name;
    Next.Tasks_ = static_cast<std::uint32_t>(std::count_if(
        Result.Places_.begin(), Result.Places_.end(),
        [&Name = Name](const auto &Place) { return Place.Agent_ == Name; }));
    Single.Agents_ = {{Name, Known}};
    const auto Alone = Single.place(Job, Service, 1, Slack, "", {});
    if (Alone.empty())
      Next.Excluded_ = WhyExcluded(Known);
    else
      Next.First_ = Alone.front();
    // Tasks remain without a place only if all suitable agents have reached
    // the limit.
    const bool LimitReached =
        Job.MaxPerMinion_ != 0 &&
        (Result.Places_.empty() || Next.Tasks_ >= Job.MaxPerMinion_);
    if (Next.First_ && LimitReached)
      Next.Excluded_ = Exclusion::MaxPerMinion;
    Result.Agents_.push_back(std::move(Next));
  }
  return Result;
}

} // namespace wigeonwall::request
