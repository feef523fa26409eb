/// \file
/// \brief Tests that docs/metrics.md lists exactly the exposed series, and that
/// state changes are logged and counted.
#include "standins/job_cluster.h"
#include "standins/temporary_directory.h"

#include "wigeonwall/process/configuration/store_monitor.h"
#include "wigeonwall/process/observation/log.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/process/roles/role_context.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace wigeonwall;
using process::MemberState;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

std::set<std::string> documentedNames() {
  std::set<std::string> Names;
  std::istringstream Lines(readFile("docs/metrics.md"));
  const std::regex Row("^\\| `(wigeonwall_[a-z_]+).*");
  for (std::string Line; std::getline(Lines, Line);)
    if (std::smatch Match; std::regex_match(Line, Match, Row))
      Names.insert(Match[1]);
  return Names;
}

/// Names without labels; the three series of a histogram count as one.
std::set<std::string> exposedNames(const std::string &Text) {
  std::set<std::string> Names;
  std::istringstream Lines(Text);
  const std::regex Suffix("_seconds_(bucket|sum|count)$");
  for (std::string Line; std::getline(Lines, Line);)
    Names.insert(std::regex_replace(Line.substr(0, Line.find_first_of("{ ")),
                                    Suffix, "_seconds"));
  return Names;
}

/// Fails every call while Down_ is set.
class FlakyStore : public connection::KeyValueStore {
public:
  void read(const std::string &, ReadCallback Done) override {
    if (Down_)
      return Done(std::nullopt, {connection::StoreError::Unknown, "down", ""});
    Done(connection::StoreEntry{}, {});
  }
  void watch(const std::string &Key, std::uint64_t, std::chrono::milliseconds,
             ReadCallback Done) override {
    read(Key, std::move(Done));
  }
  void compareAndSwap(const std::string &, std::string, std::uint64_t,
                      SwapCallback) override {}
  bool Down_ = false;
};

process::Member member(const std::string &Id, MemberState State) {
  process::Member Result;
  Result.Id_ = Id;
  Result.State_ = State;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_documentation_lists_the_exposed_metrics) {
  const standins::TemporaryDirectory Files;
  standins::JobCluster Cluster({.TraceFile_ = Files.file("spans")});
  Cluster.submit("e0", Cluster.job("j", 2, 100));
  Cluster.time().advance(std::chrono::seconds(2));
  // Register the metrics of components that the cluster does not contain.
  process::Counters &Registry = Cluster.counters();
  FlakyStore Store;
  const process::StoreMonitor Monitor(Store, Registry);
  const process::ViewMetrics View(Registry);
  const auto Observer = process::makeMessageObserver(Registry);
  Registry.counter("store_calls_total").store(1);
  process::HomeMetrics(Registry).setEjected({"a0"});
  BOOST_TEST(documentedNames() == exposedNames(Registry.exposition()),
             boost::test_tools::per_element());
  BOOST_TEST(Registry.exposition().find(
                 "wigeonwall_job_seconds_count{kind=\"permit-desk/"
                 "setback-check\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknown_kinds_create_no_series) {
  process::Counters Registry;
  process::KindHistograms Histograms(Registry, "job_seconds");
  const version::Config Config;
  Histograms.recordConfigured("s", "invented", &Config, {});
  BOOST_TEST(Registry.exposition().empty());
}

BOOST_AUTO_TEST_CASE(each_state_change_is_logged_once) {
  const standins::TemporaryDirectory Files;
  BOOST_REQUIRE(process::startLog("a0", Files.file("log")));
  process::Counters Registry;
  process::ViewMetrics Metrics(Registry);
  process::ClusterView View;
  View.Members_ = {member("a1", MemberState::Alive)};
  Metrics.update(View);
  Metrics.update(View);
  // A suspicion that is withdrawn is not logged.
  for (const MemberState State : {MemberState::Suspect, MemberState::Alive,
                                  MemberState::Suspect, MemberState::Dead}) {
    View.Members_ = {member("a1", State)};
    Metrics.update(View);
  }
  version::AgentMap Map;
  Map.Epoch_ = 3;
  View.Map_ = std::make_shared<const version::AgentMap>(Map);
  Metrics.update(View);
  FlakyStore Store;
  process::StoreMonitor Monitor(Store, Registry);
  const auto Read = [&](bool Down) {
    Store.Down_ = Down;
    Monitor.read("k", [](auto, auto) {});
  };
  for (const bool Down : {true, false, true, true, true, true, false, false})
    Read(Down);
  process::GatewayMetrics Gateway(Registry, "permit-desk");
  for (const auto State :
       {request::HealthState::Ejected, request::HealthState::Probing,
        request::HealthState::Healthy})
    Gateway.updateHealth(State);
  std::vector<std::string> Events;
  std::istringstream Lines(readFile(Files.file("log")));
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Start = Line.find("event=") + 6;
    Events.push_back(Line.substr(Start, Line.find(' ', Start) - Start));
  }
  const std::vector<std::string> Expected{
      "member_joined",     "member_dead",     "map_epoch_changed",
      "store_unreachable", "store_reachable", "minion_ejected",
      "minion_readmitted"};
  BOOST_TEST(Events == Expected, boost::test_tools::per_element());
}
