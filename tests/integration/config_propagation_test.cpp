/// \file
/// \brief Tests the propagation of configuration versions to real processes,
/// also with key-value service outages, lost replies and concurrent operators.
#include "standins/process_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using wigeonwall::standins::ProcessCluster;

namespace {

constexpr milliseconds PropagationTimeout{2'000};
constexpr milliseconds CtlTimeout{10'000};
constexpr milliseconds PollInterval{20};

/// \brief Polls `/status` of processes and records decreasing versions.
///
/// A process without a configuration reports 0. Any other version below one
/// that the process reported earlier, even before a restart, is a regression.
class VersionMonitor {
public:
  explicit VersionMonitor(const ProcessCluster &Cluster,
                          std::vector<std::string> Names)
      : Thread_([this, &Cluster, Names = std::move(Names)] {
          while (!Stopped_) {
            for (const std::string &Name : Names)
              poll(Cluster, Name);
            std::this_thread::sleep_for(PollInterval);
          }
        }) {}
  ~VersionMonitor() { stop(); }
  VersionMonitor(const VersionMonitor &) = delete;
  VersionMonitor &operator=(const VersionMonitor &) = delete;

  /// \brief Stops polling and returns the regressions.
  const std::vector<std::string> &stop() {
    Stopped_ = true;
    if (Thread_.joinable())
      Thread_.join();
    return Regressions_;
  }

private:
  void poll(const ProcessCluster &Cluster, const std::string &Name) {
    const auto View = Cluster.status(Name);
    const auto Version = View ? (*View)["config_version"].asUInt64() : 0;
    if (Version != 0 && Version < Highest_[Name])
      Regressions_.push_back(Name + " regressed from version " +
                             std::to_string(Highest_[Name]) + " to " +
                             std::to_string(Version));
    Highest_[Name] = std::max<std::uint64_t>(Highest_[Name], Version);
  }

  std::atomic<bool> Stopped_{false};
  std::map<std::string, std::uint64_t> Highest_;
  std::vector<std::string> Regressions_;
  std::thread Thread_;
};

struct Fixture {
  Fixture() {
    Cluster_.start();
    Monitor_ =
        std::make_unique<VersionMonitor>(Cluster_, Cluster_.runningNodes());
  }
  ~Fixture() {
    for (const std::string &Each : Monitor_->stop())
      BOOST_ERROR(Each);
  }

  [[nodiscard]] std::uint64_t version(const std::string &Name) const {
    const auto View = Cluster_.status(Name);
    return View ? (*View)["config_version"].asUInt64() : 0;
  }
  [[nodiscard]] bool allHave(std::uint64_t Version) {
    const auto Names = Cluster_.runningNodes();
    return std::all_of(Names.begin(), Names.end(), [&](const auto &Name) {
      return version(Name) == Version;
    });
  }
  /// Returns the arguments that apply a configuration distinct from all earlier
  /// ones.
  std::vector<std::string> edit() {
    Json::Value Document = ProcessCluster::baseConfig();
    Document["services"][0]["kinds"][0]["queue_limit"] = 1'000 + ++Edits_;
    const std::string Name = "edit-" + std::to_string(Edits_) + ".json";
    return {"config", "apply", Cluster_.writeConfig(Document, Name), "--store",
            Cluster_.storeAddress()};
  }
  /// Applies an edit and returns the time from the start of the command until
  /// all processes use it, or nothing after PropagationTimeout.
  std::optional<milliseconds> propagate(std::uint64_t Version) {
    const auto Start = steady_clock::now();
    BOOST_TEST(Cluster_.runCtl(edit(), CtlTimeout).value_or(-1) == 0);
    if (!ProcessCluster::waitFor(PropagationTimeout,
                                 [&] { return allHave(Version); }))
      return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    Start);
  }
  void setDown(bool Down) {
    Json::Value Faults;
    Faults["down"] = Down;
    Cluster_.setStoreFaults(Faults);
  }

  ProcessCluster Cluster_{{}};
  std::unique_ptr<VersionMonitor> Monitor_;
  int Edits_ = 0;
};

} // namespace

/// Guards against a version that reaches some processes late or never.
BOOST_FIXTURE_TEST_CASE(versions_propagate_within_two_seconds, Fixture) {
  milliseconds Longest{0};
  for (std::uint64_t Version = 2; Version <= 21; ++Version) {
    const auto Time = propagate(Version);
    BOOST_TEST_CONTEXT("version " << Version)
    BOOST_TEST((Time && *Time <= PropagationTimeout));
    Longest = std::max(Longest, Time.value_or(PropagationTimeout));
  }
  BOOST_TEST_MESSAGE("longest propagation " << Longest.count() << " ms");
}

/// Guards against a version that is lost in an outage, and against a process
/// that starts during an outage with an older version or none.
BOOST_FIXTURE_TEST_CASE(version_stays_in_an_outage, Fixture) {
  BOOST_TEST(propagate(2).has_value());
  setDown(true);
  BOOST_TEST(Cluster_.runCtl(edit(), CtlTimeout).value_or(-1) == 4);
  for (const char *Name : {"agent-0", "entry-0"}) {
    Cluster_.signal(Name, SIGKILL);
    Cluster_.startProcess(Name);
  }
  BOOST_TEST(ProcessCluster::waitFor(seconds(5), [&] { return allHave(2); }));
  const auto End = steady_clock::now() + seconds(3);
  while (steady_clock::now() < End) {
    BOOST_REQUIRE(allHave(2));
    std::this_thread::sleep_for(PollInterval);
  }
  setDown(false);
  // The propagation bound does not apply to edits made during an outage, so
  // the watches must reconnect first.
  BOOST_TEST(Cluster_.waitReady(seconds(15)));
  BOOST_TEST(propagate(3).has_value());
}

/// Guards against reporting a failure when only the reply of a write was lost,
/// so that an operator repeats an edit that took effect, and against writing an
/// edit twice.
BOOST_FIXTURE_TEST_CASE(lost_reply_applies_once, Fixture) {
  Json::Value Faults;
  Faults["lose_write_replies"] = 1;
  Cluster_.setStoreFaults(Faults);
  BOOST_TEST(propagate(2).has_value());
  std::this_thread::sleep_for(PropagationTimeout);
  BOOST_TEST(allHave(2));
  BOOST_TEST(propagate(3).has_value());
}

/// Two operators edit the same version: the second must be told of the conflict
/// and must not overwrite the edit of the first.
BOOST_FIXTURE_TEST_CASE(concurrent_edits_have_one_winner, Fixture) {
  for (std::uint64_t Version = 1; Version <= 5; ++Version) {
    std::vector<std::unique_ptr<wigeonwall::standins::ChildProcess>> Operators;
    for (int I = 0; I < 2; ++I) {
      auto Arguments = edit();
      Arguments.insert(Arguments.end(), {"--expect", std::to_string(Version)});
      Operators.push_back(Cluster_.startCtl(Arguments));
    }
    std::vector<int> Codes;
    Codes.reserve(Operators.size());
    for (const auto &Each : Operators)
      Codes.push_back(Each->waitExit(CtlTimeout).value_or(-1));
    std::sort(Codes.begin(), Codes.end());
    BOOST_TEST(Codes == (std::vector<int>{0, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(ProcessCluster::waitFor(PropagationTimeout,
                                       [&] { return allHave(Version + 1); }));
  }
}
