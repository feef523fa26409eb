#include "wigeonwall/process/service_agents.h"

#include "wigeonwall/process/event_loop.h"

#include <algorithm>

namespace wigeonwall::process {

namespace {

constexpr std::uint64_t TrafficBodyBytes = 64ULL * 1024 * 1024;

/// Tasks that this home has placed at each agent, and the agent's last report.
struct AgentTable {
  struct Entry {
    std::uint32_t OwnTasks_ = 0;
    request::AgentLoad Reported_;
  };
  std::map<std::string, Entry> Agents_;
};

} // namespace

PlacementHooks makePlacement(PlacementPolicy, AgentContext Context) {
  auto Table = std::make_shared<AgentTable>();
  PlacementHooks Hooks;
  Hooks.Choose_ =
      [Table, View = Context.View_](
          const std::string &Service,
          const std::set<std::string> &Excluded) -> std::optional<Member> {
    const auto Current = View();
    const Member *Best = nullptr;
    std::uint32_t BestTasks = 0;
    for (const Member &Each : Current->Members_) {
      if (Each.Role_ != Role::Agent || Each.Service_ != Service ||
          Each.State_ != MemberState::Alive || Excluded.count(Each.Id_) != 0)
        continue;
      const std::uint32_t Tasks = Table->Agents_[Each.Id_].OwnTasks_;
      if (Best != nullptr && BestTasks <= Tasks)
        continue;
      Best = &Each;
      BestTasks = Tasks;
    }
    if (Best == nullptr)
      return std::nullopt;
    ++Table->Agents_[Best->Id_].OwnTasks_;
    return *Best;
  };
  Hooks.Release_ = [Table](const std::string &Agent) {
    --Table->Agents_[Agent].OwnTasks_;
  };
  Hooks.Report_ = [Table](const std::string &Agent,
                          const request::AgentLoad &Load) {
    Table->Agents_[Agent].Reported_ = Load;
  };
  return Hooks;
}

AdmissionHooks makeAdmission(AdmissionPolicy, AgentContext) {
  return {[](const request::JobSpec &) { return request::Reason::None; },
          [](const request::JobSpec &) {}};
}

connection::HttpLimits trafficLimits() {
  connection::HttpLimits Limits;
  Limits.BodyBytes_ = TrafficBodyBytes;
  return Limits;
}

AgentContext makeRoleContext(connection::asio::io_context &Traffic,
                             const Settings &Options, std::int64_t Incarnation,
                             ViewPublisher &Views, Counters &ProcessCounters) {
  const auto Observer = makeMessageObserver(ProcessCounters);
  auto Client = std::make_shared<connection::RpcClient>(
      Traffic, connection::HttpClientLimits{}, Observer);
  return {{Options.Id_, Incarnation,
           connection::formatEndpoint(Options.TrafficListen_)},
          steadyClock(),
          systemClock(),
          makeSchedule(Traffic),
          makePeerCall(Traffic, std::move(Client)),
          [&Views] { return Views.current(); },
          ProcessCounters};
}

connection::RpcObserver makeMessageObserver(Counters &ProcessCounters) {
  return [&ProcessCounters](const std::string &Method, std::size_t Bytes,
                            bool Outgoing) {
    const std::string Name =
        Outgoing ? "messages_sent_total" : "messages_received_total";
    ProcessCounters.counter(Name, "method", Method).fetch_add(1);
    ProcessCounters
        .counter(Outgoing ? "message_bytes_sent_total"
                          : "message_bytes_received_total",
                 "method", Method)
        .fetch_add(static_cast<std::int64_t>(Bytes));
  };
}

} // namespace wigeonwall::process
