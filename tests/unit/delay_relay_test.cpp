/// \file
/// \brief Tests of the delay, byte order and half-close of the delay relay.
#include "standins/delay_relay.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace wigeonwall;
namespace asio = connection::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Delay{20};

/// \brief Relay on its own thread, with a connected caller and target.
class RelayFixture {
public:
  RelayFixture()
      : Target_(PeerContext_, {asio::ip::make_address("127.0.0.1"), 0}),
        Relay_(RelayContext_, {"127.0.0.1", 0},
               {"127.0.0.1", Target_.local_endpoint().port()}, Delay),
        Caller_(PeerContext_), Server_(PeerContext_) {
    BOOST_REQUIRE(Relay_.listen());
    const std::uint16_t Port = Relay_.port();
    Thread_ = std::thread([this] { RelayContext_.run(); });
    Caller_.connect({asio::ip::make_address("127.0.0.1"), Port});
    Target_.accept(Server_);
  }
  ~RelayFixture() {
    RelayContext_.stop();
    Thread_.join();
  }
  RelayFixture(const RelayFixture &) = delete;
  RelayFixture &operator=(const RelayFixture &) = delete;

  asio::io_context RelayContext_{1};
  asio::io_context PeerContext_{1};
  Tcp::acceptor Target_;
  standins::DelayRelay Relay_;
  Tcp::socket Caller_;
  Tcp::socket Server_;
  std::thread Thread_;
};

std::string readBytes(Tcp::socket &From, std::size_t Count) {
  std::string Text(Count, '\0');
  asio::read(From, asio::buffer(Text));
  return Text;
}

} // namespace

// Guards against a relay that delays no bytes or only one direction, so that
// measurements would not include the network delay.
BOOST_FIXTURE_TEST_CASE(each_direction_is_delayed, RelayFixture) {
  const auto Start = Clock::now();
  asio::write(Caller_, asio::buffer("ping", 4));
  BOOST_TEST(readBytes(Server_, 4) == "ping");
  BOOST_TEST((Clock::now() - Start >= Delay));
  asio::write(Server_, asio::buffer("pong", 4));
  BOOST_TEST(readBytes(Caller_, 4) == "pong");
  BOOST_TEST((Clock::now() - Start >= 2 * Delay));
}

// Guards against reordered or lost bytes when more bytes are in flight than the
// relay buffers, and against a half-close that truncates the stream or closes
// the other direction.
BOOST_FIXTURE_TEST_CASE(order_and_half_close_are_kept, RelayFixture) {
  std::string Sent;
  for (int I = 0; I < 600'000; ++I)
    Sent += std::to_string(I) + ' ';
  std::thread Writer([&] {
    asio::write(Caller_, asio::buffer(Sent));
    Caller_.shutdown(Tcp::socket::shutdown_send);
  });
  const std::string Received = readBytes(Server_, Sent.size());
  Writer.join();
  BOOST_TEST((Received == Sent));
  char Byte = 0;
  boost::system::error_code Error;
  Server_.read_some(asio::buffer(&Byte, 1), Error);
  BOOST_TEST((Error == asio::error::eof));
  asio::write(Server_, asio::buffer("late", 4));
  BOOST_TEST(readBytes(Caller_, 4) == "late");
}
