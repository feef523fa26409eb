#include "standins/fake_entry.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <stdexcept>

namespace wigeonwall::standins {

using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;

namespace {

HttpResponse makeResponse(int Status, const std::string &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = Body;
  return Response;
}

HttpResponse completeAnswer(const request::JobSpec &Spec) {
  Json::Value Body;
  Body["service"] = Spec.Key_.Service_;
  Body["job_id"] = Spec.Key_.Id_;
  Body["outcome"] = "complete";
  for (Json::ArrayIndex I = 0; I < Spec.Tasks_.size(); ++I) {
    Json::Value &Result = Body["results"][I];
    Result["job"] = Spec.Key_.Id_;
    Result["task"] = I;
    Result["work_ms"] = Spec.Tasks_[I].Payload_["work_ms"];
  }
  return makeResponse(200, request::writeJson(Body));
}

std::chrono::milliseconds longestTask(const request::JobSpec &Spec) {
  Json::Int64 Longest = 0;
  for (const request::TaskSpec &Task : Spec.Tasks_)
    Longest = std::max(Longest, Task.Payload_.get("work_ms", 0).asInt64());
  return std::chrono::milliseconds(Longest);
}

} // namespace

FakeEntry::FakeEntry(Alter Change) : Change_(std::move(Change)) {
  Server_ = std::make_unique<connection::HttpServer>(
      Context_, connection::Endpoint{"127.0.0.1", 0}, connection::HttpLimits{},
      [this](HttpRequest Request, HttpRespond Respond) {
        handle(std::move(Request), std::move(Respond));
      });
  if (!Server_->listen())
    throw std::runtime_error("cannot listen on a loopback port");
  Thread_ = std::thread([this] { Context_.run(); });
}

FakeEntry::~FakeEntry() {
  Context_.stop();
  Thread_.join();
}

std::string FakeEntry::address() const {
  return "127.0.0.1:" + std::to_string(Server_->port());
}

void FakeEntry::handle(HttpRequest Request, HttpRespond Respond) {
  if (Request.Method_ == "POST")
    return submit(Request.Body_, std::move(Respond));
  if (Request.Method_ == "DELETE")
    return Respond(makeResponse(
        502, R"({"outcome":"failed","reason":"cancelled","detail":""})"));
  Respond(makeResponse(404, R"({"state":"unknown"})"));
}

void FakeEntry::submit(const std::string &Body, HttpRespond Respond) {
  ++Submissions_;
  request::CodecFault Why;
  const auto Value = request::parseJson(Body, Why);
  const auto Spec = Value ? request::decodeJobSpec(*Value, Why) : std::nullopt;
  if (!Spec)
    return Respond(makeResponse(400, R"({"error":"malformed","position":")" +
                                         Why.Position_ + "\"}"));
  HttpResponse Response = completeAnswer(*Spec);
  if (Change_)
    Change_(*Spec, Response);
  auto Timer = std::make_shared<connection::asio::steady_timer>(
      Context_, longestTask(*Spec));
  Timer->async_wait([Timer, Response, Respond](auto) { Respond(Response); });
}

} // namespace wigeonwall::standins
