/// \file
/// \brief Tracks whether the key-value service is reachable.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_STORE_MONITOR_H
#define WIGEONWALL_PROCESS_CONFIGURATION_STORE_MONITOR_H

#include "wigeonwall/connection/key_value_store.h"
#include "wigeonwall/process/observation/counters.h"

namespace wigeonwall::process {

/// \brief Forwards calls to a store and counts failures; logs when the store
/// becomes unreachable or reachable. Runs on the control thread.
class StoreMonitor : public connection::KeyValueStore {
public:
  /// Consecutive failures before the store counts as unreachable; fewer may be
  /// one lost packet or a leader change.
  static constexpr unsigned UnreachableThreshold = 3;

  /// \p Store must outlive this object, and this object its calls.
  StoreMonitor(connection::KeyValueStore &Store, Counters &Metrics);

  void read(const std::string &Key, ReadCallback Done) override;
  void watch(const std::string &Key, std::uint64_t Index,
             std::chrono::milliseconds Wait, ReadCallback Done) override;
  void compareAndSwap(const std::string &Key, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override;

private:
  [[nodiscard]] ReadCallback monitored(ReadCallback Done);
  void recordResult(const connection::StoreFault &Fault);

  connection::KeyValueStore &Store_;
  Counters::Value &Failures_;
  Counters::Value &Reachable_;
  unsigned ConsecutiveFailures_ = 0;
};

} // namespace wigeonwall::process

#endif
