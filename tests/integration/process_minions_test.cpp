/// \file
/// \brief Tests the guarantees to callers when minions are killed or fail all
/// tasks.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Upper bound on the starts at a failing minion, relative to the mean of the
/// other minions. Without ejection it receives more than they do, because it is
/// idle.
constexpr double MaxFailingStartRatio = 0.25;

} // namespace

/// Guards against tasks that run again after their minion was killed, and
/// against an agent that does not resume work when its minion restarts.
BOOST_AUTO_TEST_CASE(minion_killed_and_restarted) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.kill("minion-agent-4");
  Run.load(seconds(3));
  const std::size_t Starts = Run.Cluster_.starts("agent-4").size();
  Run.Cluster_.startProcess("minion-agent-4");
  Run.load(seconds(5));
  BOOST_TEST(Run.Cluster_.starts("agent-4").size() > Starts);
  Run.check(0.8);
}

/// A minion that fails each task at once appears idle, and load-based placement
/// would send it all tasks.
BOOST_AUTO_TEST_CASE(failing_minion_attracts_no_work) {
  FailureRun Run;
  Run.load(seconds(2));
  const auto Count = [&](const std::string &Agent) {
    return static_cast<double>(Run.Cluster_.starts(Agent).size());
  };
  Json::Value Faults;
  Faults["fail_all"] = true;
  Run.Cluster_.setMinionFaults("agent-5", Faults);
  std::map<std::string, double> Before;
  for (const std::string &Agent : Run.Cluster_.agents())
    Before[Agent] = Count(Agent);
  Run.load(seconds(10));
  double Others = 0;
  for (const std::string &Agent : Run.Cluster_.agents())
    if (Agent != "agent-5")
      Others += Count(Agent) - Before[Agent];
  const double Failing = Count("agent-5") - Before["agent-5"];
  BOOST_TEST_MESSAGE("starts in 10 s: failing minion "
                     << Failing << ", mean of the others " << Others / 5);
  BOOST_TEST(Failing <= MaxFailingStartRatio * Others / 5);
  Run.check(0.7);
}
