/// \file
/// \brief Tests the limits of the links between processes: a peer that exceeds
/// one loses its connection, and other links stay open.
#include "wigeonwall/connection/peer_connection.h"

#include "standins/raw_peer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace std::chrono_literals;
using namespace wigeonwall::connection;
using namespace wigeonwall::standins;

namespace {

constexpr std::chrono::milliseconds ReadTimeout = 300ms;
constexpr std::chrono::milliseconds MaxWait = 5s;
constexpr std::uint16_t Port = 29'871;

struct Fixture {
  Fixture()
      : Listener_(
            Context_, {"127.0.0.1", Port},
            [this](const auto &Link) { start(Link); }, limits(),
            [this] { return closeUnused(); }) {
    BOOST_REQUIRE(Listener_.listen());
  }
  ~Fixture() { Listener_.close(); }

  PeerLimits limits() {
    PeerLimits Result;
    Result.FirstMessageBytes_ = 100;
    Result.ReadTimeout_ = ReadTimeout;
    Result.Connections_ = 3;
    Result.Budget_ = Budget_;
    Result.Buffers_ = {8 * 1024, 8 * 1024};
    Result.OnRefused_ = [this](InputRefusal Why) { Refusals_.push_back(Why); };
    return Result;
  }
  void start(const std::shared_ptr<PeerConnection> &Link) {
    PeerConnection::Callbacks Callbacks;
    Callbacks.OnMessage_ = [this](const PeerMessage &) { ++Messages_; };
    Link->start(std::move(Callbacks));
    Links_.push_back(Link);
  }
  bool closeUnused() {
    if (!Unused_)
      return false;
    std::exchange(Unused_, nullptr)->close();
    return true;
  }
  std::shared_ptr<RawPeer> open() { return RawPeer::open(Context_, Port); }
  std::shared_ptr<RawPeer> openIdentified() {
    const std::size_t Before = Messages_;
    const auto Peer = open();
    Peer->send(message(10));
    BOOST_REQUIRE(until([&] { return Messages_ > Before; }));
    return Peer;
  }
  bool until(const std::function<bool()> &Holds) {
    return runUntil(Context_, Holds, MaxWait);
  }
  static std::string message(std::size_t Bytes) {
    return PeerSession().unsequencedFrame("m", std::string(Bytes, 'x'));
  }
  void checkRefusal(InputRefusal Expected) {
    BOOST_REQUIRE(Refusals_.size() == 1u);
    BOOST_TEST((Refusals_.front() == Expected));
  }

  asio::io_context Context_{1};
  std::shared_ptr<InputBudget> Budget_ = std::make_shared<InputBudget>(400'000);
  std::vector<InputRefusal> Refusals_;
  std::size_t Messages_ = 0;
  std::vector<std::shared_ptr<PeerConnection>> Links_;
  /// Closed when there is no other room.
  std::shared_ptr<PeerConnection> Unused_;
  PeerListener Listener_;
};

} // namespace

// A connection that had not named itself could send 4 MiB.
BOOST_FIXTURE_TEST_CASE(a_long_first_message_is_refused, Fixture) {
  const auto Peer = open();
  Peer->send(message(200));
  BOOST_TEST(until([&] { return Peer->closed(); }));
  checkRefusal(InputRefusal::Message);
  const auto Other = openIdentified();
  Other->send(message(200));
  BOOST_TEST(until([&] { return Messages_ == 2; }));
}

// Silent connections and unfinished messages were kept for ever.
BOOST_FIXTURE_TEST_CASE(silent_and_unfinished_links_are_closed, Fixture) {
  const auto Idle = openIdentified();
  const auto Silent = open();
  const auto Unfinished = openIdentified();
  Unfinished->send(message(5'000).substr(0, 4'000));
  BOOST_TEST(until([&] { return Silent->closed() && Unfinished->closed(); }));
  BOOST_TEST(Refusals_.size() == 2u);
  BOOST_TEST(!Idle->closed());
}

// The time limit applies to one message, not to a stream of messages that is
// never read at a boundary.
BOOST_FIXTURE_TEST_CASE(a_busy_link_stays_open, Fixture) {
  const auto Peer = openIdentified();
  const std::string Text = message(1'000);
  Peer->send(Text.substr(0, 500));
  for (int I = 0; I < 20; ++I) {
    runFor(Context_, 30ms);
    Peer->send(Text.substr(500) + Text.substr(0, 500));
  }
  BOOST_TEST(until([&] { return Messages_ == 21; }));
  BOOST_TEST(!Peer->closed());
}

BOOST_FIXTURE_TEST_CASE(the_budget_closes_the_largest_message, Fixture) {
  const auto Small = openIdentified();
  const auto Large = openIdentified();
  const std::string Text = message(1'000'000);
  Small->send(Text.substr(0, 20'000));
  Large->send(Text.substr(0, 450'000));
  BOOST_TEST(until([&] { return Large->closed(); }));
  checkRefusal(InputRefusal::Budget);
  BOOST_TEST(!Small->closed());
}

// Connections without a message must not keep out those of other processes.
BOOST_FIXTURE_TEST_CASE(at_the_limit_a_silent_link_makes_room, Fixture) {
  const auto First = openIdentified();
  const auto Silent = open();
  const auto Second = openIdentified();
  const auto Third = openIdentified();
  BOOST_TEST(until([&] { return Silent->closed(); }));
  checkRefusal(InputRefusal::Connections);
  const auto Extra = open();
  BOOST_TEST(until([&] { return Extra->closed(); }));
  BOOST_TEST(!First->closed());
  BOOST_TEST(!Third->closed());
}

// Links that had sent a message were never closed, so that some clients kept
// all entries out.
BOOST_FIXTURE_TEST_CASE(an_unused_link_makes_room, Fixture) {
  const auto First = openIdentified();
  const auto Second = openIdentified();
  const auto Third = openIdentified();
  Unused_ = Links_.at(1);
  const auto Fourth = openIdentified();
  BOOST_TEST(until([&] { return Second->closed(); }));
  BOOST_TEST(!First->closed());
  BOOST_TEST(!Third->closed());
  BOOST_TEST(!Fourth->closed());
}

// New links replaced others before their hello had arrived.
BOOST_FIXTURE_TEST_CASE(a_new_link_has_time_for_its_first_message, Fixture) {
  const auto Entry = open();
  std::vector<std::shared_ptr<RawPeer>> Others(20);
  for (auto &Each : Others)
    Each = open();
  runFor(Context_, 10ms);
  Entry->send(message(10));
  BOOST_TEST(until([&] { return Messages_ == 1; }));
  BOOST_TEST(!Entry->closed());
}

// Output that peers do not read had a limit for each link alone.
BOOST_FIXTURE_TEST_CASE(unsent_output_is_bounded_in_sum, Fixture) {
  constexpr std::size_t Frames = 3'000;
  std::vector<std::shared_ptr<RawPeer>> Peers;
  for (int I = 0; I < 2; ++I) {
    Peers.push_back(RawPeer::open(Context_, Port, false));
    Peers.back()->send(message(10));
  }
  BOOST_REQUIRE(until([&] { return Messages_ == 2; }));
  for (std::size_t I = 0; I < Frames && Refusals_.empty(); ++I)
    for (const auto &Each : Links_) {
      Each->send(message(5'000));
      runFor(Context_, 1ms);
    }
  checkRefusal(InputRefusal::Unread);
  BOOST_TEST(std::count_if(Links_.begin(), Links_.end(), [](const auto &Each) {
               return Each->isOpen();
             }) == 1);
}
