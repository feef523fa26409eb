/// \file
/// \brief Total bytes of all unfinished requests and messages of an event loop.
#ifndef WIGEONWALL_CONNECTION_INPUT_BUDGET_H
#define WIGEONWALL_CONNECTION_INPUT_BUDGET_H

#include "wigeonwall/request/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace wigeonwall::connection {

/// \brief Why a connection was refused or closed, or a request rejected.
enum class InputRefusal : std::uint8_t {
  Header,
  Trailers,
  Extensions,
  Body,
  /// All unfinished requests together held too many bytes.
  Budget,
  /// The request was not complete within the read timeout.
  Slow,
  /// Closed to make room for, or instead of, a new connection.
  Connections,
  /// No descriptor was free for a new connection.
  Descriptors,
  /// Too many requests waited for their response.
  Waiting,
  /// Message between processes over its limit.
  Message,
  /// Output that the peer did not read, when the budget was used up.
  Unread,
};

inline constexpr std::array<request::EnumName<InputRefusal>, 11>
    InputRefusalNames{{
        {InputRefusal::Header, "header"},
        {InputRefusal::Trailers, "trailers"},
        {InputRefusal::Extensions, "extensions"},
        {InputRefusal::Body, "body"},
        {InputRefusal::Budget, "budget"},
        {InputRefusal::Slow, "slow"},
        {InputRefusal::Connections, "connections"},
        {InputRefusal::Descriptors, "descriptors"},
        {InputRefusal::Waiting, "waiting"},
        {InputRefusal::Message, "message"},
        {InputRefusal::Unread, "unread"},
    }};

using CountInputRefusal = std::function<void(InputRefusal)>;

/// \brief Bounds the bytes that unfinished input holds and chooses which input
/// is ended; not thread-safe, one per event loop.
///
/// The input with the most bytes is ended first. Sizes within a factor of two
/// count as equal, and the oldest of them goes first, so that a recent upload
/// is not ended in place of one that stopped just short of its end.
class InputBudget {
public:
  using Id = std::uint64_t;

  /// \p OnExceeded is called with true when the first input is ended, and with
  /// false when less than half of the budget is used again.
  explicit InputBudget(std::size_t MaxBytes,
                       std::function<void(bool)> OnExceeded = {})
      : MaxBytes_(MaxBytes), OnExceeded_(std::move(OnExceeded)) {}

  /// \brief Adds an input without bytes. \p OnEvicted is called at most once,
  /// after the input has been removed.
  [[nodiscard]] Id add(std::function<void()> OnEvicted);
  /// \brief Sets the bytes of an input and evicts inputs while the total is
  /// over the limit, possibly this one. Ignores an evicted input.
  void update(Id Input, std::size_t Bytes);
  void remove(Id Input);
  [[nodiscard]] bool contains(Id Input) const {
    return Inputs_.count(Input) != 0;
  }
  [[nodiscard]] std::size_t usedBytes() const noexcept { return Used_; }

private:
  struct Input {
    std::size_t Bytes_ = 0;
    std::function<void()> OnEvicted_;
  };
  /// Size class and age; the first element is evicted first.
  struct Rank {
    unsigned SizeClass_;
    Id Input_;
    bool operator<(const Rank &Other) const noexcept {
      return SizeClass_ != Other.SizeClass_ ? SizeClass_ > Other.SizeClass_
                                            : Input_ < Other.Input_;
    }
  };

  [[nodiscard]] static Rank rank(Id Input, std::size_t Bytes) noexcept;
  void evictFirst();
  void setExceeded(bool Exceeded);

  std::size_t MaxBytes_;
  std::function<void(bool)> OnExceeded_;
  std::size_t Used_ = 0;
  bool Exceeded_ = false;
  Id LastId_ = 0;
  std::map<Id, Input> Inputs_;
  std::set<Rank> Ranks_;
};

/// \brief One input's part of a budget; does nothing without a budget.
class InputAccount {
public:
  explicit InputAccount(std::shared_ptr<InputBudget> Budget)
      : Budget_(std::move(Budget)) {}
  ~InputAccount() { release(); }
  InputAccount(const InputAccount &) = delete;
  InputAccount &operator=(const InputAccount &) = delete;

  /// \brief Sets the bytes held; \p OnEvicted is kept by the first call after
  /// release(). Returns false if the input has been evicted.
  template <typename Evicted>
  [[nodiscard]] bool hold(std::size_t Bytes, const Evicted &OnEvicted) {
    if (!Budget_)
      return true;
    if (Id_ == 0)
      Id_ = Budget_->add(OnEvicted);
    // An eviction may release the account during the update.
    const InputBudget::Id Held = Id_;
    Budget_->update(Held, Bytes);
    return Budget_->contains(Held);
  }
  void release() {
    if (Id_ != 0)
      Budget_->remove(std::exchange(Id_, 0));
  }

private:
  std::shared_ptr<InputBudget> Budget_;
  InputBudget::Id Id_ = 0;
};

} // namespace wigeonwall::connection

#endif
