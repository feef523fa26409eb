/// \file
/// \brief Tests the guarantees to callers when an agent is suspended and
/// resumed.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

constexpr seconds SuspendTime{10};
constexpr seconds RejoinTimeout{10};

} // namespace

/// Guards against a home or agent that resumes with a stale agent map and
/// starts tasks that other processes have already ended.
BOOST_AUTO_TEST_CASE(agent_frozen_and_continued) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Cluster_.signal("agent-1", SIGSTOP);
  Run.load(SuspendTime);
  Run.Cluster_.signal("agent-1", SIGCONT);
  BOOST_TEST(Run.Cluster_.waitReady(RejoinTimeout));
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.6);
  Run.checkRecovered(Recovered);
}
