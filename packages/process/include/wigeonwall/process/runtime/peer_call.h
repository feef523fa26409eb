/// \file
/// \brief Injectable RPC calls to other processes, and their batching.
#ifndef WIGEONWALL_PROCESS_RUNTIME_PEER_CALL_H
#define WIGEONWALL_PROCESS_RUNTIME_PEER_CALL_H

#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/request/clock.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief Calls a method of the process at an address "IP:port". The callback
/// runs once and asynchronously on the caller's event loop.
using PeerCall = std::function<void(
    const std::string &Address, const std::string &Method, Json::Value Params,
    std::chrono::milliseconds Timeout, connection::RpcCallback Done)>;

/// \brief Runs a function on the caller's event loop after a delay.
using Schedule =
    std::function<void(request::Duration Delay, std::function<void()> Task)>;

/// \brief Returns Unix time in ms.
using WallClock = std::function<std::int64_t()>;

/// \brief Reply to one item of a batch.
struct ItemReply {
  connection::TransportError Error_ = connection::TransportError::None;
  /// The peer rejected the whole batch as malformed.
  bool Refused_ = false;
  std::string Detail_;
  /// Null unless ok().
  Json::Value Value_;

  [[nodiscard]] bool ok() const noexcept {
    return Error_ == connection::TransportError::None && !Refused_;
  }
};

using ItemCallback = std::function<void(const ItemReply &)>;

/// \brief Batches the items sent to one peer in one iteration of the event loop
/// into a single call `{...header, "items": [...]}`.
///
/// The reply is `{..., "items": [...]}` with one element per item, in order.
class CallBatcher {
public:
  using Header = std::function<Json::Value()>;
  /// Receives the whole reply before the callbacks of its items run.
  using ReplyHook = std::function<void(const Json::Value &Reply)>;

  CallBatcher(PeerCall Call, Schedule After, std::string Method,
              Header MakeHeader, ReplyHook OnReply,
              std::chrono::milliseconds Timeout);

  /// \brief Queues an item for the peer at \p Address.
  void add(const std::string &Address, Json::Value Item, ItemCallback Done);

private:
  struct Batch {
    Json::Value Items_{Json::arrayValue};
    std::vector<ItemCallback> Callbacks_;
  };

  void flushAll();
  void send(const std::string &Address, Batch Items);

  PeerCall Call_;
  Schedule After_;
  std::string Method_;
  Header MakeHeader_;
  ReplyHook OnReply_;
  std::chrono::milliseconds Timeout_;
  std::map<std::string, Batch> PendingBatches_;
  bool FlushScheduled_ = false;
};

/// \brief Handles a batch: calls \p Handle for each item and returns the reply.
template <typename Handler>
Json::Value handleItems(const Json::Value &Params, Handler Handle) {
  if (!Params["items"].isArray())
    throw connection::RpcFault{"/items: expected an array"};
  Json::Value Reply;
  Json::Value Items(Json::arrayValue);
  for (const Json::Value &Item : Params["items"])
    Items.append(Handle(Item));
  Reply["items"] = std::move(Items);
  return Reply;
}

} // namespace wigeonwall::process

#endif
