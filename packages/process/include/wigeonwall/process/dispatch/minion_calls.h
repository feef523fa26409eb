/// \file
/// \brief Calls of an agent to its minion.
#ifndef WIGEONWALL_PROCESS_DISPATCH_MINION_CALLS_H
#define WIGEONWALL_PROCESS_DISPATCH_MINION_CALLS_H

#include "wigeonwall/request/run.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::process::dispatch {

/// \brief Request to the minion to start a run.
struct StartCall {
  request::RunKey Key_;
  std::shared_ptr<const std::string> Payload_;
  /// End of the lease on the minion's clock.
  std::int64_t LeaseEndMs_ = 0;
  std::int64_t FencingToken_ = 0;
};

/// \brief Request to the minion to renew all leases and list its runs.
struct HoldCall {
  /// Empty to list runs without renewing the leases.
  std::optional<std::int64_t> LeaseEndMs_;
  std::int64_t FencingToken_ = 0;
  /// Position of the last end that the agent has processed; the minion may
  /// discard it and all earlier ones.
  std::int64_t Observed_ = 0;
  /// Maximum time that the minion may wait for a run to end before it replies.
  std::chrono::milliseconds Wait_{0};
};

struct HoldReply {
  /// Set if the minion has seen a higher fencing token.
  bool Fenced_ = false;
  /// Set if no process, or another incarnation, answers at the address.
  bool Gone_ = false;
  /// Empty if there was no valid reply.
  std::optional<request::RunListing> Listing_;
  /// Why there is no listing.
  std::string Detail_;
};

/// \brief Calls to the minion. Each callback is called once, asynchronously.
struct MinionCalls {
  std::function<void(
      const request::MinionReport &, const StartCall &,
      std::function<void(request::StartReply, const std::string &Detail)>)>
      Start_;
  std::function<void(const request::MinionReport &, const request::RunKey &,
                     std::int64_t FencingToken,
                     std::function<void(bool Acknowledged)>)>
      Stop_;
  std::function<void(const request::MinionReport &, const HoldCall &,
                     std::function<void(HoldReply)>)>
      Hold_;
};

namespace detail {

/// \brief A fencing token, which is raised when a minion refuses it.
struct FencingToken {
  /// One year in ms; a larger step could overflow the token.
  static constexpr std::int64_t MaxStep = 365LL * 24 * 3'600 * 1'000;

  /// Starts as a time in ms.
  std::int64_t Value_ = 0;
  /// Doubled at each refusal.
  std::int64_t Step_ = 1'000;

  void raise() {
    Value_ += Step_;
    Step_ = std::min(2 * Step_, MaxStep);
  }
};

} // namespace detail

} // namespace wigeonwall::process::dispatch

#endif
