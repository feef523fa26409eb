#include "wigeonwall/process/roles/agent_role.h"

#include "wigeonwall/process/roles/role_context.h"
#include "wigeonwall/process/runtime/event_loop.h"

namespace wigeonwall::process {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};

MinionCall makeMinionCall(connection::asio::io_context &Traffic,
                          const AgentSettings &Options) {
  connection::HttpClientLimits Limits;
  Limits.ConnectionsPerPeer_ = Options.Connections_;
  return makeHttpMinionCall(
      std::make_shared<connection::HttpClient>(Traffic, Limits),
      Options.Minion_);
}

} // namespace

AgentRole::AgentRole(connection::asio::io_context &Traffic,
                     const Settings &Options, std::int64_t Incarnation,
                     ViewPublisher &Views, Counters &ProcessCounters,
                     const Tracer *JobTracer)
    : Context_(makeRoleContext(Traffic, Options, Incarnation, Views,
                               ProcessCounters, JobTracer)),
      Server_(Traffic, Options.TrafficListen_, trafficLimits(),
              makeMessageObserver(ProcessCounters)),
      Policy_(Options.Agent_, Context_.Now_,
              static_cast<std::uint64_t>(Incarnation)),
      Home_(Context_, Policy_),
      Gateway_(Context_, Options.Agent_, Policy_,
               makeMinionCall(Traffic, Options.Agent_)) {
  addMethods();
  tickEvery(Context_.After_, TickInterval, [this] {
    Home_.tick();
    Gateway_.tick();
  });
}

void AgentRole::addMethods() {
  const auto AddMethod = [this](const char *Name, auto &Component,
                                auto Method) {
    Server_.addMethod(Name, [&Component, Method](const Json::Value &Params) {
      return (Component.*Method)(Params);
    });
  };
  AddMethod("job.submit", Home_, &Home::submit);
  AddMethod("job.status", Home_, &Home::status);
  AddMethod("job.cancel", Home_, &Home::cancel);
  AddMethod("record.prepare", Home_, &Home::prepare);
  AddMethod("record.finish", Home_, &Home::finish);
  AddMethod("record.seal", Home_, &Home::seal);
  AddMethod("task.results", Home_, &Home::results);
  AddMethod("task.start", Gateway_, &MinionGateway::start);
  AddMethod("task.cancel", Gateway_, &MinionGateway::cancel);
}

bool AgentRole::listen() { return Server_.listen(); }

void AgentRole::onViewChange() {
  Policy_.onViewChange(*Context_.View_());
  Home_.onViewChange();
  Gateway_.onViewChange();
}

void AgentRole::beginLeaving() {
  Home_.beginLeaving();
  Gateway_.beginLeaving();
}

bool AgentRole::drained() const noexcept {
  return Home_.unfinished() == 0 && Gateway_.idle();
}

} // namespace wigeonwall::process
