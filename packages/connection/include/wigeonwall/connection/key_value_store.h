/// \file
/// \brief Interface of the platform's key-value service.
#ifndef WIGEONWALL_CONNECTION_KEY_VALUE_STORE_H
#define WIGEONWALL_CONNECTION_KEY_VALUE_STORE_H

#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/fault.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace wigeonwall::connection {

/// \brief Errors of calls to the key-value service.
enum class StoreError : std::uint8_t {
  None,
  /// Nothing was sent; a write cannot have taken effect.
  NotSent,
  /// No valid reply; a write may have taken effect.
  Unknown,
  /// The service rejected the request, for example a value over 1 MB.
  Refused,
};

inline constexpr std::array<request::EnumName<StoreError>, 4> StoreErrorNames{{
    {StoreError::None, "none"},
    {StoreError::NotSent, "not_sent"},
    {StoreError::Unknown, "unknown"},
    {StoreError::Refused, "refused"},
}};

using StoreFault = request::Fault<StoreError>;

/// \brief Value of a key; an absent key has the index 0 and an empty value.
struct StoreEntry {
  std::string Value_;
  /// Changes with each write of the key; passed to compareAndSwap().
  std::uint64_t Index_ = 0;
};

/// \brief Maximum size of a value in the service.
inline constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// \brief Asynchronous interface. Each callback is called once, asynchronously,
/// on the event loop of the implementation. An empty optional comes with a
/// fault.
class KeyValueStore {
public:
  using ReadCallback =
      std::function<void(std::optional<StoreEntry>, StoreFault)>;
  /// The value is false if the key had another index.
  using SwapCallback = std::function<void(std::optional<bool>, StoreFault)>;

  virtual ~KeyValueStore() = default;

  virtual void read(const std::string &Key, ReadCallback Done) = 0;
  /// \brief Waits until the index of \p Key differs from \p Index or \p Wait
  /// has passed, and returns the current entry.
  virtual void watch(const std::string &Key, std::uint64_t Index,
                     std::chrono::milliseconds Wait, ReadCallback Done) = 0;
  /// \brief Writes \p Value if the index of \p Key is \p Index (0: absent).
  virtual void compareAndSwap(const std::string &Key, std::string Value,
                              std::uint64_t Index, SwapCallback Done) = 0;
};

} // namespace wigeonwall::connection

#endif
