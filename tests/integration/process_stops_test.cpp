/// \file
/// \brief Guards planned stops and restarts of agents under load.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Longest time in which a leaving agent may still start tasks.
constexpr seconds LastStart{2};
/// Covers the longest task and the transfer of the last results.
constexpr seconds StopTime{15};
constexpr seconds ReadyTime{10};
/// Jobs created within this time after two restarts may count as lost, because
/// clocks decide whether an ended process can have known them.
constexpr seconds ClockTolerance{5};

} // namespace

/// A stop that loses running tasks or takes new ones.
BOOST_AUTO_TEST_CASE(agent_stopped) {
  FailureRun Run;
  Run.load(seconds(2));
  BOOST_TEST(!Run.Cluster_.starts("agent-3").empty());
  Run.Cluster_.signal("agent-3", SIGTERM);
  Run.load(LastStart);
  const std::size_t Starts = Run.Cluster_.starts("agent-3").size();
  BOOST_TEST(Run.Cluster_.waitExit("agent-3", StopTime).value_or(-1) == 0);
  Run.load(seconds(2));
  BOOST_TEST(Run.Cluster_.starts("agent-3").size() == Starts);
  Run.check(0.95);
}

/// Restarts one after the other that lose records or tasks, or come back as
/// strangers under their own id.
BOOST_AUTO_TEST_CASE(all_agents_restarted) {
  FailureRun Run;
  Run.load(seconds(1));
  for (const std::string &Agent : Run.Cluster_.agents()) {
    Run.Cluster_.signal(Agent, SIGTERM);
    BOOST_TEST_CONTEXT(Agent)
    BOOST_TEST(Run.Cluster_.waitExit(Agent, StopTime).value_or(-1) == 0);
    Run.Cluster_.startProcess(Agent);
    BOOST_TEST(Run.Cluster_.waitReady(ReadyTime));
  }
  Run.load(ClockTolerance + seconds(1));
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.5);
  Run.checkRecovered(Recovered);
}
