#include "wigeonwall/process/configuration/store_monitor.h"

#include "wigeonwall/process/observation/log.h"

namespace wigeonwall::process {

using connection::StoreError;
using connection::StoreFault;

StoreMonitor::StoreMonitor(connection::KeyValueStore &Store, Counters &Metrics)
    : Store_(Store), Failures_(Metrics.counter("store_failures_total")),
      Reachable_(Metrics.counter("store_reachable")) {
  Reachable_.store(1);
}

void StoreMonitor::read(const std::string &Key, ReadCallback Done) {
  Store_.read(Key, monitored(std::move(Done)));
}

void StoreMonitor::watch(const std::string &Key, std::uint64_t Index,
                         std::chrono::milliseconds Wait, ReadCallback Done) {
  Store_.watch(Key, Index, Wait, monitored(std::move(Done)));
}

void StoreMonitor::compareAndSwap(const std::string &Key, std::string Value,
                                  std::uint64_t Index, SwapCallback Done) {
  Store_.compareAndSwap(Key, std::move(Value), Index,
                        [this, Done = std::move(Done)](
                            std::optional<bool> Swapped, StoreFault Fault) {
                          recordResult(Fault);
                          Done(Swapped, std::move(Fault));
                        });
}

connection::KeyValueStore::ReadCallback
StoreMonitor::monitored(ReadCallback Done) {
  return [this, Done = std::move(Done)](
             std::optional<connection::StoreEntry> Entry, StoreFault Fault) {
    recordResult(Fault);
    Done(std::move(Entry), std::move(Fault));
  };
}

void StoreMonitor::recordResult(const StoreFault &Fault) {
  // A refused call shows that the store is reachable.
  if (Fault.Code_ == StoreError::None || Fault.Code_ == StoreError::Refused) {
    ConsecutiveFailures_ = 0;
    if (Reachable_.exchange(1) == 0)
      logEvent("store", "store_reachable");
    return;
  }
  Failures_.fetch_add(1);
  if (++ConsecutiveFailures_ >= UnreachableThreshold &&
      Reachable_.exchange(0) == 1)
    logEvent("store", "store_unreachable", {{"cause", Fault.Message_}},
             LogLevel::Warning);
}

} // namespace wigeonwall::process
