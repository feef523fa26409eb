#include "wigeonwall/process/roles/role_context.h"

#include "wigeonwall/process/runtime/event_loop.h"

#include <array>
#include <unordered_map>

namespace wigeonwall::process {

namespace {

constexpr std::uint64_t MaxTrafficBodyBytes = 64ULL * 1024 * 1024;
constexpr const char *OtherMethods = "other";
constexpr std::array Methods{
    "job.submit",      "job.finished",      "job.status",
    "job.cancel",      "record.prepare",    "record.finish",
    "record.seal",     "task.start",        "task.results",
    "task.cancel",     "membership.probe",  "membership.probeVia",
    "membership.join", "document.announce", "document.fetch",
    OtherMethods};

/// Index 0 counts received messages, index 1 sent ones.
struct MethodCounters {
  std::array<Counters::Value *, 2> Messages_;
  std::array<Counters::Value *, 2> Bytes_;
};
using MessageCounters = std::unordered_map<std::string, MethodCounters>;

MessageCounters makeMessageCounters(Counters &Metrics) {
  MessageCounters Result;
  for (const char *Method : Methods)
    Result[Method] = {
        {&Metrics.counter("messages_received_total", "method", Method),
         &Metrics.counter("messages_sent_total", "method", Method)},
        {&Metrics.counter("message_bytes_received_total", "method", Method),
         &Metrics.counter("message_bytes_sent_total", "method", Method)}};
  return Result;
}

} // namespace

connection::HttpLimits trafficLimits() {
  connection::HttpLimits Limits;
  Limits.BodyBytes_ = MaxTrafficBodyBytes;
  return Limits;
}

AgentContext makeRoleContext(connection::asio::io_context &Traffic,
                             const Settings &Options, std::int64_t Incarnation,
                             ViewPublisher &Views, Counters &ProcessCounters,
                             const Tracer *JobTracer) {
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
          JobTracer};
}

connection::RpcObserver makeMessageObserver(Counters &ProcessCounters) {
  auto ByMethod = std::make_shared<const MessageCounters>(
      makeMessageCounters(ProcessCounters));
  return [ByMethod = std::move(ByMethod)](const std::string &Method,
                                          std::size_t Bytes, bool Outgoing) {
    const auto Found = ByMethod->find(Method);
    const auto &Selected =
        Found == ByMethod->end() ? ByMethod->at(OtherMethods) : Found->second;
    Selected.Messages_[Outgoing ? 1 : 0]->fetch_add(1);
    Selected.Bytes_[Outgoing ? 1 : 0]->fetch_add(
        static_cast<std::int64_t>(Bytes));
  };
}

} // namespace wigeonwall::process
