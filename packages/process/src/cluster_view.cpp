#include "wigeonwall/process/cluster_view.h"

namespace wigeonwall::process {

void ViewPublisher::publish(std::shared_ptr<const ClusterView> View) {
  View_.store(View);
  for (const Observer &Each : Observers_)
    Each(View);
}

} // namespace wigeonwall::process
