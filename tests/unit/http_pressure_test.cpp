/// \file
/// \brief Tests an HttpServer at its limits: which connections it closes, and
/// that callers with ordinary requests are served.
#include "wigeonwall/connection/http_server.h"

#include "standins/raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace std::chrono_literals;
using namespace wigeonwall::connection;
using namespace wigeonwall::standins;

namespace {

constexpr std::chrono::milliseconds MaxWait = 5s;

struct Fixture {
  Fixture()
      : Server_(std::in_place, Context_, Endpoint{"127.0.0.1", 0}, limits(),
                [this](const HttpRequest &Request, HttpRespond Respond) {
                  if (Request.Target_ == "/hold")
                    return Held_.push_back(std::move(Respond));
                  if (Request.Target_ == "/large")
                    return Respond({200, {}, std::string(Large, 'x')});
                  if (Request.Target_ == "/shared") {
                    HttpResponse Response;
                    Response.SharedBody_ = Shared_;
                    return Respond(std::move(Response));
                  }
                  Respond({200, {}, "served"});
                }) {
    BOOST_REQUIRE(Server_->listen());
  }

  HttpLimits limits() {
    HttpLimits Result;
    Result.Connections_ = 4;
    Result.Waiting_ = 2;
    Result.Budget_ = std::make_shared<InputBudget>(100'000);
    Result.Buffers_ = {8 * 1024, 8 * 1024};
    Result.OnRefused_ = [this](InputRefusal Why) { Refusals_.push_back(Why); };
    return Result;
  }
  std::shared_ptr<RawPeer> open(const std::string &Text) {
    const auto Peer = RawPeer::open(Context_, Server_->port());
    Peer->send(Text);
    runFor(Context_, 20ms);
    return Peer;
  }
  bool until(const std::function<bool()> &Holds) {
    return runUntil(Context_, Holds, MaxWait);
  }
  bool serves() {
    const auto Peer = open("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const bool Result = until([&] { return Peer->count("served") == 1; });
    Peer->close();
    return Result;
  }

  static constexpr std::size_t Large = 60'000;

  asio::io_context Context_{1};
  std::shared_ptr<const std::string> Shared_ =
      std::make_shared<const std::string>(4'000'000, 'y');
  std::vector<HttpRespond> Held_;
  std::vector<InputRefusal> Refusals_;
  std::optional<HttpServer> Server_;
};

const std::string Hold = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";

std::string upload(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Bytes + 1) + "\r\n\r\n" + std::string(Bytes, 'x');
}

const std::vector<InputRefusal> OneConnection{InputRefusal::Connections};

} // namespace

// Idle connections kept new callers out for the idle timeout of 10 min.
BOOST_FIXTURE_TEST_CASE(the_longest_idle_connection_makes_room, Fixture) {
  const auto Held = open(Hold);
  const auto Reading = open("GET /");
  const auto Idle = open("");
  const auto IdleLater = open("");
  BOOST_TEST(serves());
  BOOST_TEST(until([&] { return Idle->closed(); }));
  BOOST_TEST((Refusals_ == OneConnection));
  BOOST_TEST(!Held->closed());
  BOOST_TEST(!Reading->closed());
  BOOST_TEST(!IdleLater->closed());
}

// Unfinished requests go before requests that are being handled.
BOOST_FIXTURE_TEST_CASE(an_unfinished_request_makes_room, Fixture) {
  const auto Held = open(Hold);
  const auto First = open("GET /");
  const auto Second = open("GET /");
  const auto Third = open("GET /");
  BOOST_TEST(serves());
  BOOST_TEST(until([&] { return First->closed(); }));
  BOOST_TEST(First->count("HTTP/1.1 408") == 1u);
  BOOST_TEST(!Held->closed());
  BOOST_TEST(!Second->closed());
}

// Uploads that stop just short of their end must not take the memory of all,
// and must not keep out a later upload or small requests.
BOOST_FIXTURE_TEST_CASE(a_large_unfinished_request_is_answered_503, Fixture) {
  const auto Held = open(Hold);
  const auto Small = open(upload(2'000));
  const auto Stopped = open(upload(60'000));
  const auto Later = open(upload(60'000));
  BOOST_TEST(until([&] { return Stopped->closed(); }));
  BOOST_TEST(Stopped->count("HTTP/1.1 503") == 1u);
  BOOST_TEST(Stopped->count("Retry-After: 1") == 1u);
  BOOST_TEST((Refusals_ == std::vector<InputRefusal>{InputRefusal::Budget}));
  for (const auto &Each : {Small, Later}) {
    Each->send("x");
    BOOST_TEST(until([&] { return Each->count("served") == 1; }));
  }
  BOOST_TEST(serves());
  BOOST_TEST(!Held->closed());
}

// Accepted requests without a response hold memory as well.
BOOST_FIXTURE_TEST_CASE(too_many_waiting_requests_are_answered_503, Fixture) {
  const auto First = open(Hold);
  const auto Second = open(Hold);
  const auto Third = open(Hold);
  BOOST_TEST(until([&] { return Third->count("Retry-After: 1") == 1; }));
  BOOST_TEST(Held_.size() == 2u);
  Held_.front()({200, {}, "released"});
  BOOST_TEST(until([&] { return First->count("released") == 1; }));
  Third->send(Hold);
  BOOST_TEST(until([&] { return Held_.size() == 3; }));
}

// The answer must not be lost to the rest of the trailers.
BOOST_FIXTURE_TEST_CASE(refused_trailers_are_answered_431, Fixture) {
  const auto Peer =
      open("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
           "0\r\na: " +
           std::string(30'000, 'b'));
  BOOST_TEST(until([&] { return Peer->closed(); }));
  BOOST_TEST(Peer->count("HTTP/1.1 431") == 1u);
  BOOST_TEST((Refusals_ == std::vector<InputRefusal>{InputRefusal::Trailers}));
  BOOST_TEST(serves());
}

// New connections replaced others before their request had arrived, so that
// clients that reopen connections all the time kept callers out.
BOOST_FIXTURE_TEST_CASE(a_new_connection_has_time_for_its_request, Fixture) {
  const auto Caller = RawPeer::open(Context_, Server_->port());
  std::vector<std::shared_ptr<RawPeer>> Others(20);
  for (auto &Each : Others)
    Each = RawPeer::open(Context_, Server_->port());
  runFor(Context_, 10ms);
  Caller->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(until([&] { return Caller->count("served") == 1; }));
  for (const auto &Each : Others)
    Each->close();
  BOOST_TEST(serves());
}

// The connection that waits for room is served as well when the server stops.
BOOST_FIXTURE_TEST_CASE(a_connection_that_waits_for_room_is_served, Fixture) {
  std::vector<std::shared_ptr<RawPeer>> Others(4);
  for (auto &Each : Others)
    Each = RawPeer::open(Context_, Server_->port());
  runFor(Context_, 10ms);
  const auto Caller = RawPeer::open(Context_, Server_->port());
  Caller->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  runFor(Context_, 10ms);
  Server_->stopAccepting();
  BOOST_TEST(until([&] { return Caller->count("served") == 1; }));
}

// Each connection had a copy of a response until its peer had read it.
BOOST_FIXTURE_TEST_CASE(unread_responses_are_bounded_in_sum, Fixture) {
  const std::string Request = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto First = RawPeer::open(Context_, Server_->port(), false);
  const auto Second = RawPeer::open(Context_, Server_->port(), false);
  // Fills the buffers of both sockets.
  for (int I = 0; I < 100; ++I)
    First->send(Request);
  runFor(Context_, 100ms);
  for (int I = 0; I < 100; ++I)
    Second->send(Request);
  BOOST_TEST(until([&] { return !Refusals_.empty(); }));
  BOOST_TEST((Refusals_ == std::vector<InputRefusal>{InputRefusal::Unread}));
  BOOST_TEST(serves());
}

// A response that is shared takes no memory of its connection and may be larger
// than the budget.
BOOST_FIXTURE_TEST_CASE(shared_responses_are_not_counted, Fixture) {
  std::vector<std::shared_ptr<RawPeer>> Peers;
  for (int I = 0; I < 3; ++I) {
    Peers.push_back(RawPeer::open(Context_, Server_->port(), false));
    Peers.back()->send("GET /shared HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  runFor(Context_, 100ms);
  BOOST_TEST(Refusals_.empty());
  for (const auto &Each : Peers)
    Each->read();
  BOOST_TEST(until([&] {
    return std::all_of(Peers.begin(), Peers.end(), [this](const auto &Each) {
      return Each->text().size() > Shared_->size();
    });
  }));
}

// The input of connections that wait to be accepted is memory as well.
BOOST_FIXTURE_TEST_CASE(few_connections_wait_to_be_accepted, Fixture) {
  asio::io_context Clients{1};
  std::vector<asio::ip::tcp::socket> Sockets;
  Sockets.reserve(200);
  std::size_t Connected = 0;
  for (int I = 0; I < 200; ++I)
    Sockets.emplace_back(Clients).async_connect(
        {asio::ip::make_address("127.0.0.1"), Server_->port()},
        [&Connected](auto Error) { Connected += Error ? 0 : 1; });
  Clients.run_for(200ms);
  // The kernel accepts one more than the smallest size of its queue.
  BOOST_TEST(Connected <= 65u);
  Sockets.clear();
  // A connection to a full queue would block this thread.
  runFor(Context_, 500ms);
  BOOST_TEST(serves());
}
