#include "standins/minion_server.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::standins {

namespace asio = connection::asio;
using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;

namespace {

HttpResponse respond(int Status, const Json::Value &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = request::writeJson(Body);
  return Response;
}

connection::HttpLimits limits() {
  connection::HttpLimits Limits;
  Limits.BodyBytes_ = 16ULL * 1024 * 1024;
  return Limits;
}

} // namespace

MinionServer::MinionServer(asio::io_context &Context,
                           connection::Endpoint Address, std::ostream *StartLog)
    : Context_(Context), StartLog_(StartLog),
      Http_(Context, std::move(Address), limits(),
            [this](const HttpRequest &Request, const HttpRespond &Respond) {
              handle(Request, Respond);
            }) {}

void MinionServer::handle(const HttpRequest &Request,
                          const HttpRespond &Respond) {
  const std::string Call = Request.Method_ + " " + Request.Target_;
  if (Call == "POST /run")
    return run(Request, Respond);
  if (Call == "PUT /standin/faults") {
    readFaults(Request.Body_);
    return Respond(respond(200, Json::objectValue));
  }
  if (Call != "GET /starts")
    return Respond(respond(404, Json::objectValue));
  Json::Value Body(Json::objectValue);
  for (const auto &[Task, Count] : Starts_)
    Body[Task] = Count;
  Respond(respond(200, Body));
}

void MinionServer::run(const HttpRequest &Request, const HttpRespond &Respond) {
  if (Faults_.RefuseAll_) {
    HttpResponse Response = respond(503, Json::objectValue);
    Response.Headers_.emplace_back("X-Not-Started", "1");
    return Respond(std::move(Response));
  }
  request::CodecFault Fault;
  const auto Body = request::parseJson(Request.Body_, Fault);
  if (!Body)
    return Respond(respond(400, Fault.Message_));
  const std::string Service = (*Body)["service"].asString();
  const std::string Job = (*Body)["job_id"].asString();
  const std::string Task = (*Body)["task"].asString();
  ++Starts_[Service + "/" + Job + "/" + Task];
  if (StartLog_ != nullptr)
    *StartLog_ << Service << ' ' << Job << ' ' << Task << '\n' << std::flush;
  if (Faults_.FailAll_)
    return Respond(respond(500, "failed as told"));
  Json::Value Result;
  Result["job"] = Job;
  Result["task"] = (*Body)["task"];
  Result["work_ms"] = (*Body)["payload"]["work_ms"];
  const auto Work = std::chrono::microseconds(static_cast<std::int64_t>(
      Result["work_ms"].asDouble() * 1000 * Faults_.Slowness_));
  if (Work.count() == 0)
    return Respond(respond(200, Result));
  Peak_ = std::max(Peak_, ++Running_);
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Work);
  Timer->async_wait([this, Timer, Respond, Result](auto) {
    --Running_;
    Respond(respond(200, Result));
  });
}

void MinionServer::readFaults(const std::string &Body) {
  request::CodecFault Fault;
  const auto Value = request::parseJson(Body, Fault);
  if (!Value || !Value->isObject())
    return;
  Faults_.FailAll_ = Value->get("fail_all", false).asBool();
  Faults_.Slowness_ = Value->get("slowness", 1.0).asDouble();
  Faults_.RefuseAll_ = Value->get("refuse_all", false).asBool();
}

} // namespace wigeonwall::standins
