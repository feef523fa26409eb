#include "wigeonwall/connection/consul_store.h"

#include "wigeonwall/connection/base64.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace wigeonwall::connection {

namespace {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// A blocking query that ends this close to its wait counts as timed out, so
/// that rounding causes no further round.
constexpr Milliseconds WatchSlack{10};
/// The service adds up to this fraction of the wait to spread wake-ups.
constexpr int WatchJitterDivisor = 16;

/// \brief Percent-encodes all but unreserved characters and "/".
std::string keyTarget(const std::string &Key) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Target = "/v1/kv/";
  for (unsigned char Byte : Key) {
    if (std::isalnum(Byte) != 0 ||
        std::string_view("-._~/").find(static_cast<char>(Byte)) !=
            std::string_view::npos) {
      Target += static_cast<char>(Byte);
      continue;
    }
    Target += '%';
    Target += Digits[Byte >> 4];
    Target += Digits[Byte & 15];
  }
  return Target;
}

StoreFault unknown(std::string Message) {
  return {StoreError::Unknown, std::move(Message), {}};
}

/// \brief Fault of a transport error or a status other than \p Usable.
std::optional<StoreFault> findFault(const HttpResult &Result,
                                    std::initializer_list<int> Usable) {
  if (Result.Error_ == TransportError::NotSent)
    return StoreFault{StoreError::NotSent, Result.Detail_, {}};
  if (Result.Error_ != TransportError::None)
    return unknown(Result.Detail_);
  const int Status = Result.Response_.Status_;
  if (std::find(Usable.begin(), Usable.end(), Status) != Usable.end())
    return std::nullopt;
  std::string Message =
      "status " + std::to_string(Status) + " of the key-value service";
  if (Status >= 500)
    return unknown(std::move(Message));
  return StoreFault{StoreError::Refused, std::move(Message), {}};
}

/// \brief Reads the one element of the array that a GET returns.
std::optional<StoreEntry> decodeEntry(const std::string &Body) {
  request::CodecFault Ignored;
  const auto Reply = request::parseJson(Body, Ignored);
  if (!Reply || !Reply->isArray() || Reply->size() != 1 ||
      !(*Reply)[0].isObject())
    return std::nullopt;
  const Json::Value &Object = (*Reply)[0];
  const Json::Value &Index = Object["ModifyIndex"];
  const Json::Value &Value = Object["Value"];
  if (!Index.isUInt64() || Index.asUInt64() == 0)
    return std::nullopt;
  StoreEntry Entry;
  Entry.Index_ = Index.asUInt64();
  // The API writes an empty value as null.
  if (Value.isNull() && Object.isMember("Value"))
    return Entry;
  auto Bytes = Value.isString() ? decodeBase64(Value.asString()) : std::nullopt;
  if (!Bytes)
    return std::nullopt;
  Entry.Value_ = std::move(*Bytes);
  return Entry;
}

std::optional<StoreEntry> decodeRead(const HttpResult &Result,
                                     StoreFault &Why) {
  if (auto Found = findFault(Result, {200, 404})) {
    Why = std::move(*Found);
    return std::nullopt;
  }
  if (Result.Response_.Status_ == 404)
    return StoreEntry{};
  auto Entry = decodeEntry(Result.Response_.Body_);
  if (!Entry)
    Why = unknown("malformed reply to a read of the key-value service");
  return Entry;
}

std::optional<bool> decodeSwap(const HttpResult &Result, StoreFault &Why) {
  if (auto Found = findFault(Result, {200})) {
    Why = std::move(*Found);
    return std::nullopt;
  }
  request::CodecFault Ignored;
  const auto Reply = request::parseJson(Result.Response_.Body_, Ignored);
  if (Reply && Reply->isBool())
    return Reply->asBool();
  Why = unknown("malformed reply to a write of the key-value service");
  return std::nullopt;
}

/// \brief Index for the next blocking query; 0 when the reply has none.
std::uint64_t queryIndex(const HttpResponse &Response) {
  const std::string Text = findHeader(Response.Headers_, "x-consul-index");
  std::uint64_t Index = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Index);
  return Code == std::errc() && Last == End ? Index : 0;
}

/// \brief One watch over all of its blocking queries.
struct WatchCall {
  std::string Target_;
  /// Index of the key that the caller knows.
  std::uint64_t Index_ = 0;
  Clock::time_point Deadline_;
  KeyValueStore::ReadCallback Done_;
};

} // namespace

struct ConsulStore::State : std::enable_shared_from_this<ConsulStore::State> {
  State(asio::io_context &Context, std::vector<Endpoint> Endpoints,
        ConsulTimeouts Timeouts, CallHook OnCall)
      : Context_(Context), Http_(Context, {}), Endpoints_(std::move(Endpoints)),
        Timeouts_(Timeouts), OnCall_(std::move(OnCall)) {}

  /// \brief Sends \p Request to the current endpoint and, while nothing is
  /// sent, to \p MoreTries further ones.
  void exchange(HttpRequest Request, Milliseconds Timeout,
                std::size_t MoreTries, HttpCallback Done) {
    if (OnCall_)
      OnCall_();
    const std::size_t Used = Current_;
    Http_.send(Endpoints_[Used], Request, Timeout,
               [=, this, Self = shared_from_this()](HttpResult Result) {
                 const bool Failed = Result.Error_ != TransportError::None ||
                                     Result.Response_.Status_ >= 500;
                 // A concurrent call may have moved on already.
                 if (Failed && Current_ == Used)
                   Current_ = (Used + 1) % Endpoints_.size();
                 if (Result.Error_ == TransportError::NotSent && MoreTries > 0)
                   return exchange(Request, Timeout, MoreTries - 1, Done);
                 Done(std::move(Result));
               });
  }

  void call(HttpRequest Request, Milliseconds Timeout, HttpCallback Done) {
    if (!Endpoints_.empty())
      return exchange(std::move(Request), Timeout, Endpoints_.size() - 1,
                      std::move(Done));
    asio::post(Context_, [Done = std::move(Done)] {
      Done({TransportError::NotSent,
            "no endpoint of the key-value service",
            {}});
    });
  }

  void watchRound(std::shared_ptr<WatchCall> Call, std::uint64_t BlockIndex) {
    const Milliseconds Wait =
        std::max(Milliseconds(1), // 0 selects the service's default of 5 min
                 std::chrono::duration_cast<Milliseconds>(Call->Deadline_ -
                                                          Clock::now()));
    HttpRequest Request{"GET", Call->Target_, {}, {}};
    if (BlockIndex != 0)
      Request.Target_ += "?index=" + std::to_string(BlockIndex) +
                         "&wait=" + std::to_string(Wait.count()) + "ms";
    call(std::move(Request), Timeouts_.Call_ + Wait + Wait / WatchJitterDivisor,
         [=, Self = shared_from_this()](HttpResult Result) {
           Self->finishRound(Call, BlockIndex, Result);
         });
  }

  void finishRound(std::shared_ptr<WatchCall> Call, std::uint64_t BlockIndex,
                   const HttpResult &Result) {
    StoreFault Why;
    auto Entry = decodeRead(Result, Why);
    if (!Entry || Entry->Index_ != Call->Index_ ||
        Clock::now() + WatchSlack >= Call->Deadline_)
      return Call->Done_(std::move(Entry), std::move(Why));
    std::uint64_t Next = queryIndex(Result.Response_);
    // The API asks for a fresh start when the index goes backwards.
    if (Next < BlockIndex)
      Next = 0;
    if (BlockIndex == 0 && Next != 0)
      return watchRound(std::move(Call), Next);
    auto Timer =
        std::make_shared<asio::steady_timer>(Context_, Timeouts_.WatchPause_);
    Timer->async_wait([=, Self = shared_from_this()](auto) {
      (void)Timer;
      Self->watchRound(Call, Next);
    });
  }

  asio::io_context &Context_;
  HttpClient Http_;
  std::vector<Endpoint> Endpoints_;
  ConsulTimeouts Timeouts_;
  CallHook OnCall_;
  std::size_t Current_ = 0;
};

ConsulStore::ConsulStore(asio::io_context &Context,
                         std::vector<Endpoint> Endpoints,
                         ConsulTimeouts Timeouts, CallHook OnCall)
    : State_(std::make_shared<State>(Context, std::move(Endpoints), Timeouts,
                                     std::move(OnCall))) {}

ConsulStore::~ConsulStore() = default;

void ConsulStore::read(const std::string &Key, ReadCallback Done) {
  State_->call({"GET", keyTarget(Key), {}, {}}, State_->Timeouts_.Call_,
               [Done = std::move(Done)](HttpResult Result) {
                 StoreFault Why;
                 auto Entry = decodeRead(Result, Why);
                 Done(std::move(Entry), std::move(Why));
               });
}

void ConsulStore::watch(const std::string &Key, std::uint64_t Index,
                        Milliseconds Wait, ReadCallback Done) {
  auto Call = std::make_shared<WatchCall>(
      WatchCall{keyTarget(Key), Index, Clock::now() + Wait, std::move(Done)});
  State_->watchRound(std::move(Call), Index);
}

void ConsulStore::compareAndSwap(const std::string &Key, std::string Value,
                                 std::uint64_t Index, SwapCallback Done) {
  if (Value.size() > MaxStoreValueBytes)
    return asio::post(State_->Context_, [Done = std::move(Done)] {
      Done(std::nullopt, {StoreError::Refused,
                          "value larger than " +
                              std::to_string(MaxStoreValueBytes) + " bytes",
                          {}});
    });
  State_->call({"PUT",
                keyTarget(Key) + "?cas=" + std::to_string(Index),
                {},
                std::move(Value)},
               State_->Timeouts_.Call_,
               [Done = std::move(Done)](HttpResult Result) {
                 StoreFault Why;
                 const auto Swapped = decodeSwap(Result, Why);
                 Done(Swapped, std::move(Why));
               });
}

} // namespace wigeonwall::connection
