/// \file
/// \brief Follows which failure domains the operators have evacuated.
#ifndef WIGEONWALL_PROCESS_DISPATCH_EVACUATION_MONITOR_H
#define WIGEONWALL_PROCESS_DISPATCH_EVACUATION_MONITOR_H

#include "wigeonwall/process/dispatch/prefix_follower.h"
#include "wigeonwall/request/evacuations.h"

#include <functional>
#include <set>
#include <string>

namespace wigeonwall::process::dispatch {

/// \brief Returns the maximum wait of one watch call, so that an evacuation
/// takes effect within \p Bound although a connection to the store is silent.
[[nodiscard]] std::chrono::milliseconds
evacuationWatchWait(std::chrono::milliseconds Bound);

struct EvacuationMonitorHooks {
  /// Receives the evacuated domains once the store has been read or has failed
  /// to answer for the first time, and after each change and newer revision.
  /// A newer revision with the same domains matters to agents that know a state
  /// between the two from another entry, and would ignore the older revision.
  /// \p Document is the state in the form that onPeerDocument() reads.
  std::function<void(const std::set<std::string> &Domains,
                     const std::string &Document)>
      OnDomains_;
  /// Receives each new state as a document for the other entries.
  std::function<void(std::int64_t Revision, std::string Document)> OnDocument_;
  std::function<void(const std::string &Event, const std::string &Subject,
                     const std::string &Detail)>
      Log_;
};

/// \brief Combines the state of the store with states from other entries.
///
/// Each evacuated domain is a key: a prefix followed by the name of the domain.
/// The value is ignored.
class EvacuationMonitor {
public:
  EvacuationMonitor(std::string KeyPrefix, EvacuationMonitorHooks Hooks)
      : KeyPrefix_(std::move(KeyPrefix)), Hooks_(std::move(Hooks)) {}

  /// \brief Applies the keys under the prefix as of a revision of the store.
  void onStoreValues(const PrefixFollower::Values &Values,
                     std::uint64_t Revision);
  /// \brief Passes on the last known domains if none were passed on so far, so
  /// that a process can work when it starts during an outage of the store.
  void onStoreLost();
  /// \brief Applies a document of another entry, if it is newer.
  void onPeerDocument(const std::string &Document);

private:
  void apply(request::EvacuationState Next, const std::string &Source);
  void publish();

  std::string KeyPrefix_;
  EvacuationMonitorHooks Hooks_;
  request::Evacuations Evacuations_;
  bool Published_ = false;
};

} // namespace wigeonwall::process::dispatch

#endif
