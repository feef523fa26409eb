#include "standins/fake_network.h"

#include "standins/resource_usage.h"

namespace wigeonwall::standins {

using connection::RpcResult;
using connection::TransportError;

struct FakeNetwork::Exchange {
  std::string From_;
  unsigned FromGeneration_ = 0;
  std::string To_;
  std::string Method_;
  Json::Value Params_;
  connection::RpcCallback Done_;
  CallFault Fault_;
  bool Ended_ = false;
};

void FakeNetwork::addMethod(const std::string &Address,
                            const std::string &Method,
                            connection::RpcHandler Handler) {
  Nodes_[Address][Method] = std::move(Handler);
}

void FakeNetwork::cut(const std::string &A, const std::string &B) {
  Cuts_.emplace(A, B);
  Cuts_.emplace(B, A);
}

std::uint64_t FakeNetwork::calls(const std::string &Method) const {
  const auto Found = Calls_.find(Method);
  return Found == Calls_.end() ? 0 : Found->second;
}

process::Schedule FakeNetwork::schedule(const std::string &Address) {
  return [this, Address, Generation = Generations_[Address]](
             request::Duration Delay, std::function<void()> Task) {
    Time_.after(Delay, [this, Address, Generation, Task = std::move(Task)] {
      runOn(Address, Generation, [this, Task] { metered("timer", "", Task); });
    });
  };
}

void FakeNetwork::metered(const char *What, const std::string &Method,
                          const std::function<void()> &Task) {
  if (!Meter_)
    return Task();
  LastCalled_.clear();
  const double Start = threadCpuSeconds();
  Task();
  const double Used = threadCpuSeconds() - Start;
  if (!Method.empty())
    return Meter_(std::string(What) + " " + Method, Used);
  Meter_(LastCalled_.empty() ? What : "send " + LastCalled_, Used);
}

process::PeerCall FakeNetwork::caller(const std::string &From) {
  return [this, From, Generation = Generations_[From]](
             const std::string &To, const std::string &Method,
             Json::Value Params, std::chrono::milliseconds Timeout,
             connection::RpcCallback Done) {
    ++Calls_[Method];
    LastCalled_ = Method;
    auto Call = std::make_shared<Exchange>();
    *Call = {From, Generation, To, Method, std::move(Params), std::move(Done),
             {},   false};
    if (Fault_)
      Call->Fault_ = Fault_(From, To, Method);
    Time_.after(Timeout, [this, Call] {
      reply(Call, {TransportError::Ambiguous, false, "timed out", {}});
    });
    const bool Cut = Cuts_.count({From, To}) != 0;
    if (Call->Fault_.LoseRequest_ || Cut)
      return;
    Time_.after(Latency_ + Call->Fault_.RequestDelay_,
                [this, Call] { arrive(Call); });
  };
}

void FakeNetwork::runOn(const std::string &Address, unsigned Generation,
                        const std::function<void()> &Task) {
  if (killed(Address) || Generations_[Address] != Generation)
    return;
  const auto Frozen = FrozenUntil_.find(Address);
  if (Frozen == FrozenUntil_.end() || Frozen->second <= Time_.now())
    return Task();
  Time_.at(Frozen->second, [this, Address, Generation, Task] {
    runOn(Address, Generation, Task);
  });
}

void FakeNetwork::arrive(const std::shared_ptr<Exchange> &Call) {
  // The caller learns of a refused connection without an action of the node.
  if (Call->Fault_.Refuse_ || killed(Call->To_) || Nodes_.count(Call->To_) == 0)
    return reply(Call, {TransportError::NotSent, false, "refused", {}});
  runOn(Call->To_, Generations_[Call->To_], [this, Call] {
    RpcResult Result;
    try {
      const connection::RpcHandler &Handler =
          Nodes_.at(Call->To_).at(Call->Method_);
      metered("handle", Call->Method_,
              [&] { Result.Value_ = Handler(Call->Params_); });
    } catch (const connection::RpcFault &Fault) {
      Result.Refused_ = true;
      Result.Detail_ = Fault.Message_;
    }
    if (Call->Fault_.LoseReply_ || Cuts_.count({Call->To_, Call->From_}) != 0)
      return;
    Time_.after(Latency_, [this, Call, Result = std::move(Result)] {
      reply(Call, Result);
    });
  });
}

void FakeNetwork::reply(const std::shared_ptr<Exchange> &Call,
                        RpcResult Result) {
  if (Call->Ended_)
    return;
  Call->Ended_ = true;
  runOn(Call->From_, Call->FromGeneration_,
        [this, Call, Result = std::move(Result)] {
          metered("reply", Call->Method_, [&] { Call->Done_(Result); });
        });
}

} // namespace wigeonwall::standins
