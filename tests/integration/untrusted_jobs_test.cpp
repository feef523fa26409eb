/// \file
/// \brief Whole requests whose content takes far more memory than its text: the
/// process stays within the memory of its machine and serves others.
#include "standins/untrusted_fixture.h"

using namespace std::chrono_literals;
using namespace wigeonwall::standins;

namespace {

constexpr std::size_t MaxBodyBytes = 1 << 20;

/// An array of arrays with one number; about 70 bytes in memory for each byte.
std::string nestedArrays(std::size_t Bytes) {
  return "[" + repeatText("[0],", Bytes - 5) + "0]";
}

std::string encodeJob(const std::string &Fields, int Count) {
  return R"({"spec":"x","best_effort":true,"steps":[{"count":)" +
         std::to_string(Count) + R"(,"estimated_ms":5000)" + Fields + "}]}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_jobs, UntrustedFixture)

// A body of 1 MiB took 70 MB when it was parsed.
BOOST_AUTO_TEST_CASE(bodies_of_many_values_do_not_grow) {
  checkWithSockets(
      Listener::Callers, 20,
      {wholeRequest("/q/" + jobId(8, 1), nestedArrays(MaxBodyBytes)), "", 0});
}

BOOST_AUTO_TEST_CASE(reports_of_many_values_do_not_grow) {
  checkWithSockets(
      Listener::Reports, 60,
      {wholeRequest("/api/instances/m", nestedArrays(256 * 1024)), "", 0});
}

// The agent polled each address that a report named, and kept the connection
// for as long as it had no answer.
BOOST_AUTO_TEST_CASE(reports_of_many_addresses_leave_descriptors_free) {
  namespace asio = wigeonwall::connection::asio;
  asio::io_context Context{1};
  // Accepts no connection, so that no poll is answered.
  asio::ip::tcp::acceptor Silent(Context, {asio::ip::address_v4::any(), 0},
                                 false);
  const std::string Port = std::to_string(Silent.local_endpoint().port());
  CrowdScript Script;
  Script.HeadOf_ = [&Port](std::size_t Client) {
    std::string Text;
    for (int I = 1; I <= 250; ++I) {
      const std::string Address = "127.1." + std::to_string(Client + 1) + "." +
                                  std::to_string(I) + ":" + Port;
      Text += wholeRequest(
          "/api/instances/m" + std::to_string(Client) + "-" + std::to_string(I),
          R"({"service":"permit-desk","address":")" + Address +
              R"(","zone":"z","state":"ready","capacity":{"cpu":1000,)"
              R"("ram_mb":100},"labels":[],"clock_ms":1,"sequence":1,)"
              R"("born":1})");
    }
    return Text;
  };
  checkWithSockets(Listener::Reports, 60, Script);
}

BOOST_AUTO_TEST_CASE(explained_jobs_of_many_values_do_not_grow) {
  checkWithSockets(Listener::EntryPeers, 60,
                   {wholeRequest("/explain", nestedArrays(64 * 1024)), "", 0});
}

// An accepted job kept every string of its body until its last task ended.
BOOST_AUTO_TEST_CASE(waiting_jobs_do_not_keep_their_body) {
  Cluster_.run([this] {
    Cluster_.minion(0).RunTimeOf_ = [](const std::string &Task) {
      return Task.starts_with(jobId(8, 0).substr(0, 8)) ? 5s : 100ms;
    };
    Cluster_.minion(0).Needs_ = {1, 1, 0};
  });
  CrowdScript Script;
  Script.HeadOf_ = [](std::size_t Client) {
    return wholeRequest("/q/" + jobId(8, static_cast<int>(Client)),
                        encodeJob(R"(,"cpu":1,"ram_mb":1,"preferred_rack":")" +
                                      std::string(150'000, 'r') + "\"",
                                  1));
  };
  checkWithSockets(Listener::Callers, 300, Script);
}

// A body of 100 bytes may ask for 10,000 tasks, each of which has a state.
BOOST_AUTO_TEST_CASE(jobs_of_many_tasks_are_bounded) {
  Cluster_.run([this] {
    Cluster_.minion(0).RunTimeOf_ = [](const std::string &Task) {
      return Task.starts_with(jobId(8, 0).substr(0, 8)) ? 5s : 100ms;
    };
    Cluster_.minion(0).Needs_ = {};
  });
  CrowdScript Script;
  Script.HeadOf_ = [](std::size_t Client) {
    return wholeRequest("/q/" + jobId(8, static_cast<int>(Client)),
                        encodeJob("", 10'000));
  };
  checkWithSockets(Listener::Callers, 60, Script);
  BOOST_TEST(Cluster_.agent(0).running());
  BOOST_TEST(peakResidentBytes(Cluster_.agent(0).id()) < MaxResidentBytes);
}

BOOST_AUTO_TEST_SUITE_END()
