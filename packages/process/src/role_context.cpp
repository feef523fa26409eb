#include "wigeonwall/process/role_context.h"

#include "wigeonwall/process/event_loop.h"

namespace wigeonwall::process {

namespace {

constexpr std::uint64_t TrafficBodyBytes = 64ULL * 1024 * 1024;

} // namespace

connection::HttpLimits trafficLimits() {
  connection::HttpLimits Limits;
  Limits.BodyBytes_ = TrafficBodyBytes;
  return Limits;
}

AgentContext makeRoleContext(connection::asio::io_context &Traffic,
                             const Settings &Options, std::int64_t Incarnation,
                             ViewPublisher &Views, Counters &ProcessCounters,
                             const Trace *Spans) {
  const auto Observer = makeMessageObserver(ProcessCounters);
  auto Client = std::make_shared<connection::RpcClient>(
      Traffic, connection::HttpClientLimits{}, Observer);
  return {{Options.Id_, Incarnation,
           connection::formatEndpoint(Options.trafficAddress())},
          steadyClock(),
          systemClock(),
          makeSchedule(Traffic),
          makePeerCall(Traffic, std::move(Client)),
          [&Views] { return Views.current(); },
          ProcessCounters,
          Spans};
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
