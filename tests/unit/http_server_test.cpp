/// \file
/// \brief Tests HttpServer against peers that send malformed, oversized, slow,
/// truncated and pipelined requests: invalid requests get a 4xx response or a
/// close within the time limit, other connections are served meanwhile, and a
/// planned stop interrupts no request.
#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"

#include "standins/raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace std::chrono_literals;
using namespace wigeonwall::connection;
using namespace wigeonwall::standins;

namespace {

constexpr std::chrono::milliseconds ReadTimeout = 200ms;
constexpr std::chrono::milliseconds IdleTimeout = 400ms;
constexpr std::size_t MaxConnections = 4;
/// Timeout of every wait; far above the tested limits, since the machine may be
/// busy.
constexpr std::chrono::milliseconds MaxWait = 5s;

HttpLimits limits() {
  HttpLimits Limits;
  Limits.HeaderBytes_ = 512;
  Limits.BodyBytes_ = 1024;
  Limits.Connections_ = MaxConnections;
  Limits.ReadTimeout_ = ReadTimeout;
  Limits.IdleTimeout_ = IdleTimeout;
  return Limits;
}

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string post(const std::string &Body) {
  return "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

struct Fixture {
  Fixture()
      : Server_(std::in_place, Context_, Endpoint{"127.0.0.1", 0}, limits(),
                [this](HttpRequest Request, HttpRespond Respond) {
                  if (Request.Target_ == "/hold")
                    return Held_.push_back(std::move(Respond));
                  if (Request.Target_ == "/watch") {
                    Request.NotifyOnClose_([this] { ++Left_; });
                    return Held_.push_back(std::move(Respond));
                  }
                  if (Request.Target_ == "/throw") {
                    Held_.push_back(std::move(Respond));
                    throw std::out_of_range("unexpected");
                  }
                  HttpResponse Response;
                  Response.Body_ = Request.Target_ == "/big"
                                       ? std::string(64 << 20, 'x')
                                       : Request.Target_ + Request.Body_;
                  Respond(std::move(Response));
                }) {
    BOOST_REQUIRE(Server_->listen());
  }

  std::shared_ptr<RawPeer> open(bool Reads = true) {
    return RawPeer::open(Context_, Server_->port(), Reads);
  }
  bool until(const std::function<bool()> &Holds) {
    return runUntil(Context_, Holds, MaxWait);
  }
  /// Returns whether a request on a new connection is answered.
  bool serves() {
    const auto Peer = open();
    Peer->send(get("/other"));
    const bool Answered = until([&] { return Peer->count("/other") == 1; });
    Peer->close();
    return Answered;
  }
  bool hold(const std::shared_ptr<RawPeer> &Peer) {
    const std::size_t Before = Held_.size();
    Peer->send(get("/hold"));
    return until([&] { return Held_.size() == Before + 1; });
  }
  void release() {
    for (const HttpRespond &Respond : Held_)
      Respond({200, {}, "released"});
    Held_.clear();
  }

  asio::io_context Context_{1};
  std::vector<HttpRespond> Held_;
  /// Number of watched peers that have closed their connection.
  int Left_ = 0;
  std::optional<HttpServer> Server_;
};

struct InputCase {
  const char *Name_;
  std::string Text_;
  /// Expected status code; "" for a close without a response.
  const char *Status_;
};

const std::string Head = "POST /echo HTTP/1.1\r\nHost: a\r\n";

const InputCase InputCases[] = {
    {"no request line", "GARBAGE\r\n\r\n", "400"},
    {"no version", "GET /\r\n\r\n", "400"},
    {"other version", "GET / HTTP/9.9\r\n\r\n", "400"},
    {"TLS hello", std::string("\x16\x03\x01\x02\x00\x01\x00", 7), "400"},
    {"zero bytes", std::string(64, '\0'), "400"},
    {"field without colon", Head + "nothing\r\n\r\n", "400"},
    {"line feed in field", Head + "A: b\n\rc\r\n\r\n", "400"},
    {"length of letters", Head + "Content-Length: x\r\n\r\n", "400"},
    {"negative length", Head + "Content-Length: -1\r\n\r\n", "400"},
    {"length over 64 bits",
     Head + "Content-Length: 99999999999999999999\r\n\r\n", "400"},
    {"two lengths", Head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nabc",
     "400"},
    {"length and chunks",
     Head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"bad chunk size", Head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
     "400"},
    {"long target", get("/" + std::string(600, 'a')), "431"},
    {"long header", Head + "A: " + std::string(600, 'a') + "\r\n\r\n", "431"},
    {"endless header", Head + "A: " + std::string(20'000, 'a'), "431"},
    {"announced long body", Head + "Content-Length: 1025\r\n\r\n", "413"},
    {"sent long body", post(std::string(60'000, 'a')), "413"},
    {"long chunks",
     Head + "Transfer-Encoding: chunked\r\n\r\n800\r\n" +
         std::string(0x800, 'a') + "\r\n0\r\n\r\n",
     "413"},
    {"nothing", "", ""},
    {"stops in the request line", "POST /ec", ""},
    {"stops in the header", Head + "A: ", ""},
    {"stops in the body", Head + "Content-Length: 9\r\n\r\nabc", ""},
    {"stops in a chunk", Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
     ""},
};

} // namespace

BOOST_FIXTURE_TEST_CASE(malformed_input_closes_only_its_connection, Fixture) {
  const auto OtherPeer = open();
  BOOST_REQUIRE(hold(OtherPeer));
  for (const InputCase &Case : InputCases)
    for (const bool EndsSending : {false, true})
      BOOST_TEST_CONTEXT(Case.Name_ << ", ends sending: " << EndsSending) {
        const auto Start = std::chrono::steady_clock::now();
        const auto Peer = open();
        Peer->send(Case.Text_);
        if (EndsSending)
          Peer->endSending();
        BOOST_TEST(until([&] { return Peer->closed(); }));
        BOOST_TEST((std::chrono::steady_clock::now() - Start < 2s));
        const std::string Status = Peer->text().substr(0, 12);
        BOOST_TEST(Status == (*Case.Status_ != '\0'
                                  ? std::string("HTTP/1.1 ") + Case.Status_
                                  : ""));
        Peer->close();
      }
  BOOST_TEST(serves());
  release();
  BOOST_TEST(until([&] { return OtherPeer->count("released") == 1; }));
}

// The exception of a handler ended the process, and the caller got no answer.
BOOST_FIXTURE_TEST_CASE(an_exception_of_the_handler_is_answered_with_500,
                        Fixture) {
  const auto Peer = open();
  Peer->send(get("/throw"));
  BOOST_CHECK_THROW(until([&] { return Peer->closed(); }), std::out_of_range);
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Peer->count("HTTP/1.1 500") == 1u);
  BOOST_TEST(serves());
}

// The answer of a handler that had thrown was written beside the error.
BOOST_FIXTURE_TEST_CASE(a_request_is_answered_once_after_an_exception,
                        Fixture) {
  const auto Peer = open();
  Peer->send(get("/throw"));
  BOOST_CHECK_THROW(until([&] { return Held_.size() == 2; }),
                    std::out_of_range);
  BOOST_REQUIRE(Held_.size() == 1u);
  Held_.front()({});
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Peer->count("HTTP/1.1 ") == 1u);
  BOOST_TEST(Peer->count("HTTP/1.1 500") == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_slow_request_is_closed_while_others_are_served,
                        Fixture) {
  const std::string Text = post(std::string(200, 'a'));
  const auto Start = std::chrono::steady_clock::now();
  const auto Peer = open();
  for (std::size_t I = 0; I < Text.size() && !Peer->closed(); ++I) {
    Peer->send(Text.substr(I, 1));
    if (I == 5)
      BOOST_TEST(serves());
    runFor(Context_, 10ms);
  }
  // The timeout applies to the whole request, not to each byte.
  BOOST_TEST(Peer->closed());
  BOOST_TEST(Peer->text().empty());
  BOOST_TEST((std::chrono::steady_clock::now() - Start < 1500ms));
  BOOST_TEST(serves());
}

BOOST_FIXTURE_TEST_CASE(a_peer_that_does_not_read_is_closed, Fixture) {
  const auto Peer = open(false);
  Peer->send(get("/big"));
  BOOST_REQUIRE(until([&] { return Server_->connectionCount() == 1; }));
  BOOST_TEST(until([&] { return Server_->connectionCount() == 0; }));
  BOOST_TEST(serves());
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, Fixture) {
  const auto Peer = open();
  const std::string Last = post("three");
  Peer->send(get("/one") + post("two") + Last.substr(0, 30));
  BOOST_TEST(until([&] { return Peer->count("/echotwo") == 1; }));
  Peer->send(Last.substr(30) + get("/four"));
  BOOST_TEST(until([&] { return Peer->count("/four") == 1; }));
  BOOST_TEST(Peer->count("HTTP/1.1 200") == 4U);
  BOOST_TEST(Peer->text().find("/one") < Peer->text().find("/echotwo"));
  BOOST_TEST(Peer->text().find("/echotwo") < Peer->text().find("/echothree"));
  BOOST_TEST(Peer->text().find("/echothree") < Peer->text().find("/four"));
  // A malformed request does not affect the response to the valid one before
  // it.
  Peer->send(get("/five") + "GARBAGE\r\n\r\n");
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Peer->count("/five") == 1U);
  BOOST_TEST(Peer->count("HTTP/1.1 400") == 1U);
}

BOOST_FIXTURE_TEST_CASE(keep_alive_ends_on_request_or_after_the_idle_timeout,
                        Fixture) {
  const auto Idle = open();
  for (unsigned I = 0; I < 3; ++I) {
    Idle->send(get("/kept"));
    BOOST_TEST(until([&] { return Idle->count("/kept") == I + 1; }));
  }
  const auto Old = open();
  Old->send("GET /old HTTP/1.0\r\n\r\n");
  const auto Closing = open();
  Closing->send("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  BOOST_TEST(until([&] { return Old->closed() && Closing->closed(); }));
  BOOST_TEST(Old->count("/old") == 1U);
  BOOST_TEST(Closing->count("/last") == 1U);
  BOOST_TEST(until([&] { return Idle->closed(); }));
}

BOOST_FIXTURE_TEST_CASE(connections_over_the_limit_are_closed, Fixture) {
  std::vector<std::shared_ptr<RawPeer>> Peers;
  for (std::size_t I = 0; I < MaxConnections; ++I) {
    Peers.push_back(open());
    BOOST_REQUIRE(hold(Peers.back()));
  }
  const auto Extra = open();
  Extra->send(get("/extra"));
  BOOST_TEST(until([&] { return Extra->closed(); }));
  BOOST_TEST(Extra->text().empty());
  BOOST_TEST(Server_->connectionCount() == MaxConnections);
  release();
  for (const auto &Peer : Peers)
    BOOST_TEST(until([&] { return Peer->count("released") == 1; }));
  Peers.front()->close();
  BOOST_TEST(
      until([&] { return Server_->connectionCount() < MaxConnections; }));
  BOOST_TEST(serves());
}

BOOST_FIXTURE_TEST_CASE(
    disable_keep_alive_closes_connections_after_their_response, Fixture) {
  const auto Held = open();
  BOOST_REQUIRE(hold(Held));
  Server_->disableKeepAlive();
  const auto Later = open();
  Later->send(get("/later"));
  BOOST_TEST(until([&] { return Later->closed(); }));
  BOOST_TEST(Later->count("/later") == 1U);
  release();
  BOOST_TEST(until([&] { return Held->closed(); }));
  for (const auto &Peer : {Held, Later}) {
    BOOST_TEST(Peer->count("Connection: close") == 1U);
    BOOST_TEST(!Peer->reset());
  }
  BOOST_TEST(Held->count("released") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_response_is_not_lost_to_unread_input, Fixture) {
  const auto Peer = open();
  BOOST_REQUIRE(hold(Peer));
  Server_->disableKeepAlive();
  Peer->send(std::string(60'000, 'a'));
  release();
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Peer->count("released") == 1U);
  BOOST_TEST(!Peer->reset());
}

BOOST_FIXTURE_TEST_CASE(a_client_that_is_still_sending_gets_the_error_response,
                        Fixture) {
  HttpClient Client(Context_, {});
  std::optional<HttpResult> Actual;
  Client.send({"127.0.0.1", Server_->port()},
              {"POST", "/echo", {}, std::string(4 << 20, 'a')}, MaxWait,
              [&](HttpResult Result) { Actual = std::move(Result); });
  BOOST_REQUIRE(until([&] { return Actual.has_value(); }));
  BOOST_TEST((Actual->Error_ == TransportError::None));
  BOOST_TEST(Actual->Response_.Status_ == 413);
}

BOOST_FIXTURE_TEST_CASE(stop_accepting_interrupts_no_request, Fixture) {
  const auto Held = open();
  BOOST_REQUIRE(hold(Held));
  const auto Started = open();
  Started->send(post("started").substr(0, 40));
  runFor(Context_, 20ms);
  // In the accept queue of the kernel, not yet accepted by the server.
  const auto Unseen = open();
  Unseen->send(get("/unseen"));
  Server_->stopAccepting();
  Started->send(post("started").substr(40));
  BOOST_CHECK_THROW(open(), boost::system::system_error);
  release();
  const std::pair<std::shared_ptr<RawPeer>, const char *> Expected[] = {
      {Held, "released"}, {Started, "/echostarted"}, {Unseen, "/unseen"}};
  for (const auto &[Peer, Text] : Expected) {
    BOOST_TEST(until([&, Each = Peer] { return Each->closed(); }));
    BOOST_TEST(Peer->count(Text) == 1U);
    BOOST_TEST(!Peer->reset());
  }
}

BOOST_FIXTURE_TEST_CASE(a_destroyed_server_does_not_call_its_handler, Fixture) {
  const auto Peer = open();
  Peer->send(get("/first"));
  BOOST_REQUIRE(until([&] { return Peer->count("/first") == 1; }));
  Server_.reset();
  Peer->send(get("/hold"));
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Held_.empty());
}

// A peer that had sent its next request was not noticed when it left.
BOOST_FIXTURE_TEST_CASE(the_end_of_a_watched_connection_is_noticed, Fixture) {
  for (const bool SendsNext : {false, true})
    BOOST_TEST_CONTEXT("sends its next request: " << SendsNext) {
      Left_ = 0;
      const auto Peer = open();
      Peer->send(get("/watch"));
      BOOST_REQUIRE(until([&] { return Held_.size() == 1; }));
      if (SendsNext)
        Peer->send(get("/next"));
      runFor(Context_, 120ms);
      BOOST_TEST(Left_ == 0);
      Peer->close();
      BOOST_TEST(until([&] { return Left_ == 1; }));
      release();
    }
}

BOOST_FIXTURE_TEST_CASE(a_watched_request_and_its_next_are_answered, Fixture) {
  const auto Peer = open();
  Peer->send(get("/watch"));
  BOOST_REQUIRE(until([&] { return Held_.size() == 1; }));
  Peer->send(get("/next"));
  // Longer than a request may take to arrive.
  runFor(Context_, 2 * ReadTimeout);
  release();
  BOOST_TEST(until([&] { return Peer->count("/next") == 1; }));
  BOOST_TEST(Peer->count("released") == 1u);
  BOOST_TEST(Left_ == 0);
  // The limits on slow requests still hold.
  Peer->send("GET /slow");
  BOOST_TEST(until([&] { return Peer->closed(); }));
}

// Connections are used for several requests.
BOOST_FIXTURE_TEST_CASE(the_end_of_a_reused_connection_is_noticed, Fixture) {
  for (const bool WatchesFirst : {false, true})
    BOOST_TEST_CONTEXT("watches the first request: " << WatchesFirst) {
      Left_ = 0;
      const auto Peer = open();
      if (WatchesFirst) {
        Peer->send(get("/watch"));
        BOOST_REQUIRE(until([&] { return Held_.size() == 1; }));
        release();
        BOOST_REQUIRE(until([&] { return Peer->count("released") == 1; }));
      } else {
        Peer->send(get("/first"));
        BOOST_REQUIRE(until([&] { return Peer->count("/first") == 1; }));
      }
      runFor(Context_, 20ms);
      Peer->send(get("/watch"));
      BOOST_REQUIRE(until([&] { return Held_.size() == 1; }));
      runFor(Context_, 20ms);
      Peer->close();
      BOOST_TEST(until([&] { return Left_ == 1; }));
      release();
    }
}
