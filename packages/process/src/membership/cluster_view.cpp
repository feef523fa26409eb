#include "wigeonwall/process/membership/cluster_view.h"

namespace wigeonwall::process {

void ViewPublisher::publish(std::shared_ptr<const ClusterView> View) {
  {
    const std::scoped_lock Lock(Mutex_);
    View_ = View;
  }
  for (const Observer &Each : Observers_)
    Each(View);
}

} // namespace wigeonwall::process
