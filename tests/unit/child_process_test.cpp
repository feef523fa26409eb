/// \file
/// \brief Tests that child processes do not change what other processes see.
#include "standins/child_process.h"
#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace wigeonwall::standins;

// The children of the soak kept the connections of its callers open, so that
// the entries did not notice that a caller had left.
BOOST_AUTO_TEST_CASE(a_child_keeps_no_connection_of_its_parent_open) {
  std::array<int, 2> Ends{};
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0);
  const TemporaryDirectory Files;
  ChildProcess Child({"/bin/sleep", "60"}, Files.file("log"));
  close(Ends[0]);
  pollfd End{Ends[1], POLLRDHUP, 0};
  BOOST_TEST(poll(&End, 1, 5'000) == 1);
  BOOST_TEST(Child.running());
  close(Ends[1]);
}
