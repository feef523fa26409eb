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

BOOST_AUTO_TEST_CASE(explained_jobs_of_many_values_do_not_grow) {
  checkWithSockets(Listener::EntryPeers, 60,
                   {wholeRequest("/explain", nestedArrays(64 * 1024)), "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
