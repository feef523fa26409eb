#include "standins/platform_minion_server.h"

#include "platform/minion_client.h"
#include "wigeonwall/process/runtime/event_loop.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::standins {

using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;
using process::dispatch::HoldCall;
using process::dispatch::HoldReply;
using process::dispatch::StartCall;
using request::RunEnd;
using request::StartReply;
using namespace std::chrono_literals;

namespace {

constexpr auto AdvanceInterval = 2ms;
constexpr auto ReportInterval = 300ms;
constexpr auto ReportTimeout = 1s;

HttpResponse makeResponse(int Status, const Json::Value &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = request::writeJson(Body);
  return Response;
}

const char *encodeRunEnd(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  default:
    return "failed";
  }
}

const char *encodeRefusal(StartReply Reply) {
  switch (Reply) {
  case StartReply::Fenced:
    return "fence";
  case StartReply::OldNumber:
    return "old";
  default:
    return "late";
  }
}

} // namespace

PlatformMinionServer::PlatformMinionServer(
    connection::asio::io_context &Context, connection::Endpoint Address,
    connection::Endpoint Advertised, connection::Endpoint Agent)
    : Context_(Context), Advertised_(std::move(Advertised)),
      Agent_(std::move(Agent)),
      Calls_(Minion_.calls(std::make_shared<bool>(true))),
      Server_(Context, std::move(Address), {},
              [this](const HttpRequest &Request, const HttpRespond &Respond) {
                handle(Request, Respond);
              }),
      Client_(Context, {}), LastAdvanceAt_(std::chrono::steady_clock::now()) {}

bool PlatformMinionServer::listen() {
  if (!Server_.listen())
    return false;
  const auto After = process::makeSchedule(Context_);
  process::tickEvery(After, AdvanceInterval, [this] { advance(); });
  process::tickEvery(After, ReportInterval, [this] { sendReport(); });
  return true;
}

void PlatformMinionServer::advance() {
  const auto Now = std::chrono::steady_clock::now();
  Time_.advance(Now - std::exchange(LastAdvanceAt_, Now));
  Minion_.update();
}

void PlatformMinionServer::sendReport() {
  const request::MinionReport Report = Minion_.report();
  Json::Value Body(Json::objectValue);
  Body["service"] = Report.Service_;
  Body["address"] = connection::formatEndpoint(Advertised_);
  Body["state"] = "ready";
  Body["capacity"]["cpu"] = Json::Int64(Report.Capacity_.CpuMillicores_);
  Body["capacity"]["ram_mb"] = Json::Int64(Report.Capacity_.MemoryMb_);
  Body["labels"] = Json::Value(Json::arrayValue);
  Body["clock_ms"] = Json::Int64(Report.ClockMs_);
  Body["sequence"] = Json::Int64(Report.Sequence_);
  Body["born"] = Json::Int64(Report.Incarnation_.StartedAtMs_);
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/api/instances/" + Report.Incarnation_.Id_;
  Request.Body_ = request::writeJson(Body);
  Client_.send(Agent_, std::move(Request), ReportTimeout, [](const auto &) {});
}

void PlatformMinionServer::handle(const HttpRequest &Request,
                                  const HttpRespond &Respond) {
  BeforeCall_();
  if (connection::findHeader(Request.Headers_,
                             "wigeonwall-expected-instance") !=
      Minion_.incarnation().Id_)
    return Respond(makeResponse(421, Json::Value(Json::objectValue)));
  request::CodecFault SyntaxFault;
  const auto Body = request::parseJson(Request.Body_, SyntaxFault);
  if (!Body)
    return Respond(makeResponse(400, Json::Value(Json::objectValue)));
  if (Request.Target_ == "/api/run-start")
    return handleStart(*Body, Respond);
  if (Request.Target_ == "/api/hold")
    return handleHold(*Body, Respond);
  Calls_.Stop_(Minion_.report(),
               {platform::decodeTaskName((*Body)["task"].asString()),
                (*Body)["run"].asInt64()},
               (*Body)["fencing_token"].asInt64(), [Respond](bool Done) {
                 if (Done)
                   Respond(makeResponse(200, Json::Value(Json::objectValue)));
               });
}

void PlatformMinionServer::handleStart(const Json::Value &Body,
                                       const HttpRespond &Respond) {
  StartCall Call;
  Call.Key_ = {platform::decodeTaskName(Body["task"].asString()),
               Body["run"].asInt64()};
  Call.LeaseEndMs_ = Body["deadline_ms"].asInt64();
  Call.FencingToken_ = Body["fencing_token"].asInt64();
  Calls_.Start_(Minion_.report(), Call,
                [Respond](StartReply Reply, const std::string &) {
                  Json::Value Answer(Json::objectValue);
                  if (Reply == StartReply::Started)
                    return Respond(makeResponse(200, Answer));
                  if (Reply == StartReply::Unknown)
                    return;
                  Answer["reason"] = encodeRefusal(Reply);
                  Respond(makeResponse(409, Answer));
                });
}

void PlatformMinionServer::handleHold(const Json::Value &Body,
                                      const HttpRespond &Respond) {
  HoldCall Call;
  if (Body.isMember("deadline_ms"))
    Call.LeaseEndMs_ = Body["deadline_ms"].asInt64();
  Call.FencingToken_ = Body["fencing_token"].asInt64();
  Call.Observed_ = Body["observed"].asInt64();
  Call.Wait_ = std::chrono::milliseconds(Body["wait_ms"].asInt64());
  const std::int64_t Born = Minion_.incarnation().StartedAtMs_;
  Calls_.Hold_(Minion_.report(), Call, [Respond, Born](const HoldReply &Reply) {
    Json::Value Answer(Json::objectValue);
    if (Reply.Fenced_) {
      Answer["reason"] = "fence";
      return Respond(makeResponse(409, Answer));
    }
    if (!Reply.Listing_)
      return;
    Answer["born"] = Json::Int64(Born);
    Answer["clock_ms"] = Json::Int64(Reply.Listing_->MinionClockMs_);
    Answer["running"] = Json::Value(Json::arrayValue);
    for (const request::RunningRow &Each : Reply.Listing_->Running_) {
      Json::Value Row(Json::arrayValue);
      Row.append(platform::encodeTaskName(Each.Key_.Task_));
      Row.append(Json::Int64(Each.Key_.Number_));
      Row.append("");
      Row.append(Each.Percent_);
      Answer["running"].append(std::move(Row));
    }
    Answer["finished"] = Json::Value(Json::arrayValue);
    for (const request::EndedRow &Each : Reply.Listing_->Ended_) {
      Json::Value Row(Json::arrayValue);
      Row.append(Json::Int64(Each.Position_));
      Row.append(platform::encodeTaskName(Each.Key_.Task_));
      Row.append(Json::Int64(Each.Key_.Number_));
      Row.append(encodeRunEnd(Each.End_));
      Row.append("");
      Answer["finished"].append(std::move(Row));
    }
    Respond(makeResponse(200, Answer));
  });
}

} // namespace wigeonwall::standins
