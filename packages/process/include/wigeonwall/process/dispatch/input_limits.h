/// \file
/// \brief Limits on the input of a process, derived from its machine.
#ifndef WIGEONWALL_PROCESS_DISPATCH_INPUT_LIMITS_H
#define WIGEONWALL_PROCESS_DISPATCH_INPUT_LIMITS_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/connection/peer_connection.h"
#include "wigeonwall/process/dispatch/dispatch_settings.h"
#include "wigeonwall/process/observation/metrics.h"

namespace wigeonwall::process::dispatch {

/// \brief Totals of a process; pure.
struct InputTotals {
  /// Bytes of unfinished requests and messages, by thread.
  std::size_t TrafficBytes_ = 0;
  std::size_t ControlBytes_ = 0;
  std::size_t CallerConnections_ = 0;
  /// Callers' requests that wait for their response.
  std::size_t WaitingRequests_ = 0;
  /// Tasks of all jobs of an entry.
  std::size_t OpenTasks_ = 0;
};

[[nodiscard]] InputTotals inputTotals(const DispatchSettings &Settings);

/// \brief Limits of each listener of a process; counts what they refuse.
///
/// The threads have separate budgets, so that neither needs a lock.
class InputLimits {
public:
  InputLimits(const DispatchSettings &Settings, Counters &Registry);

  /// On the traffic thread.
  [[nodiscard]] connection::HttpLimits callers() const;
  [[nodiscard]] connection::HttpLimits readiness() const;
  [[nodiscard]] connection::HttpLimits reports() const;
  [[nodiscard]] connection::PeerLimits links() const;
  /// On the control thread.
  [[nodiscard]] connection::HttpLimits metrics() const;
  [[nodiscard]] connection::HttpLimits entries() const;

private:
  [[nodiscard]] connection::HttpLimits
  limits(const std::shared_ptr<connection::InputBudget> &Budget,
         std::uint64_t BodyBytes, std::size_t Connections) const;

  InputTotals Totals_;
  std::shared_ptr<connection::InputBudget> Traffic_;
  std::shared_ptr<connection::InputBudget> Control_;
  connection::CountInputRefusal Count_;
};

} // namespace wigeonwall::process::dispatch

#endif
