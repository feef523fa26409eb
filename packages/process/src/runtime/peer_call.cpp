#include "wigeonwall/process/runtime/peer_call.h"

namespace wigeonwall::process {

CallBatcher::CallBatcher(PeerCall Call, Schedule After, std::string Method,
                         Header MakeHeader, ReplyHook OnReply,
                         std::chrono::milliseconds Timeout)
    : Call_(std::move(Call)), After_(std::move(After)),
      Method_(std::move(Method)), MakeHeader_(std::move(MakeHeader)),
      OnReply_(std::move(OnReply)), Timeout_(Timeout) {}

void CallBatcher::add(const std::string &Address, Json::Value Item,
                      ItemCallback Done) {
  Batch &Target = PendingBatches_[Address];
  Target.Items_.append(std::move(Item));
  Target.Callbacks_.push_back(std::move(Done));
  if (FlushScheduled_)
    return;
  FlushScheduled_ = true;
  After_(request::Duration::zero(), [this] { flushAll(); });
}

void CallBatcher::flushAll() {
  FlushScheduled_ = false;
  auto Batches = std::move(PendingBatches_);
  PendingBatches_.clear();
  for (auto &[Address, Items] : Batches)
    send(Address, std::move(Items));
}

void CallBatcher::send(const std::string &Address, Batch Items) {
  Json::Value Params = MakeHeader_();
  Params["items"] = std::move(Items.Items_);
  Call_(Address, Method_, std::move(Params), Timeout_,
        [this, Callbacks = std::move(Items.Callbacks_)](
            const connection::RpcResult &Result) {
          ItemReply Reply{Result.Error_, Result.Refused_, Result.Detail_, {}};
          const Json::Value Empty;
          const Json::Value &Values =
              Result.Value_.isObject() ? Result.Value_["items"] : Empty;
          // The peer received the items and may have processed them.
          if (Result.ok() &&
              (!Values.isArray() || Values.size() != Callbacks.size())) {
            Reply.Error_ = connection::TransportError::Ambiguous;
            Reply.Detail_ =
                "reply has a different number of items than the request";
          }
          if (Reply.ok() && OnReply_)
            OnReply_(Result.Value_);
          for (Json::ArrayIndex I = 0; I < Callbacks.size(); ++I) {
            if (Reply.ok())
              Reply.Value_ = Values[I];
            Callbacks[I](Reply);
          }
        });
}

} // namespace wigeonwall::process
