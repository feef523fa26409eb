/// \file
/// \brief Delay, order and half-close of the relay between failure domains.
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

/// \brief A relay on a thread of its own and a target that accepts.
class RelayFixture {
public:
  RelayFixture()
      : Target_(Own_, {asio::ip::make_address("127.0.0.1"), 0}),
        Relay_(Loop_, {"127.0.0.1", 0},
               {"127.0.0.1", Target_.local_endpoint().port()}, Delay),
        Caller_(Own_), Server_(Own_) {
    BOOST_REQUIRE(Relay_.listen());
    const std::uint16_t Port = Relay_.port();
    Thread_ = std::thread([this] { Loop_.run(); });
    Caller_.connect({asio::ip::make_address("127.0.0.1"), Port});
    Target_.accept(Server_);
  }
  ~RelayFixture() {
    Loop_.stop();
    Thread_.join();
  }
  RelayFixture(const RelayFixture &) = delete;
  RelayFixture &operator=(const RelayFixture &) = delete;

  asio::io_context Loop_{1};
  asio::io_context Own_{1};
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

// Guards against a relay that passes bytes on at once or delays one direction
// only, so that a measurement would lack the network's delay.
BOOST_FIXTURE_TEST_CASE(each_direction_is_delayed, RelayFixture) {
  const auto Start = Clock::now();
  asio::write(Caller_, asio::buffer("ping", 4));
  BOOST_TEST(readBytes(Server_, 4) == "ping");
  BOOST_TEST((Clock::now() - Start >= Delay));
  asio::write(Server_, asio::buffer("pong", 4));
  BOOST_TEST(readBytes(Caller_, 4) == "pong");
  BOOST_TEST((Clock::now() - Start >= 2 * Delay));
}

// Guards against bytes that overtake each other or are lost when more is on
// the way than the relay buffers, and against a close that cuts them off or
// ends the other direction.
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
