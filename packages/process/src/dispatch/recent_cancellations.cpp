#include "wigeonwall/process/dispatch/recent_cancellations.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using request::Duration;

void RecentCancellations::add(const std::string &JobId) {
  if (JobId.empty() || JobId.size() > Options_.MaxIdBytes_)
    return;
  const request::TimePoint Now = Now_();
  Jobs_[JobId] = Now;
  Order_.emplace_back(Now, JobId);
  while (Order_.size() > Options_.MaxJobs_ ||
         Now - Order_.front().first >= Options_.Retention_) {
    const auto &[Time, Oldest] = Order_.front();
    if (const auto Job = Jobs_.find(Oldest);
        Job != Jobs_.end() && Job->second == Time)
      Jobs_.erase(Job);
    Order_.pop_front();
  }
}

Duration RecentCancellations::remaining(const std::string &JobId) const {
  const auto Job = Jobs_.find(JobId);
  if (Job == Jobs_.end())
    return {};
  return std::max(Duration::zero(), Job->second + Options_.Retention_ - Now_());
}

} // namespace wigeonwall::process::dispatch
