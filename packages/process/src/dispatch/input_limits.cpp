#include "wigeonwall/process/dispatch/input_limits.h"

#include "wigeonwall/process/observation/log.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using connection::HttpLimits;
using connection::InputBudget;
using connection::PeerLimits;

namespace {

constexpr std::size_t BytesPerMb = 1'000'000;
constexpr std::size_t BytesPerKb = 1'000;
/// Memory of the smallest machine; used when the settings do not name it.
constexpr std::size_t DefaultMemoryMb = 120;
/// An idle process uses 10 MB; the rest is for jobs, links and the runtime.
constexpr std::size_t UnfinishedPercent = 25;
/// Room for some ordinary callers with the largest body.
constexpr std::size_t MinUnfinishedBytes = 4 * BytesPerMb;
/// Part of the total for the control thread: one body of the largest size that
/// it accepts, and small requests beside it.
constexpr std::size_t ControlPart = 8;
constexpr std::size_t MinControlBytes = BytesPerMb;

/// Descriptors that the system does not use for connections.
constexpr std::size_t FileReserve = 200;
/// Descriptors for the agents or entries, the store, and all listeners but that
/// of the callers. The largest fleet has 240 agents and 55 entries.
constexpr std::size_t SystemReserve = 512;
constexpr std::size_t MinCallerConnections = 64;
constexpr std::size_t DefaultCallerConnections = 3'000;

/// Memory of a waiting request: the largest `spec` when escaped, and its job.
constexpr std::size_t WaitingRequestBytes = 32 * BytesPerKb;

/// Memory of a task: its state, and its part of an order that the agent has not
/// confirmed.
constexpr std::size_t TaskBytes = 1'000;

constexpr std::uint64_t SmallBodyBytes = 4 * 1024;
/// A job to be explained, with the largest `spec` when escaped.
constexpr std::uint64_t EntryBodyBytes = 64 * 1024;
/// Far above the report of a minion with all of its runs.
constexpr std::uint64_t ReportBodyBytes = 256 * 1024;
constexpr std::size_t SideConnections = 64;
constexpr std::size_t EntryConnections = 128;
constexpr std::size_t LinkConnections = 256;
/// A request of the usual size fits into the receive buffer. The input behind a
/// request stays there until the request has its response.
constexpr connection::SocketBuffers HttpBuffers{16 * 1024, 32 * 1024};
constexpr connection::SocketBuffers LinkBuffers{64 * 1024, 64 * 1024};
/// Callers keep idle connections open between requests.
constexpr std::chrono::minutes CallerIdleTimeout{10};

std::shared_ptr<InputBudget> makeBudget(const char *Thread, std::size_t Bytes) {
  return std::make_shared<InputBudget>(Bytes, [Thread, Bytes](bool Exceeded) {
    logDecision("process", Exceeded ? "input_limited" : "input_normal", Thread,
                "limit_bytes=" + std::to_string(Bytes));
  });
}

} // namespace

InputTotals inputTotals(const DispatchSettings &Settings) {
  const std::size_t Memory = Settings.MemoryMb_.value_or(DefaultMemoryMb);
  const std::size_t Total =
      Settings.UnfinishedKb_
          ? *Settings.UnfinishedKb_ * BytesPerKb
          : std::max(MinUnfinishedBytes,
                     Memory * BytesPerMb * UnfinishedPercent / 100);
  InputTotals Result;
  Result.ControlBytes_ = std::max(MinControlBytes, Total / ControlPart);
  Result.TrafficBytes_ =
      std::max(MinControlBytes, Total - std::min(Total, Result.ControlBytes_));
  Result.CallerConnections_ = DefaultCallerConnections;
  if (Settings.FileDescriptors_)
    Result.CallerConnections_ =
        std::max(FileReserve + SystemReserve + MinCallerConnections,
                 *Settings.FileDescriptors_) -
        FileReserve - SystemReserve;
  if (Settings.CallerConnections_)
    Result.CallerConnections_ =
        std::min(Result.CallerConnections_, *Settings.CallerConnections_);
  Result.WaitingRequests_ = Total / WaitingRequestBytes;
  Result.OpenTasks_ = Total / TaskBytes;
  return Result;
}

InputLimits::InputLimits(const DispatchSettings &Settings, Counters &Registry)
    : Totals_(inputTotals(Settings)),
      Traffic_(makeBudget("traffic", Totals_.TrafficBytes_)),
      Control_(makeBudget("control", Totals_.ControlBytes_)) {
  using RefusalCounters = EnumCounters<connection::InputRefusal,
                                       connection::InputRefusalNames.size()>;
  Count_ =
      [Refusals = RefusalCounters(Registry, "input_refused_total", "reason",
                                  connection::InputRefusalNames)](
          connection::InputRefusal Why) mutable { Refusals[Why].fetch_add(1); };
}

HttpLimits InputLimits::limits(const std::shared_ptr<InputBudget> &Budget,
                               std::uint64_t BodyBytes,
                               std::size_t Connections) const {
  HttpLimits Result;
  Result.BodyBytes_ = BodyBytes;
  Result.Connections_ = Connections;
  Result.Buffers_ = HttpBuffers;
  Result.Budget_ = Budget;
  Result.OnRefused_ = Count_;
  return Result;
}

HttpLimits InputLimits::callers() const {
  HttpLimits Result =
      limits(Traffic_, HttpLimits{}.BodyBytes_, Totals_.CallerConnections_);
  Result.IdleTimeout_ = CallerIdleTimeout;
  Result.Waiting_ = Totals_.WaitingRequests_;
  return Result;
}

HttpLimits InputLimits::readiness() const {
  return limits(Traffic_, SmallBodyBytes, SideConnections);
}

HttpLimits InputLimits::reports() const {
  return limits(Traffic_, ReportBodyBytes, SideConnections);
}

HttpLimits InputLimits::metrics() const {
  return limits(Control_, SmallBodyBytes, SideConnections);
}

HttpLimits InputLimits::entries() const {
  return limits(Control_, EntryBodyBytes, EntryConnections);
}

PeerLimits InputLimits::links() const {
  PeerLimits Result;
  Result.Connections_ = LinkConnections;
  Result.Buffers_ = LinkBuffers;
  Result.Budget_ = Traffic_;
  Result.OnRefused_ = Count_;
  return Result;
}

} // namespace wigeonwall::process::dispatch
