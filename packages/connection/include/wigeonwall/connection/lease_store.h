/// \file
/// \brief Interface of a key-value service with leases and prefix watches.
#ifndef WIGEONWALL_CONNECTION_LEASE_STORE_H
#define WIGEONWALL_CONNECTION_LEASE_STORE_H

#include "wigeonwall/connection/key_value_store.h"

#include <vector>

namespace wigeonwall::connection {

/// \brief A key and its value at a revision.
struct StoredItem {
  std::string Key_;
  std::string Value_;
  std::uint64_t Revision_ = 0;
};

/// \brief All keys with a prefix.
struct StoreListing {
  std::vector<StoredItem> Items_;
  /// Revision of the listing; a watch from it returns later changes.
  std::uint64_t Revision_ = 0;
  /// Number of items without a readable key, which are left out.
  std::size_t UnreadableItems_ = 0;
};

struct StoreChange {
  StoredItem Item_;
  bool Deleted_ = false;
};

/// \brief Changes after a revision, in order.
struct StoreChanges {
  std::vector<StoreChange> Changes_;
  std::uint64_t Revision_ = 0;
  /// Number of changes without a readable key, which are left out.
  std::size_t UnreadableItems_ = 0;
  /// The service no longer has the requested changes; list the prefix again.
  bool HistoryLost_ = false;
};

/// \brief State of a lease, and so of the keys attached to it.
enum class LeaseState : std::uint8_t { Held, Ended };

/// \brief Whether a read has to reflect all earlier writes.
enum class ReadMode : std::uint8_t {
  Current,
  /// May be some seconds old; cheaper for the service.
  MayBeStale,
};

/// Time after the wait of a watch within which its reply arrives, even from a
/// store that takes 100 times its usual 4 ms. A watch without a reply fails
/// then.
inline constexpr std::chrono::milliseconds WatchGrace{800};

/// \brief Asynchronous interface. Each callback is called once, asynchronously.
/// An empty optional comes with a fault; a write may have taken effect then,
/// unless the fault is NotSent or Refused.
class LeaseStore {
public:
  template <typename Value>
  using Callback = std::function<void(std::optional<Value>, StoreFault)>;

  virtual ~LeaseStore() = default;

  virtual void list(const std::string &Prefix, ReadMode Mode,
                    Callback<StoreListing> Done) = 0;
  /// \brief Waits up to \p Wait for changes after \p Revision.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     std::chrono::milliseconds Wait,
                     Callback<StoreChanges> Done) = 0;
  /// \brief Returns the id of a new lease.
  virtual void grantLease(std::chrono::milliseconds TimeToLive,
                          Callback<std::string> Done) = 0;
  virtual void renewLease(const std::string &Lease,
                          Callback<LeaseState> Done) = 0;
  virtual void revokeLease(const std::string &Lease,
                           Callback<LeaseState> Done) = 0;
  /// \brief Writes a key that the service deletes when the lease ends.
  virtual void putLeased(const std::string &Key, const std::string &Value,
                         const std::string &Lease,
                         Callback<LeaseState> Done) = 0;
};

} // namespace wigeonwall::connection

#endif
