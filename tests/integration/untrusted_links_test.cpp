/// \file
/// \brief Clients of an agent's listener that behave like entries: the agent
/// stays within its memory, and the real entry keeps its link.
#include "standins/link_scripts.h"
#include "standins/raw_peer.h"
#include "standins/untrusted_fixture.h"
#include "wigeonwall/connection/msgpack_codec.h"
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <csignal>

using namespace std::chrono_literals;
using namespace wigeonwall::process::dispatch;
using namespace wigeonwall::standins;
namespace connection = wigeonwall::connection;

namespace {

constexpr std::size_t Clients = 40;
constexpr std::size_t BytesPerClient = 2 << 20;

/// Arrays of arrays, the innermost of \p Items numbers; 4 MB in all.
std::string nestedMessage() {
  constexpr std::size_t Items = 250;
  constexpr std::size_t Arrays = 16'000;
  connection::detail::StringBuffer Buffer;
  msgpack::packer<connection::detail::StringBuffer> Packer(Buffer);
  Packer.pack_array(Arrays);
  for (std::size_t I = 0; I < Arrays; ++I)
    Packer.pack(std::vector<int>(Items, 0));
  const std::string &Body = Buffer.Text_;
  constexpr std::size_t HeaderBytes = connection::FrameHeaderBytes;
  std::string Length(HeaderBytes, '\0');
  for (std::size_t I = 0, Rest = Body.size(); I < HeaderBytes; ++I, Rest >>= 8U)
    Length[HeaderBytes - 1 - I] = static_cast<char>(Rest & 0xFFU);
  return Length + Body;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_links, UntrustedFixture)

// Each link could have 16 MiB of reports that its peer did not read.
BOOST_AUTO_TEST_CASE(unsent_reports_are_bounded_in_sum) {
  checkWithSockets(Listener::AgentPeers, Clients,
                   afterHello(frame("query", encodeQuery()), BytesPerClient));
}

// The elements of a message of 4 MiB took 100 MB when it was parsed.
BOOST_AUTO_TEST_CASE(nested_messages_do_not_grow) {
  CrowdScript Script;
  Script.HeadOf_ = [](std::size_t Client) {
    return helloOf(Client) + nestedMessage();
  };
  checkWithSockets(Listener::AgentPeers, 4, Script);
}

// Links that had sent a hello were never closed to make room for another, so
// that an entry could not connect.
BOOST_AUTO_TEST_CASE(idle_links_do_not_keep_entries_out) {
  // Leaves its place to the clients.
  Cluster_.entry(0).signal(SIGKILL);
  BOOST_REQUIRE(Cluster_.entry(0).waitExit(2s).has_value());
  CrowdScript Script;
  Script.HeadOf_ = helloOf;
  ClientCrowd Crowd(Cluster_.port(Listener::AgentPeers, 0), 400, Script);
  Crowd.run(SendTime, 200ms, [] {});
  Cluster_.startEntry(0);
  BOOST_TEST(Cluster_.waitReady(5s));
  BOOST_TEST(serves());
  BOOST_TEST(Cluster_.agent(0).running());
  BOOST_TEST(openDescriptors(Cluster_.agent(0).id()) < MaxDescriptors);
}

// A hello with the name of an entry, which consisted of its id and the time of
// its start, ended the session of that entry and its runs.
BOOST_AUTO_TEST_CASE(a_guessed_name_does_not_end_the_session_of_an_entry) {
  using std::chrono::system_clock;
  const auto Before = system_clock::now();
  Cluster_.startEntry(0);
  BOOST_REQUIRE(Cluster_.waitReady(5s));
  const auto After = system_clock::now();
  const CallerJob Running = [] {
    CallerJob Job;
    Job.Id_ = jobId(8, 1);
    Job.Estimate_ = 2s;
    Job.Deadline_ = 20s;
    Job.ClientTimeout_ = 20s;
    return Job;
  }();
  std::size_t Starts = 0;
  Cluster_.run([&] {
    Cluster_.minion(0).RunTime_ = 2s;
    Cluster_.minion(0).OnStart_ = [&](const std::string &Task) {
      Starts += Task.starts_with(Running.Id_) ? 1 : 0;
    };
  });
  std::promise<int> Status;
  Cluster_.submit(0, Running, [&Status](const auto &Reply) {
    Status.set_value(PlatformCluster::statusOf(Reply));
  });
  std::this_thread::sleep_for(300ms);
  asio::io_context Context{1};
  std::size_t Guesses = 0;
  for (auto At = std::chrono::floor<std::chrono::milliseconds>(Before);
       At < After; At += 1ms) {
    const auto Peer =
        RawPeer::open(Context, Cluster_.port(Listener::AgentPeers, 0), false);
    Peer->send(
        hello("entry0@" + std::to_string(At.time_since_epoch().count())));
    Peer->endSending();
    ++Guesses;
  }
  BOOST_TEST_MESSAGE("guesses=" << Guesses);
  BOOST_TEST(Status.get_future().get() == 200);
  Cluster_.run([&] {
    BOOST_TEST(Starts == 1u);
    Cluster_.minion(0).OnStart_ = [](const auto &) {};
  });
}

BOOST_AUTO_TEST_SUITE_END()
