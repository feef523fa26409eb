#include "wigeonwall/process/roles/admin_api.h"

#include "wigeonwall/request/codec.h"
#include "wigeonwall/request/health.h"

namespace wigeonwall::process {

using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;

namespace {

HttpResponse textResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.ContentType_ = "text/plain; charset=utf-8";
  Response.Body_ = std::move(Body);
  return Response;
}

Json::Value describeMember(const Member &Source) {
  Json::Value Value;
  Value["id"] = Source.Id_;
  Value["role"] = std::string(request::findName(RoleNames, Source.Role_));
  Value["state"] =
      std::string(request::findName(MemberStateNames, Source.State_));
  Value["incarnation"] = Json::Int64(Source.Incarnation_);
  Value["control"] = Source.ControlAddress_;
  Value["traffic"] = Source.TrafficAddress_;
  Value["failure_domain"] = Source.FailureDomain_;
  Value["service"] = Source.Service_;
  return Value;
}

Json::Value encodeCounts(const std::map<std::string, std::int64_t> &Counts) {
  Json::Value Value(Json::objectValue);
  for (const auto &[Label, Count] : Counts)
    if (Count != 0)
      Value[Label] = Json::Int64(Count);
  return Value;
}

} // namespace

StatusCounters::StatusCounters(Counters &Metrics)
    : Metrics_(Metrics), JobsWaiting_(Metrics.counter("entry_jobs_waiting")),
      JobsInFlight_(Metrics.counter("jobs_in_flight")),
      TasksQueued_(Metrics.counter("tasks_queued")),
      TasksRunning_(Metrics.counter("tasks_running")),
      MinionHealth_(Metrics.counter("minion_health_state")) {}

Json::Value StatusCounters::describe() const {
  Json::Value Value;
  Value["entry_jobs_waiting"] = Json::Int64(JobsWaiting_.load());
  Value["jobs_in_flight"] = Json::Int64(JobsInFlight_.load());
  Value["tasks_queued"] = Json::Int64(TasksQueued_.load());
  Value["tasks_running"] = Json::Int64(TasksRunning_.load());
  return Value;
}

Json::Value StatusCounters::describeMinion() const {
  // Only agents, which have a minion gateway, register these counters.
  if (Metrics_.labelled("minion_calls_total").empty())
    return {};
  Json::Value Value;
  Value["state"] = std::string(request::findName(
      request::HealthStateNames,
      static_cast<request::HealthState>(MinionHealth_.load())));
  Value["ejections"] =
      encodeCounts(Metrics_.labelled("minion_ejections_total"));
  return Value;
}

Json::Value StatusCounters::describeEjected() const {
  Json::Value Value(Json::arrayValue);
  for (const auto &[Agent, Ejected] : Metrics_.labelled("minion_ejected"))
    if (Ejected != 0)
      Value.append(Agent);
  return Value;
}

Json::Value describeView(const ClusterView &View) {
  Json::Value Value;
  Value["ready"] = View.ready();
  Value["map_epoch"] = Json::UInt64(View.Map_ ? View.Map_->Epoch_ : 0);
  Value["config_version"] =
      Json::UInt64(View.Config_ ? View.Config_->Version_ : 0);
  Json::UInt64 Present = 0;
  if (View.Map_)
    for (const version::MapAgent &Agent : View.Map_->Agents_)
      Present += Agent.RemovedEpoch_ == 0 ? 1 : 0;
  Value["map_agents"] = Present;
  Json::Value Services(Json::arrayValue);
  if (View.Config_)
    for (const auto &Service : View.Config_->Services_)
      Services.append(Service.Name_);
  Value["services"] = std::move(Services);
  Json::Value Members(Json::arrayValue);
  for (const Member &Listed : View.Members_)
    Members.append(describeMember(Listed));
  Value["members"] = std::move(Members);
  return Value;
}

connection::HttpHandler makeAdminHandler(const ViewPublisher &Views,
                                         Counters &ProcessCounters,
                                         AdminHooks Hooks) {
  return [&Views, &ProcessCounters, Status = StatusCounters(ProcessCounters),
          Hooks = std::move(Hooks)](const HttpRequest &Request,
                                    const HttpRespond &Respond) {
    const std::string Route = Request.Method_ + " " + Request.Target_;
    if (Route == "GET /healthz")
      return Respond(textResponse(200, "ok\n"));
    if (Route == "GET /readyz")
      return Respond(Hooks.Ready_() ? textResponse(200, "ready\n")
                                    : textResponse(503, "not ready\n"));
    if (Route == "GET /metrics")
      return Respond(textResponse(200, ProcessCounters.exposition()));
    if (Route == "POST /drain") {
      Hooks.Drain_();
      return Respond(textResponse(202, "draining\n"));
    }
    if (Route != "GET /status")
      return Respond(textResponse(404, "no such resource\n"));
    HttpResponse Response;
    Json::Value Body = describeView(*Views.current());
    Body["load"] = Status.describe();
    Body["minion"] = Status.describeMinion();
    Body["ejected_minions"] = Status.describeEjected();
    Response.Body_ = request::writeJson(Body) + "\n";
    Respond(std::move(Response));
  };
}

} // namespace wigeonwall::process
