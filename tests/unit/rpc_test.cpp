/// \file
/// \brief Tests RpcServer, RpcClient and CallBatcher: a malformed message fails
/// its call and never crashes the process, and only an error sent by the peer
/// counts as a refusal.
#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/process/runtime/event_loop.h"

#include "standins/raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <stdexcept>

using namespace std::chrono_literals;
using namespace wigeonwall;
using namespace wigeonwall::connection;
using standins::runUntil;

namespace {

constexpr std::chrono::milliseconds MaxWait = 5s;

Json::Value json(const std::string &Text) {
  Json::Value Value;
  std::string Errors;
  const Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  BOOST_REQUIRE(
      Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors));
  return Value;
}

struct Fixture {
  Fixture()
      : Server_(Context_, {"127.0.0.1", 0}, {}, {}), Raw_(Context_, {}),
        Client_(Context_, {}, {}) {
    Server_.addMethod("echo", [](const Json::Value &Params) { return Params; });
    Server_.addMethod("count", [](const Json::Value &Params) {
      return Json::Value(Params["list"].size());
    });
    Server_.addMethod("fault", [](const Json::Value &) -> Json::Value {
      throw RpcFault{"/field: wrong"};
    });
    Server_.addMethod("throw", [](const Json::Value &) -> Json::Value {
      throw std::runtime_error("unexpected");
    });
    BOOST_REQUIRE(Server_.listen());
  }

  HttpResult post(const std::string &Method, const std::string &Target,
                  const std::string &Body) {
    std::optional<HttpResult> Slot;
    Raw_.send({"127.0.0.1", Server_.port()}, {Method, Target, {}, Body},
              MaxWait, [&](HttpResult Result) { Slot = std::move(Result); });
    BOOST_REQUIRE(runUntil(
        Context_, [&] { return Slot.has_value(); }, MaxWait));
    return *Slot;
  }
  RpcResult call(const Endpoint &Peer, const std::string &Method,
                 const Json::Value &Params) {
    std::optional<RpcResult> Slot;
    Client_.call(Peer, Method, Params, MaxWait,
                 [&](RpcResult Result) { Slot = std::move(Result); });
    BOOST_REQUIRE(runUntil(
        Context_, [&] { return Slot.has_value(); }, MaxWait));
    return *Slot;
  }
  RpcResult call(const std::string &Method, const Json::Value &Params) {
    return call({"127.0.0.1", Server_.port()}, Method, Params);
  }

  asio::io_context Context_{1};
  RpcServer Server_;
  HttpClient Raw_;
  RpcClient Client_;
};

const std::string MalformedBodies[] = {
    "",
    "{",
    "7",
    "null",
    "[]",
    "{}",
    "\"text\"",
    R"({"jsonrpc": "1.0", "id": 1, "method": "echo", "params": {}})",
    R"({"jsonrpc": "2.0", "id": 1, "method": 7, "params": {}})",
    R"({"jsonrpc": "2.0", "id": 1, "method": "echo", "params": 7})",
    R"({"jsonrpc": "2.0", "id": {}, "method": "echo", "params": {}})",
    R"({"jsonrpc": "2.0", "id": 1, "method": "none", "params": {}})",
    std::string(100'000, '['),
    R"({"jsonrpc": "2.0", "id": 1, "method": "echo", "params": )" +
        std::string(100'000, '['),
};

// Results of handlers as the caller receives them.
const struct {
  const char *Method_;
  const char *Params_;
  bool Refused_;
  const char *Detail_;
} Calls[] = {
    {"echo", R"({"a": 1})", false, ""},
    {"count", R"({"list": [1, 2]})", false, ""},
    {"count", R"({"list": "no list"})", false, ""},
    {"fault", "{}", true, "/field: wrong"},
    {"throw", "{}", true, "unexpected"},
    {"none", "{}", true, "METHOD_NOT_FOUND"},
};

// Response bodies; ID is replaced by the id of the call.
const struct {
  const char *Body_;
  TransportError Error_;
  bool Refused_;
} Responses[] = {
    {R"({"jsonrpc": "2.0", "id": ID, "result": 7})", TransportError::None,
     false},
    {R"({"jsonrpc": "2.0", "id": ID, "error": {"message": "no"}})",
     TransportError::None, true},
    {R"({"jsonrpc": "2.0", "id": ID, "error": "no"})", TransportError::None,
     true},
    {R"({"jsonrpc": "2.0", "id": ID, "error": {"message": {}}})",
     TransportError::None, true},
    // The peer may have acted on the call.
    {R"({"jsonrpc": "2.0", "id": ID})", TransportError::Ambiguous, false},
    {R"({"jsonrpc": "2.0", "id": 99, "result": 7})", TransportError::Ambiguous,
     false},
    {R"({"jsonrpc": "2.0", "result": 7})", TransportError::Ambiguous, false},
    {R"({"jsonrpc": "2.0", "id": "ID", "result": 7})",
     TransportError::Ambiguous, false},
    {"", TransportError::Ambiguous, false},
    {"[]", TransportError::Ambiguous, false},
    {"7", TransportError::Ambiguous, false},
    {"not JSON", TransportError::Ambiguous, false},
};

} // namespace

BOOST_FIXTURE_TEST_CASE(malformed_messages_are_answered_with_an_error,
                        Fixture) {
  for (const std::string &Body : MalformedBodies)
    BOOST_TEST_CONTEXT(Body.substr(0, 80)) {
      const HttpResult Actual = post("POST", "/rpc", Body);
      BOOST_TEST((Actual.Error_ == TransportError::None));
      BOOST_TEST(Actual.Response_.Status_ == 200);
      BOOST_TEST(json(Actual.Response_.Body_)["error"].isObject());
    }
  BOOST_TEST(post("GET", "/rpc", "").Response_.Status_ == 404);
  BOOST_TEST(post("POST", "/other", "{}").Response_.Status_ == 404);
  BOOST_TEST(call("echo", json("{}")).ok());
}

BOOST_FIXTURE_TEST_CASE(a_handler_fault_fails_only_its_call, Fixture) {
  for (const auto &Case : Calls)
    BOOST_TEST_CONTEXT(Case.Method_ << Case.Params_) {
      const RpcResult Actual = call(Case.Method_, json(Case.Params_));
      BOOST_TEST((Actual.Error_ == TransportError::None));
      BOOST_TEST(Actual.Refused_ == Case.Refused_);
      BOOST_TEST((Actual.Detail_.find(Case.Detail_) != std::string::npos));
    }
}

BOOST_FIXTURE_TEST_CASE(only_an_error_member_is_a_refusal, Fixture) {
  for (const auto &Case : Responses)
    BOOST_TEST_CONTEXT(Case.Body_) {
      HttpServer Peer(
          Context_, {"127.0.0.1", 0}, {},
          [&](const HttpRequest &Request, const HttpRespond &Respond) {
            std::string Body = Case.Body_;
            if (const auto At = Body.find("ID"); At != std::string::npos)
              Body.replace(At, 2, json(Request.Body_)["id"].asString());
            Respond({200, {}, Body});
          });
      BOOST_REQUIRE(Peer.listen());
      const RpcResult Actual =
          call({"127.0.0.1", Peer.port()}, "echo", json("{}"));
      BOOST_TEST((Actual.Error_ == Case.Error_));
      BOOST_TEST(Actual.Refused_ == Case.Refused_);
      BOOST_TEST(Actual.Detail_.empty() == Actual.ok());
    }
}

BOOST_FIXTURE_TEST_CASE(a_batch_reply_of_another_size_makes_its_items_ambiguous,
                        Fixture) {
  const struct {
    const char *Reply_;
    TransportError Error_;
  } Cases[] = {
      {R"({"items": [1, 2]})", TransportError::None},
      {R"({"items": [1]})", TransportError::Ambiguous},
      {R"({"items": [1, 2, 3]})", TransportError::Ambiguous},
      {R"({"items": {}})", TransportError::Ambiguous},
      {R"({})", TransportError::Ambiguous},
      {R"([])", TransportError::Ambiguous},
      {R"(7)", TransportError::Ambiguous},
  };
  for (const auto &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Reply_) {
      unsigned Sent = 0;
      unsigned Completed = 0;
      std::vector<process::ItemReply> Replies;
      process::CallBatcher Batcher(
          [&](const std::string &Address, const std::string &,
              const Json::Value &Params, std::chrono::milliseconds,
              RpcCallback Done) {
            ++Sent;
            BOOST_TEST(Address == "peer");
            BOOST_TEST(Params["items"].size() == 2U);
            RpcResult Result;
            Result.Value_ = json(Case.Reply_);
            asio::post(Context_, [Done, Result] { Done(Result); });
          },
          process::makeSchedule(Context_), "echo",
          [] { return Json::Value(Json::objectValue); },
          [&](const Json::Value &) { ++Completed; }, MaxWait);
      for (const int Item : {1, 2})
        Batcher.add("peer", Item, [&](const process::ItemReply &Reply) {
          Replies.push_back(Reply);
        });
      BOOST_REQUIRE(runUntil(
          Context_, [&] { return Replies.size() == 2; }, MaxWait));
      const bool Good = Case.Error_ == TransportError::None;
      BOOST_TEST(Sent == 1U);
      BOOST_TEST(Completed == (Good ? 1U : 0U));
      for (const process::ItemReply &Reply : Replies) {
        BOOST_TEST((Reply.Error_ == Case.Error_));
        BOOST_TEST(!Reply.Refused_);
        BOOST_TEST(Reply.Value_.isNull() == !Good);
      }
    }
}
