/// \file
/// \brief Watches the keys under a prefix across outages of the store.
#ifndef WIGEONWALL_PROCESS_DISPATCH_PREFIX_FOLLOWER_H
#define WIGEONWALL_PROCESS_DISPATCH_PREFIX_FOLLOWER_H

#include "wigeonwall/connection/lease_store.h"
#include "wigeonwall/process/runtime/peer_call.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wigeonwall::process::dispatch {

/// Delay after a failed call to the store. Short, because changes made during
/// an outage have to take effect soon after it.
inline constexpr std::chrono::milliseconds StoreRetryDelay{250};
/// Shortest contact time that watchWait() can keep.
inline constexpr std::chrono::milliseconds MinContactTime{2'000};

/// \brief Returns the wait of a watch call with which a change is known within
/// \p ContactTime after the connection of the call has gone silent.
///
/// The call is repeated after the wait, the grace of the client and the retry
/// delay; the repeated call takes the rest.
[[nodiscard]] std::chrono::milliseconds
watchWait(std::chrono::milliseconds ContactTime);

struct PrefixFollowerOptions {
  std::string Prefix_;
  /// Maximum wait of one watch call; also bounds the time to detect an
  /// unresponsive connection.
  std::chrono::milliseconds WatchWait_{2'000};
  std::chrono::milliseconds RetryDelay_ = StoreRetryDelay;
  /// Delay between a change and the next watch call, so that one call returns
  /// all changes made meanwhile.
  std::chrono::milliseconds BatchDelay_{0};
};

/// \brief Lists a prefix, then watches it for the lifetime of the process.
///
/// The last known keys are kept during an outage. If the store has discarded
/// the history since the last revision, the prefix is listed again.
class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
public:
  /// Values by key.
  using Values = std::map<std::string, std::string>;

  struct Hooks {
    Schedule After_;
    /// Receives all values as of a revision of the store.
    std::function<void(const Values &, std::uint64_t Revision)>
        OnValuesChanged_;
    /// Called with the cause when the store becomes unreachable, and with an
    /// empty string when it is reachable again.
    std::function<void(const std::string &Cause)> OnStoreStateChanged_;
    /// Called with the number of items that could not be read.
    std::function<void(std::size_t Count)> OnUnreadableItems_;
  };

  PrefixFollower(connection::LeaseStore &Store, PrefixFollowerOptions Options,
                 Hooks Callbacks)
      : Store_(Store), Options_(std::move(Options)),
        Hooks_(std::move(Callbacks)) {}

  void start() { list(); }
  /// \brief True once the prefix has been listed.
  [[nodiscard]] bool listed() const noexcept { return Listed_; }
  /// \brief True if each change is delivered at once: a watch is pending, and
  /// the last call to the store succeeded.
  [[nodiscard]] bool current() const noexcept {
    return Listed_ && WatchPending_ && !Failing_;
  }
  /// \brief Repeats a pending watch, whose connection may be silent.
  void watchAgain();

private:
  void list();
  void watch();
  void watchAfterBatchDelay();
  void retry(const std::string &Cause, void (PrefixFollower::*Next)());
  void onSuccess();

  connection::LeaseStore &Store_;
  PrefixFollowerOptions Options_;
  Hooks Hooks_;
  Values Values_;
  std::uint64_t Revision_ = 0;
  bool Listed_ = false;
  bool WatchPending_ = false;
  /// Number of the latest watch; replies to earlier ones are ignored.
  std::uint64_t WatchNumber_ = 0;
  bool Failing_ = false;
};

} // namespace wigeonwall::process::dispatch

#endif
