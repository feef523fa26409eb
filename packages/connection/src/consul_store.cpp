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

/// A blocking query that ends within this time of the deadline counts as timed
/// out, so that rounding does not cause another query.
constexpr Milliseconds WatchDeadlineTolerance{10};
/// The service adds up to 1/16 of the wait time as jitter.
constexpr int WatchJitterDivisor = 16;

/// \brief Percent-encodes all but unreserved characters and "/".
std::string keyPath(const std::string &Key) {
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

StoreFault unknownFault(std::string Message) {
  return {StoreError::Unknown, std::move(Message), {}};
}

/// \brief Returns the fault of a transport error or of a status not in
/// \p Accepted.
std::optional<StoreFault> checkStatus(const HttpResult &Result,
                                      std::initializer_list<int> Accepted) {
  if (Result.Error_ == TransportError::NotSent)
    return StoreFault{StoreError::NotSent, Result.Detail_, {}};
  if (Result.Error_ != TransportError::None)
    return unknownFault(Result.Detail_);
  const int Status = Result.Response_.Status_;
  if (std::find(Accepted.begin(), Accepted.end(), Status) != Accepted.end())
    return std::nullopt;
  std::string Message =
      "status " + std::to_string(Status) + " from the key-value service";
  if (Status >= 500)
    return unknownFault(std::move(Message));
  return StoreFault{StoreError::Refused, std::move(Message), {}};
}

/// \brief Decodes the single element of the array that a GET returns.
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
  // The API encodes an empty value as null.
  if (Value.isNull() && Object.isMember("Value"))
    return Entry;
  auto Bytes = Value.isString() ? decodeBase64(Value.asString()) : std::nullopt;
  if (!Bytes)
    return std::nullopt;
  Entry.Value_ = std::move(*Bytes);
  return Entry;
}

std::optional<StoreEntry> decodeRead(const HttpResult &Result,
                                     StoreFault &Fault) {
  if (auto Found = checkStatus(Result, {200, 404})) {
    Fault = std::move(*Found);
    return std::nullopt;
  }
  if (Result.Response_.Status_ == 404)
    return StoreEntry{};
  auto Entry = decodeEntry(Result.Response_.Body_);
  if (!Entry)
    Fault = unknownFault("malformed reply of the key-value service to a read");
  return Entry;
}

std::optional<bool> decodeSwap(const HttpResult &Result, StoreFault &Fault) {
  if (auto Found = checkStatus(Result, {200})) {
    Fault = std::move(*Found);
    return std::nullopt;
  }
  request::CodecFault Ignored;
  const auto Reply = request::parseJson(Result.Response_.Body_, Ignored);
  if (Reply && Reply->isBool())
    return Reply->asBool();
  Fault = unknownFault("malformed reply of the key-value service to a write");
  return std::nullopt;
}

/// \brief Returns the index for the next blocking query; 0 if the reply has
/// none.
std::uint64_t parseQueryIndex(const HttpResponse &Response) {
  const std::string Text = findHeader(Response.Headers_, "x-consul-index");
  std::uint64_t Index = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Index);
  return Code == std::errc() && Last == End ? Index : 0;
}

/// \brief State of a watch across its blocking queries.
struct WatchCall {
  std::string Target_;
  /// Key index that the caller passed.
  std::uint64_t Index_ = 0;
  Clock::time_point Deadline_;
  KeyValueStore::ReadCallback Done_;
};

} // namespace

struct ConsulStore::State : std::enable_shared_from_this<ConsulStore::State> {
  State(asio::io_context &Context, std::vector<Endpoint> Endpoints,
        ConsulTimeouts Timeouts, CallObserver OnCall)
      : Context_(Context), Http_(Context, {}), Endpoints_(std::move(Endpoints)),
        Timeouts_(Timeouts), OnCall_(std::move(OnCall)) {}

  /// \brief Sends \p Request to the current endpoint. If nothing could be sent,
  /// tries up to \p RemainingAttempts further endpoints.
  void sendRequest(HttpRequest Request, Milliseconds Timeout,
                   std::size_t RemainingAttempts, HttpCallback Done) {
    if (OnCall_)
      OnCall_();
    const std::size_t Attempted = CurrentEndpoint_;
    Http_.send(
        Endpoints_[Attempted], Request, Timeout,
        [=, this, Self = shared_from_this()](HttpResult Result) {
          const bool Failed = Result.Error_ != TransportError::None ||
                              Result.Response_.Status_ >= 500;
          // A concurrent call may already have selected another endpoint.
          if (Failed && CurrentEndpoint_ == Attempted)
            CurrentEndpoint_ = (Attempted + 1) % Endpoints_.size();
          if (Result.Error_ == TransportError::NotSent && RemainingAttempts > 0)
            return sendRequest(Request, Timeout, RemainingAttempts - 1, Done);
          Done(std::move(Result));
        });
  }

  void call(HttpRequest Request, Milliseconds Timeout, HttpCallback Done) {
    if (!Endpoints_.empty())
      return sendRequest(std::move(Request), Timeout, Endpoints_.size() - 1,
                         std::move(Done));
    asio::post(Context_, [Done = std::move(Done)] {
      HttpResult Result;
      Result.Error_ = TransportError::NotSent;
      Result.Detail_ = "no endpoint of the key-value service is configured";
      Done(std::move(Result));
    });
  }

  void sendBlockingQuery(std::shared_ptr<WatchCall> Call,
                         std::uint64_t QueryIndex) {
    const Milliseconds Wait =
        std::max(Milliseconds(1), // 0 would select the default of 5 min
                 std::chrono::duration_cast<Milliseconds>(Call->Deadline_ -
                                                          Clock::now()));
    HttpRequest Request{"GET", Call->Target_, {}, {}};
    if (QueryIndex != 0)
      Request.Target_ += "?index=" + std::to_string(QueryIndex) +
                         "&wait=" + std::to_string(Wait.count()) + "ms";
    call(std::move(Request),
         Timeouts_.RequestTimeout_ + Wait + Wait / WatchJitterDivisor,
         [=, Self = shared_from_this()](HttpResult Result) {
           Self->handleBlockingQuery(Call, QueryIndex, Result);
         });
  }

  void handleBlockingQuery(std::shared_ptr<WatchCall> Call,
                           std::uint64_t QueryIndex, const HttpResult &Result) {
    StoreFault Fault;
    auto Entry = decodeRead(Result, Fault);
    if (!Entry || Entry->Index_ != Call->Index_ ||
        Clock::now() + WatchDeadlineTolerance >= Call->Deadline_)
      return Call->Done_(std::move(Entry), std::move(Fault));
    std::uint64_t NextIndex = parseQueryIndex(Result.Response_);
    // The API requires clients to reset the index when it decreases.
    if (NextIndex < QueryIndex)
      NextIndex = 0;
    if (QueryIndex == 0 && NextIndex != 0)
      return sendBlockingQuery(std::move(Call), NextIndex);
    auto Timer = std::make_shared<asio::steady_timer>(
        Context_, Timeouts_.WatchRetryDelay_);
    Timer->async_wait([=, Self = shared_from_this()](auto) {
      (void)Timer;
      Self->sendBlockingQuery(Call, NextIndex);
    });
  }

  asio::io_context &Context_;
  HttpClient Http_;
  std::vector<Endpoint> Endpoints_;
  ConsulTimeouts Timeouts_;
  CallObserver OnCall_;
  std::size_t CurrentEndpoint_ = 0;
};

ConsulStore::ConsulStore(asio::io_context &Context,
                         std::vector<Endpoint> Endpoints,
                         ConsulTimeouts Timeouts, CallObserver OnCall)
    : State_(std::make_shared<State>(Context, std::move(Endpoints), Timeouts,
                                     std::move(OnCall))) {}

ConsulStore::~ConsulStore() = default;

void ConsulStore::read(const std::string &Key, ReadCallback Done) {
  State_->call({"GET", keyPath(Key), {}, {}}, State_->Timeouts_.RequestTimeout_,
               [Done = std::move(Done)](HttpResult Result) {
                 StoreFault Fault;
                 auto Entry = decodeRead(Result, Fault);
                 Done(std::move(Entry), std::move(Fault));
               });
}

void ConsulStore::watch(const std::string &Key, std::uint64_t Index,
                        Milliseconds Wait, ReadCallback Done) {
  auto Call = std::make_shared<WatchCall>(
      WatchCall{keyPath(Key), Index, Clock::now() + Wait, std::move(Done)});
  State_->sendBlockingQuery(std::move(Call), Index);
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
                keyPath(Key) + "?cas=" + std::to_string(Index),
                {},
                std::move(Value)},
               State_->Timeouts_.RequestTimeout_,
               [Done = std::move(Done)](HttpResult Result) {
                 StoreFault Fault;
                 const auto Swapped = decodeSwap(Result, Fault);
                 Done(Swapped, std::move(Fault));
               });
}

} // namespace wigeonwall::connection
