/// \file
/// \brief CallerApi and Entry behind an HttpServer on loopback, with a function
/// that simulates the homes.
#ifndef WIGEONWALL_STANDINS_CALLER_FIXTURE_H
#define WIGEONWALL_STANDINS_CALLER_FIXTURE_H

#include "wigeonwall/process/jobs/caller_api.h"
#include "wigeonwall/process/runtime/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::standins {

using namespace std::chrono_literals;
using connection::RpcResult;
using connection::TransportError;

inline constexpr const char *Service = "permit-desk";
inline constexpr std::size_t MaxJobs = 101;

inline Json::Value json(const std::string &Text) {
  request::CodecFault Why;
  return request::parseJson(Text, Why).value_or(Json::Value());
}

inline std::int64_t nowMs() { return process::systemClock()(); }

/// \brief A valid submission.
inline Json::Value job(const std::string &Id, const std::string &In = Service) {
  Json::Value Value = json(R"({"kind": "setback-check", "team": "crews",
      "timeout_ms": 30000, "tasks": [{"payload": {"parcel": "A-17"}}]})");
  Value["service"] = In;
  Value["job_id"] = Id;
  Value["created_at_ms"] = Json::Int64(nowMs());
  return Value;
}

/// \brief One agent "a0" of the service.
inline std::shared_ptr<const process::ClusterView> makeView() {
  version::MapAgent Agent;
  Agent.Id_ = "a0";
  Agent.Incarnation_ = 1;
  Agent.TrafficAddress_ = "home";
  Agent.FailureDomain_ = "d0";
  Agent.Service_ = Service;
  version::MapChange Joins;
  Joins.Joins_ = {Agent};
  auto Config = std::make_shared<version::Config>();
  Config->Version_ = 1;
  Config->Services_ = {{Service, {}}};
  auto View = std::make_shared<process::ClusterView>();
  View->Map_ = std::make_shared<const version::AgentMap>(
      *version::applyChange({}, Joins, 1, 600'000));
  View->Config_ = std::move(Config);
  return View;
}

/// \brief Reply as a caller receives it.
struct Reply {
  int Status_ = 0;
  Json::Value Body_;
  std::string Allow_;
};

inline RpcResult replies(const std::string &Text) {
  RpcResult Result;
  Result.Value_ = json(Text);
  return Result;
}

inline RpcResult fails(TransportError Error) {
  RpcResult Result;
  Result.Error_ = Error;
  return Result;
}

inline const char *const Pending = R"({"state": "pending"})";
inline const char *const Complete =
    R"({"state": "final", "answer": {"outcome": "complete", "results": [1]}})";

/// \brief Sends requests and runs the event loop shared by client and server.
struct CallerFixture {
  CallerFixture()
      : Jobs_(context(), MaxJobs), Api_(context(), Jobs_),
        Server_(Context_, {"127.0.0.1", 0}, {},
                [this](connection::HttpRequest Request,
                       const connection::HttpRespond &Respond) {
                  Api_.handle(std::move(Request), Respond);
                }),
        Client_(Context_, {}) {
    BOOST_REQUIRE(Server_.listen());
    process::tickEvery(process::makeSchedule(Context_), 20ms,
                       [this] { Jobs_.tick(); });
  }

  process::AgentContext context() {
    return {{"e0", 1, "entry"},
            process::steadyClock(),
            process::systemClock(),
            process::makeSchedule(Context_),
            [this](const std::string &, const std::string &Method,
                   const Json::Value &Params, std::chrono::milliseconds,
                   connection::RpcCallback Done) {
              ++Calls_[Method];
              connection::asio::post(
                  Context_, [Done = std::move(Done),
                             Result = Home_(Method, Params)] { Done(Result); });
            },
            [this] { return View_; },
            Counters_};
  }

  std::shared_ptr<std::optional<Reply>> begin(const std::string &Method,
                                              const std::string &Target,
                                              const std::string &Body = "") {
    auto Slot = std::make_shared<std::optional<Reply>>();
    Client_.send({"127.0.0.1", Server_.port()}, {Method, Target, {}, Body}, 10s,
                 [Slot](const connection::HttpResult &Result) {
                   const auto &Response = Result.Response_;
                   BOOST_TEST((Result.Error_ == TransportError::None));
                   *Slot = Reply{
                       Response.Status_, json(Response.Body_),
                       connection::findHeader(Response.Headers_, "allow")};
                 });
    return Slot;
  }
  Reply end(const std::shared_ptr<std::optional<Reply>> &Slot) {
    BOOST_REQUIRE(until([&] { return Slot->has_value(); }));
    return **Slot;
  }
  Reply send(const std::string &Method, const std::string &Target,
             const std::string &Body = "") {
    return end(begin(Method, Target, Body));
  }
  Reply submit(const Json::Value &Job, const std::string &Query = "") {
    return send("POST", "/v1/jobs" + Query, request::writeJson(Job));
  }

  bool until(const std::function<bool()> &Holds) {
    const auto End = std::chrono::steady_clock::now() + 10s;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Context_.run_one_for(10ms);
    return Holds();
  }
  void finish(const std::string &Id) {
    Json::Value Params = json(Complete);
    Params["service"] = Service;
    Params["job_id"] = Id;
    BOOST_TEST(Jobs_.finished(Params).isObject());
  }

  connection::asio::io_context Context_{1};
  process::Counters Counters_;
  std::shared_ptr<const process::ClusterView> View_ = makeView();
  std::map<std::string, unsigned> Calls_;
  std::function<RpcResult(const std::string &, const Json::Value &)> Home_ =
      [](const std::string &, const Json::Value &) { return replies(Pending); };
  process::Entry Jobs_;
  process::CallerApi Api_;
  connection::HttpServer Server_;
  connection::HttpClient Client_;
};

} // namespace wigeonwall::standins

#endif
