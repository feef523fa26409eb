#include "wigeonwall/process/roles/process_host.h"

#include "role_threads.h"

#include "wigeonwall/connection/consul_store.h"
#include "wigeonwall/process/configuration/store_monitor.h"
#include "wigeonwall/process/observation/log.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/process/observation/trace.h"
#include "wigeonwall/process/roles/admin_api.h"
#include "wigeonwall/process/roles/control_plane.h"
#include "wigeonwall/process/roles/role_context.h"
#include "wigeonwall/process/runtime/event_loop.h"
#include "wigeonwall/version/config_codec.h"

#include <random>

namespace wigeonwall::process {

namespace asio = connection::asio;

namespace {

constexpr std::chrono::milliseconds DrainCheckInterval{50};
/// Delay before the first check for remaining work. It lets the load balancer
/// see that an entry is not ready, and homes see that an agent is leaving.
constexpr std::chrono::milliseconds FirstDrainCheckDelay{1'000};
/// Minimum time for which a stopping agent keeps answering whether it knows a
/// job. It exceeds the clock tolerance of `stopped_at_ms`: otherwise a restart
/// of both holders of a job within that tolerance would end new jobs as
/// outcome_unknown.
constexpr std::chrono::seconds MinAgentStopTime{6};
/// Limit of the planned stop of an entry, for which there is no setting.
constexpr std::chrono::milliseconds EntryDrainTimeout{30'000};

std::shared_ptr<const version::Config> decodeConfig(const Json::Value &Source) {
  std::vector<version::ConfigFault> Faults;
  auto Stored = version::decodeStoredConfig(Source, Faults);
  if (!Stored)
    return nullptr;
  return std::make_shared<const version::Config>(std::move(Stored->Config_));
}

} // namespace

class ProcessHost::Implementation {
public:
  explicit Implementation(Settings Options);
  ExitCode run();

private:
  [[nodiscard]] ControlPlaneDependencies controlDependencies();
  [[nodiscard]] ControlPlaneOptions controlOptions() const;
  void beginStop(const char *Cause);
  void checkDrained();
  void finishStop(ExitCode Code);

  Settings Options_;
  std::int64_t Incarnation_;
  asio::io_context Control_{1};
  ViewPublisher Views_;
  Counters Counters_;
  /// Both null if tracing is off.
  std::unique_ptr<SpanFile> SpanFile_;
  std::unique_ptr<Tracer> Tracer_;
  std::unique_ptr<detail::RoleThreads> Threads_;
  connection::ConsulStore Store_;
  StoreMonitor MonitoredStore_;
  ViewMetrics ViewMetrics_;
  ControlPlane ControlPlane_;
  connection::HttpServer Admin_;
  asio::signal_set Signals_;
  Schedule After_;
  request::TimePoint StopStartedAt_;
  request::TimePoint StopDeadline_;
  bool Stopping_ = false;
  ExitCode ExitCode_ = ExitCode::Done;
};

ProcessHost::Implementation::Implementation(Settings Options)
    : Options_(std::move(Options)), Incarnation_(systemClock()()),
      SpanFile_(
          Options_.TraceFile_.empty()
              ? nullptr
              : std::make_unique<SpanFile>(Options_.TraceFile_, Counters_)),
      Tracer_(SpanFile_ ? std::make_unique<Tracer>(*SpanFile_, Options_.Id_)
                        : nullptr),
      Threads_(detail::makeRoleThreads(
          Options_, {Incarnation_, Views_, Counters_, Tracer_.get(),
                     [this](std::function<void()> Task) {
                       asio::post(Control_, std::move(Task));
                     }})),
      Store_(Control_, Options_.Store_, {},
             [&Calls = Counters_.counter("store_calls_total")] {
               Calls.fetch_add(1);
             }),
      MonitoredStore_(Store_, Counters_), ViewMetrics_(Counters_),
      ControlPlane_(controlDependencies(), controlOptions()),
      Admin_(Control_, Options_.AdminListen_, {},
             makeAdminHandler(
                 Views_, Counters_,
                 {[this] { return !Stopping_ && Views_.current()->ready(); },
                  [this] { beginStop("request"); }})),
      Signals_(Control_, SIGINT, SIGTERM), After_(makeSchedule(Control_)) {
  Views_.observe([this](const std::shared_ptr<const ClusterView> &View) {
    ViewMetrics_.update(*View);
    Threads_->onViewChange();
  });
}

ControlPlaneDependencies ProcessHost::Implementation::controlDependencies() {
  return {Control_,
          MonitoredStore_,
          Views_,
          steadyClock(),
          systemClock(),
          std::random_device{}(),
          decodeConfig,
          makeMessageObserver(Counters_),
          [this] { beginStop("newer_incarnation"); },
          [](const std::string &Line) {
            logEvent("control", "state_changed", {{"detail", Line}});
          }};
}

ControlPlaneOptions ProcessHost::Implementation::controlOptions() const {
  ControlPlaneOptions Result;
  Result.Own_.Id_ = Options_.Id_;
  Result.Own_.Role_ = Options_.Role_;
  Result.Own_.Incarnation_ = Incarnation_;
  Result.Listen_ = Options_.ControlListen_;
  Result.Own_.ControlAddress_ =
      connection::formatEndpoint(Options_.controlAddress());
  Result.Own_.TrafficAddress_ =
      connection::formatEndpoint(Options_.trafficAddress());
  Result.Own_.FailureDomain_ = Options_.FailureDomain_;
  Result.Own_.Service_ = Options_.Agent_.Service_;
  for (const connection::Endpoint &Seed : Options_.Seeds_)
    Result.Seeds_.push_back(connection::formatEndpoint(Seed));
  return Result;
}

ExitCode ProcessHost::Implementation::run() {
  if (SpanFile_ && !SpanFile_->opened()) {
    logEvent("process", "start_failed",
             {{"cause", "cannot write trace_file " + Options_.TraceFile_}},
             LogLevel::Error);
    return ExitCode::Failed;
  }
  if (!Threads_->start() || !Admin_.listen() || !ControlPlane_.start()) {
    logEvent("process", "start_failed",
             {{"cause", "a listen address is in use or invalid"}},
             LogLevel::Error);
    Threads_->stop();
    return ExitCode::Failed;
  }
  logEvent("process", "started",
           {{"role", request::findName(RoleNames, Options_.Role_)},
            {"incarnation", Incarnation_}});
  Signals_.async_wait([this](auto Error, int) {
    if (!Error)
      beginStop("signal");
  });
  runHandlers(Control_, logHandlerError);
  Threads_->stop();
  return ExitCode_;
}

void ProcessHost::Implementation::beginStop(const char *Cause) {
  if (Stopping_)
    return;
  Stopping_ = true;
  logEvent("process", "stop_began", {{"cause", Cause}});
  StopStartedAt_ = steadyClock()();
  Threads_->beginLeaving([this] { ControlPlane_.beginLeaving(); });
  StopDeadline_ = StopStartedAt_ + (Options_.Role_ == Role::Agent
                                        ? Options_.Agent_.DrainTimeout_
                                        : EntryDrainTimeout);
  After_(FirstDrainCheckDelay, [this] { checkDrained(); });
}

void ProcessHost::Implementation::checkDrained() {
  Threads_->checkDrained([this](bool Drained) {
    const request::TimePoint Now = steadyClock()();
    const bool MinStopTimeReached = Options_.Role_ == Role::Entry ||
                                    Now - StopStartedAt_ >= MinAgentStopTime;
    if (Drained && MinStopTimeReached)
      return finishStop(ExitCode::Done);
    if (Now >= StopDeadline_)
      return finishStop(Drained ? ExitCode::Done : ExitCode::Failed);
    After_(DrainCheckInterval, [this] { checkDrained(); });
  });
}

void ProcessHost::Implementation::finishStop(ExitCode Code) {
  ExitCode_ = Code;
  logEvent("process", "stopped",
           {{"drained", Code == ExitCode::Done ? "yes" : "no"}});
  ControlPlane_.leave([this] {
    ControlPlane_.stop();
    Control_.stop();
  });
}

ProcessHost::ProcessHost(Settings Options)
    : Implementation_(std::make_unique<Implementation>(std::move(Options))) {}

ProcessHost::~ProcessHost() = default;

ExitCode ProcessHost::run() { return Implementation_->run(); }

} // namespace wigeonwall::process
