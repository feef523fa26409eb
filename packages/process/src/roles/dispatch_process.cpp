#include "wigeonwall/process/roles/dispatch_process.h"

#include "wigeonwall/process/dispatch/evacuation_monitor.h"
#include "wigeonwall/process/observation/log.h"

namespace wigeonwall::process {

namespace {

constexpr std::chrono::milliseconds DrainCheckInterval{50};
/// Part of the grace period reserved for the exit itself.
constexpr std::chrono::milliseconds ExitMargin{500};
/// Part of ExitMargin in which the withdrawal from the store may complete after
/// the drain deadline.
constexpr std::chrono::milliseconds WithdrawalTime{200};

connection::HttpResponse serveMetrics(const connection::HttpRequest &Request,
                                      const Counters &Metrics) {
  connection::HttpResponse Response;
  Response.ContentType_ = "text/plain";
  if (Request.Method_ == "GET" && Request.Target_ == "/metrics")
    Response.Body_ = Metrics.exposition();
  else
    Response.Status_ = 404;
  return Response;
}

} // namespace

DispatchProcess::DispatchProcess(dispatch::DispatchSettings Options,
                                 std::string SettingsFile,
                                 const MakeLeaseStore &MakeStore)
    : Options_(std::move(Options)), InputLimits_(Options_, Counters_),
      SettingsFile_(std::move(SettingsFile)),
      Signals_(Control_, SIGINT, SIGTERM, SIGHUP),
      Metrics_(Control_, Options_.MetricsListen_, InputLimits_.metrics(),
               [this](const connection::HttpRequest &Request,
                      const connection::HttpRespond &Respond) {
                 Respond(serveMetrics(Request, Counters_));
               }),
      Store_(MakeStore(Control_)) {}

ExitCode DispatchProcess::run() {
  if (!start()) {
    logEvent("process", "start_failed",
             {{"cause", "a listen address is in use or invalid"}},
             LogLevel::Error);
    return ExitCode::Failed;
  }
  // The process can serve callers without its metrics port.
  if (!Metrics_.listen())
    logEvent("process", "metrics_unavailable",
             {{"address", connection::formatEndpoint(Options_.MetricsListen_)}},
             LogLevel::Warning);
  logEvent("process", "started",
           {{"role", request::findName(RoleNames, Options_.Role_)},
            {"store", connection::formatEndpoint(Options_.Store_)}});
  awaitSignal();
  Traffic_.start();
  runHandlers(Control_, logHandlerError);
  Traffic_.stop();
  logEvent("process", "stopped",
           {{"drained", ExitCode_ == ExitCode::Done ? "yes" : "no"}});
  return ExitCode_;
}

void DispatchProcess::registerSelf(const std::string &KeyPrefix) {
  dispatch::RegistrationOptions Options;
  Options.Key_ = KeyPrefix + Options_.Id_;
  Options.Value_ = connection::formatEndpoint(Options_.PeersAdvertised_);
  dispatch::Registration::Hooks Hooks;
  Hooks.After_ = makeSchedule(Control_);
  Hooks.Log_ = [](const auto &Event, const auto &Detail) {
    logDecision("store", Event, "", Detail);
  };
  Registration_ = std::make_shared<dispatch::Registration>(
      *Store_, std::move(Options), std::move(Hooks));
  Registration_->start();
}

void DispatchProcess::withdrawSelf() {
  connection::asio::post(Control_, [this] { beginWithdrawal(); });
}

void DispatchProcess::beginWithdrawal() {
  if (Withdrawing_)
    return;
  Withdrawing_ = true;
  Registration_->withdraw([this] { Withdrawn_ = true; });
}

std::shared_ptr<dispatch::PrefixFollower> DispatchProcess::follow(
    const dispatch::PrefixFollowerOptions &Options,
    std::function<void(const dispatch::PrefixFollower::Values &, std::uint64_t)>
        Apply,
    std::function<void(bool Lost)> OnStore) {
  dispatch::PrefixFollower::Hooks Hooks;
  Hooks.After_ = makeSchedule(Control_);
  Hooks.OnValuesChanged_ = std::move(Apply);
  Hooks.OnStoreStateChanged_ = [Prefix = Options.Prefix_,
                                OnStore](const std::string &Cause) {
    OnStore(!Cause.empty());
    logDecision("store", Cause.empty() ? "store_regained" : "store_lost",
                Prefix, Cause.empty() ? "" : "detail=\"" + Cause + "\"");
  };
  Hooks.OnUnreadableItems_ = [Prefix = Options.Prefix_](std::size_t Count) {
    logDecision("store", "items_ignored", Prefix,
                "count=" + std::to_string(Count) + " detail=\"no key\"");
  };
  Followers_.push_back(std::make_shared<dispatch::PrefixFollower>(
      *Store_, Options, std::move(Hooks)));
  Followers_.back()->start();
  return Followers_.back();
}

std::chrono::milliseconds DispatchProcess::evacuationWatchWait() const {
  return std::min(dispatch::evacuationWatchWait(Options_.EvacuationBound_),
                  dispatch::watchWait(Options_.Contact_));
}

void DispatchProcess::awaitSignal() {
  Signals_.async_wait([this](auto Error, int Signal) {
    if (Error)
      return;
    awaitSignal();
    if (Signal == SIGHUP)
      checkSettingsFile();
    else
      stop(Signal);
  });
}

void DispatchProcess::checkSettingsFile() {
  SettingsFault Fault;
  const auto Reloaded = dispatch::loadDispatchSettings(SettingsFile_, Fault);
  // Addresses and names are fixed while the process runs; changes to them take
  // effect at the next start.
  logEvent("process", "settings_checked",
           {{"outcome", Reloaded ? "ok" : "refused"},
            {"cause", Reloaded ? "" : describe(Fault)}});
}

std::chrono::milliseconds DispatchProcess::drainTimeout() const {
  return std::max(Options_.GracePeriod_ - ExitMargin,
                  Options_.GracePeriod_ / 2);
}

void DispatchProcess::stop(int Signal) {
  if (Stopping_)
    return;
  Stopping_ = true;
  logEvent("process", "stop_began", {{"signal", Signal}});
  StopDeadline_ = steadyClock()() + drainTimeout();
  postToTraffic([this] { beginStop(); });
  checkDrained();
}

void DispatchProcess::checkDrained() {
  postToTraffic([this] {
    const bool Drained = drained();
    connection::asio::post(Control_, [this, Drained] {
      const request::TimePoint Now = steadyClock()();
      // The other processes find this one through its key, which has to exist
      // as long as there is work.
      if (Drained || Now >= StopDeadline_)
        beginWithdrawal();
      if ((Withdrawn_ && (Drained || Now >= StopDeadline_)) ||
          Now >= StopDeadline_ + WithdrawalTime) {
        ExitCode_ = Drained ? ExitCode::Done : ExitCode::Failed;
        return Control_.stop();
      }
      makeSchedule(Control_)(DrainCheckInterval, [this] { checkDrained(); });
    });
  });
}

} // namespace wigeonwall::process
