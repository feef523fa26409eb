/// \file
/// \brief Guards the promises to callers when an agent is frozen and returns.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

constexpr seconds FreezeTime{10};
constexpr seconds RejoinTime{10};

} // namespace

/// A home or agent that wakes up with a stale map and starts tasks that others
/// have closed.
BOOST_AUTO_TEST_CASE(agent_frozen_and_continued) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Cluster_.signal("agent-1", SIGSTOP);
  Run.load(FreezeTime);
  Run.Cluster_.signal("agent-1", SIGCONT);
  BOOST_TEST(Run.Cluster_.waitReady(RejoinTime));
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.6);
  Run.checkRecovered(Recovered);
}
