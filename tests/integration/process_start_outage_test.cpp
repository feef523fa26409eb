/// \file
/// \brief Tests cluster startup when the key-value service becomes available
/// late.
#include "failure_run.h"

using namespace wigeonwall::integration;

/// Guards against processes that exit, or never form a cluster, when the
/// key-value service is unavailable at startup.
BOOST_AUTO_TEST_CASE(service_down_at_the_start) {
  FailureRun Run(FailureRun::ManualStart{}, {});
  auto &Cluster = Run.Cluster_;
  for (const std::string &Agent : Cluster.agents())
    Cluster.startProcess("minion-" + Agent);
  for (const auto &Names : {Cluster.agents(), Cluster.entries()})
    for (const std::string &Name : Names)
      Cluster.startProcess(Name);
  // The timeout lets callers retry until the cluster has formed.
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
