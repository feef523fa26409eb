/// \file
/// \brief Guards the work of the system while the key-value service is down.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Jobs that could not start in the outage count as load until their deadline.
constexpr seconds LongestJob{6};

Json::Value down() {
  Json::Value Faults;
  Faults["down"] = true;
  return Faults;
}

} // namespace

/// Starts that depend on the service, and jobs whose home dies while the map
/// cannot change.
BOOST_AUTO_TEST_CASE(service_down_and_agent_killed) {
  FailureRun Run;
  Run.load(seconds(1));
  Run.Cluster_.setStoreFaults(down());
  Run.load(seconds(5));
  Run.kill("agent-2");
  Run.load(seconds(10));
  Run.Cluster_.setStoreFaults(Json::objectValue);
  // The five remaining agents must agree on a map without the killed one.
  BOOST_TEST(Run.Cluster_.waitReady(seconds(10)));
  Run.load(LongestJob);
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.6);
  Run.checkRecovered(Recovered);
}

/// Processes that give up, or never form a system, when the service is down
/// at their start.
BOOST_AUTO_TEST_CASE(service_down_at_the_start) {
  FailureRun Run(FailureRun::Manual{}, {});
  auto &Cluster = Run.Cluster_;
  for (const std::string &Agent : Cluster.agents())
    Cluster.startProcess("minion-" + Agent);
  for (const auto &Names : {Cluster.agents(), Cluster.entries()})
    for (const std::string &Name : Names)
      Cluster.startProcess(Name);
  // Callers keep asking until the system has formed.
  Run.startLoad(Cluster.entries(), seconds(20));
  Run.load(seconds(3));
  for (const std::string &Name : Cluster.agents())
    BOOST_TEST(!Cluster.ready(Name));
  Cluster.startProcess("store");
  const std::string Config =
      Cluster.writeConfig(Cluster.baseConfig(), "config.json");
  BOOST_TEST(Cluster.waitFor(seconds(5), [&] {
    return Cluster.runCtl(
               {"config", "apply", Config, "--store", Cluster.storeAddress()},
               seconds(5)) == 0;
  }));
  BOOST_TEST(Cluster.waitReady(seconds(15)));
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.9);
  Run.checkRecovered(Recovered);
}
