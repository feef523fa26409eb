/// \file
/// \brief Simulated RPC network in virtual time with fault injection.
#ifndef WIGEONWALL_STANDINS_FAKE_NETWORK_H
#define WIGEONWALL_STANDINS_FAKE_NETWORK_H

#include "standins/virtual_time.h"

#include "wigeonwall/process/runtime/peer_call.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace wigeonwall::standins {

/// \brief Faults injected into one call.
struct CallFault {
  /// The connection is refused, so the caller knows that nothing arrived.
  bool Refuse_ = false;
  bool LoseRequest_ = false;
  bool LoseReply_ = false;
  /// Additional latency of the request.
  request::Duration RequestDelay_{0};
};

/// \brief Nodes by address; a node can be killed, frozen or partitioned.
class FakeNetwork {
public:
  /// Returns the faults of a call; without a hook, there are none.
  using FaultHook =
      std::function<CallFault(const std::string &From, const std::string &To,
                              const std::string &Method)>;

  /// Receives the CPU time of one unit of work: "handle METHOD" at the
  /// receiver, "reply METHOD" at the caller, "send METHOD" for a timer that
  /// sends a message, "timer" for any other timer.
  using Meter = std::function<void(const std::string &What, double Seconds)>;

  explicit FakeNetwork(VirtualTime &Time, request::Duration Latency)
      : Time_(Time), Latency_(Latency) {}

  void addMethod(const std::string &Address, const std::string &Method,
                 connection::RpcHandler Handler);
  [[nodiscard]] process::PeerCall caller(const std::string &From);
  /// \brief Timers of a node; they are dropped when it ends and delayed while
  /// it is frozen.
  [[nodiscard]] process::Schedule schedule(const std::string &Address);

  void setFaultHook(FaultHook Hook) { Fault_ = std::move(Hook); }
  void setMeter(Meter Hook) { Meter_ = std::move(Hook); }
  void kill(const std::string &Address) { Killed_.insert(Address); }
  /// \brief Replaces the process at the address by a new one. Timers and
  /// callbacks of the old one never run.
  void restart(const std::string &Address) { ++Generations_[Address]; }
  void freeze(const std::string &Address, request::Duration Time) {
    FrozenUntil_[Address] = Time_.now() + Time;
  }
  /// \brief Drops all messages between the two addresses in both directions.
  void cut(const std::string &A, const std::string &B);
  void heal() { Cuts_.clear(); }
  [[nodiscard]] bool killed(const std::string &Address) const {
    return Killed_.count(Address) != 0;
  }
  [[nodiscard]] std::uint64_t calls(const std::string &Method) const;

private:
  struct Exchange;

  /// Runs \p Task on a process: later if it is frozen, never if it has ended.
  void runOn(const std::string &Address, unsigned Generation,
             const std::function<void()> &Task);
  /// Runs \p Task and passes its CPU time to the meter.
  void metered(const char *What, const std::string &Method,
               const std::function<void()> &Task);
  void arrive(const std::shared_ptr<Exchange> &Call);
  void reply(const std::shared_ptr<Exchange> &Call,
             connection::RpcResult Result);

  VirtualTime &Time_;
  request::Duration Latency_;
  FaultHook Fault_;
  Meter Meter_;
  /// Method of the last call since the start of a metered timer.
  std::string LastCalled_;
  std::map<std::string, std::map<std::string, connection::RpcHandler>> Nodes_;
  std::set<std::string> Killed_;
  std::map<std::string, unsigned> Generations_;
  std::map<std::string, request::TimePoint> FrozenUntil_;
  std::set<std::pair<std::string, std::string>> Cuts_;
  std::map<std::string, std::uint64_t> Calls_;
};

} // namespace wigeonwall::standins

#endif
