/// \file
/// \brief Guards the spread of configuration versions to real processes, also
/// around outages of the key-value service, lost replies and racing operators.
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

constexpr milliseconds SpreadTime{2'000};
constexpr milliseconds CtlTime{10'000};
constexpr milliseconds WatchPeriod{20};

/// \brief Watches `/status` of some processes for versions that go down.
///
/// A process that has no document yet reports 0; any other version below one
/// that it showed before, also before a restart, is a reversal.
class VersionWatch {
public:
  explicit VersionWatch(const ProcessCluster &Cluster,
                        std::vector<std::string> Names)
      : Thread_([this, &Cluster, Names = std::move(Names)] {
          while (!Ended_) {
            for (const std::string &Name : Names)
              look(Cluster, Name);
            std::this_thread::sleep_for(WatchPeriod);
          }
        }) {}
  ~VersionWatch() { end(); }
  VersionWatch(const VersionWatch &) = delete;
  VersionWatch &operator=(const VersionWatch &) = delete;

  /// \brief Ends the watch; returns the reversals.
  const std::vector<std::string> &end() {
    Ended_ = true;
    if (Thread_.joinable())
      Thread_.join();
    return Reversals_;
  }

private:
  void look(const ProcessCluster &Cluster, const std::string &Name) {
    const auto View = Cluster.status(Name);
    const auto Version = View ? (*View)["config_version"].asUInt64() : 0;
    if (Version != 0 && Version < Highest_[Name])
      Reversals_.push_back(Name + " went from version " +
                           std::to_string(Highest_[Name]) + " to " +
                           std::to_string(Version));
    Highest_[Name] = std::max<std::uint64_t>(Highest_[Name], Version);
  }

  std::atomic<bool> Ended_{false};
  std::map<std::string, std::uint64_t> Highest_;
  std::vector<std::string> Reversals_;
  std::thread Thread_;
};

struct Fixture {
  Fixture() {
    Cluster_.start();
    Watch_ = std::make_unique<VersionWatch>(Cluster_, Cluster_.runningNodes());
  }
  ~Fixture() {
    for (const std::string &Each : Watch_->end())
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
  /// Arguments that apply a document unlike all others.
  std::vector<std::string> edit() {
    Json::Value Document = ProcessCluster::baseConfig();
    Document["services"][0]["kinds"][0]["queue_limit"] = 1'000 + ++Edits_;
    const std::string Name = "edit-" + std::to_string(Edits_) + ".json";
    return {"config", "apply", Cluster_.writeConfig(Document, Name), "--store",
            Cluster_.storeAddress()};
  }
  /// Applies an edit and returns the time until it is in force everywhere,
  /// from before the command; nothing when that takes too long.
  std::optional<milliseconds> spread(std::uint64_t Version) {
    const auto Start = steady_clock::now();
    BOOST_TEST(Cluster_.runCtl(edit(), CtlTime).value_or(-1) == 0);
    if (!ProcessCluster::waitFor(SpreadTime, [&] { return allHave(Version); }))
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
  std::unique_ptr<VersionWatch> Watch_;
  int Edits_ = 0;
};

} // namespace

/// A version that reaches some processes late or never.
BOOST_FIXTURE_TEST_CASE(versions_spread_within_two_seconds, Fixture) {
  milliseconds Longest{0};
  for (std::uint64_t Version = 2; Version <= 21; ++Version) {
    const auto Time = spread(Version);
    BOOST_TEST_CONTEXT("version " << Version)
    BOOST_TEST((Time && *Time <= SpreadTime));
    Longest = std::max(Longest, Time.value_or(SpreadTime));
  }
  BOOST_TEST_MESSAGE("longest spread " << Longest.count() << " ms");
}

/// A version that is lost in an outage, and a process that starts in one and
/// takes an older version or none.
BOOST_FIXTURE_TEST_CASE(version_stays_in_an_outage, Fixture) {
  BOOST_TEST(spread(2).has_value());
  setDown(true);
  BOOST_TEST(Cluster_.runCtl(edit(), CtlTime).value_or(-1) == 4);
  for (const char *Name : {"agent-0", "entry-0"}) {
    Cluster_.signal(Name, SIGKILL);
    Cluster_.startProcess(Name);
  }
  BOOST_TEST(ProcessCluster::waitFor(seconds(5), [&] { return allHave(2); }));
  const auto End = steady_clock::now() + seconds(3);
  while (steady_clock::now() < End) {
    BOOST_REQUIRE(allHave(2));
    std::this_thread::sleep_for(WatchPeriod);
  }
  setDown(false);
  // The watches reconnect first; an edit in an outage has no bound.
  BOOST_TEST(Cluster_.waitReady(seconds(15)));
  BOOST_TEST(spread(3).has_value());
}

/// An operator who is told of a failure after a lost reply and repeats an edit
/// that took effect, or an edit that is written twice.
BOOST_FIXTURE_TEST_CASE(lost_reply_applies_once, Fixture) {
  Json::Value Faults;
  Faults["lose_write_replies"] = 1;
  Cluster_.setStoreFaults(Faults);
  BOOST_TEST(spread(2).has_value());
  std::this_thread::sleep_for(SpreadTime);
  BOOST_TEST(allHave(2));
  BOOST_TEST(spread(3).has_value());
}

/// Two operators who edit the same version: the second must learn of the first
/// and not undo its edit.
BOOST_FIXTURE_TEST_CASE(racing_operators_have_one_winner, Fixture) {
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
      Codes.push_back(Each->waitExit(CtlTime).value_or(-1));
    std::sort(Codes.begin(), Codes.end());
    BOOST_TEST(Codes == (std::vector<int>{0, 1}),
               boost::test_tools::per_element());
    BOOST_TEST(ProcessCluster::waitFor(SpreadTime,
                                       [&] { return allHave(Version + 1); }));
  }
}
