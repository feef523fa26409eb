/// \file
/// \brief End-to-end test in platform mode: the real programs as separate
/// processes with a stand-in store and minions, including kills and outages.
#include "standins/platform_cluster.h"
#include "wigeonwallctl/command.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <sstream>

using namespace wigeonwall;
using namespace wigeonwall::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Agents = 3;

struct Fixture {
  PlatformCluster Cluster_{{}};
  int NextJob_ = 0;

  Fixture() {
    Cluster_.configure(1);
    for (std::size_t I = 0; I < Agents; ++I)
      Cluster_.startAgent(I);
    Cluster_.startEntry(0);
    BOOST_REQUIRE(Cluster_.waitReady(5s));
    BOOST_REQUIRE(waitJobServed());
  }

  std::future<connection::HttpResult> submit(int Tasks) {
    CallerJob Job;
    Job.Id_ = jobId(0, ++NextJob_);
    Job.Tasks_ = Tasks;
    auto Result = std::make_shared<std::promise<connection::HttpResult>>();
    Cluster_.submit(0, Job, [Result](auto Reply) { Result->set_value(Reply); });
    return Result->get_future();
  }

  /// Waits until a job succeeds: the entry reports ready with its first agent,
  /// before any minion is known.
  bool waitJobServed() {
    for (int I = 0; I < 100; ++I) {
      if (PlatformCluster::statusOf(submit(3).get()) == 200)
        return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Submits jobs and returns the numbers of answers by status; status 0 counts
  /// jobs without an answer. Calls \p Meanwhile after each submission.
  std::map<int, int> load(int Jobs, std::chrono::milliseconds Pause,
                          const std::function<void(int)> &Meanwhile) {
    std::vector<std::future<connection::HttpResult>> Replies;
    for (int I = 0; I < Jobs; ++I) {
      Replies.push_back(submit(2));
      Meanwhile(I);
      std::this_thread::sleep_for(Pause);
    }
    std::map<int, int> Counts;
    for (auto &Each : Replies)
      ++Counts[PlatformCluster::statusOf(Each.get())];
    return Counts;
  }

  void checkMinions() {
    Cluster_.run([this] {
      for (std::size_t I = 0; I < Agents; ++I)
        BOOST_TEST(Cluster_.minion(I).Breaches_.empty());
    });
  }
};

/// Two entries and one agent.
struct TwoEntries : PlatformCluster {
  std::future<connection::HttpResult> Answer_;

  TwoEntries() : PlatformCluster(options()) {
    configure(1);
    startAgent(0);
    startEntry(0);
    startEntry(1);
    BOOST_REQUIRE(waitReady(5s));
    std::size_t Registered = 0;
    for (int I = 0; I < 100 && Registered < 2; ++I) {
      run([&] { Registered = store().count("wigeonwall/entries/"); });
      std::this_thread::sleep_for(20ms);
    }
    BOOST_REQUIRE(Registered == 2u);
  }

  static PlatformClusterOptions options() {
    PlatformClusterOptions Options;
    Options.Entries_ = 2;
    Options.Agents_ = 1;
    return Options;
  }

  std::size_t running() {
    std::size_t Result = 0;
    run([&] { Result = minion(0).running(); });
    return Result;
  }

  /// Submits jobs of 2 s at the first entry until one runs, and returns its id.
  /// Shorter jobs may end before a busy machine has sent the next request.
  std::string startLongJob() {
    run([&] { minion(0).RunTime_ = 2s; });
    CallerJob Job;
    Job.Estimate_ = 2s;
    for (int I = 1; I < 100 && running() == 0; ++I) {
      Job.Id_ = jobId(1, I);
      auto Result = std::make_shared<std::promise<connection::HttpResult>>();
      Answer_ = Result->get_future();
      submit(0, Job, [Result](auto Reply) { Result->set_value(Reply); });
      while (running() == 0 &&
             Answer_.wait_for(10ms) != std::future_status::ready)
        continue;
      if (running() == 0)
        std::this_thread::sleep_for(50ms);
    }
    BOOST_REQUIRE(running() == 1u);
    return Job.Id_;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_path, Fixture)

BOOST_AUTO_TEST_CASE(steady_load_completes) {
  const auto Counts = load(60, 20ms, [](int) {});
  BOOST_TEST(Counts.at(200) == 60);
  checkMinions();
}

// The command, the entry's address for other processes and both of its threads.
BOOST_AUTO_TEST_CASE(an_entry_explains_a_placement) {
  const auto Run = [this](const std::string &Path, const std::string &Tasks,
                          const std::vector<std::string> &Options = {}) {
    std::ostringstream Out;
    std::ostringstream Err;
    std::vector<std::string> Words{
        "explain",       "--entry",     Cluster_.entryPeersAddress(0),
        "--host",        "h.example",   "--cpu",
        "3000",          "--memory-mb", "64",
        "--run-time-ms", "100",         "--tasks",
        Tasks,           Path};
    Words.insert(Words.end(), Options.begin(), Options.end());
    const int Code = ctl::runCommand(Words, {Out, Err});
    return std::pair(Code, Out.str() + Err.str());
  };
  const auto [Accepted, Text] = Run("/q/", "3");
  BOOST_TEST(Accepted == 0, Text);
  BOOST_TEST(Text.find("agent0") != std::string::npos, Text);
  BOOST_TEST_MESSAGE(Text);
  const auto [Refused, Cause] = Run("/q/", "200");
  BOOST_TEST(Refused == 1, Cause);
  BOOST_TEST_MESSAGE(Cause);
  const auto [Ruled, Reasons] = Run("/q/", "3", {"--label", "absent"});
  BOOST_TEST(Ruled == 1, Reasons);
  BOOST_TEST(Reasons.find("label_missing") != std::string::npos, Reasons);
  BOOST_TEST_MESSAGE(Reasons);
  BOOST_TEST(Run("/unknown/", "3").first == 2);
  const auto Counts = load(10, 20ms, [](int) {});
  BOOST_TEST(Counts.at(200) == 10);
}

BOOST_AUTO_TEST_CASE(killed_agent_fails_few_jobs) {
  const auto Counts = load(100, 20ms, [this](int I) {
    if (I == 30)
      Cluster_.agent(0).signal(SIGKILL);
    if (I == 50)
      Cluster_.startAgent(0);
  });
  BOOST_TEST(Counts.at(200) >= 90);
  checkMinions();
}

BOOST_AUTO_TEST_CASE(store_outage_fails_no_job) {
  const auto Counts = load(60, 20ms, [this](int I) {
    if (I == 10 || I == 50)
      Cluster_.run([this, I] { Cluster_.store().Unavailable_ = I == 10; });
  });
  BOOST_TEST(Counts.at(200) == 60);
}

BOOST_AUTO_TEST_CASE(lost_replies_do_not_exceed_capacity) {
  Cluster_.run([this] {
    for (std::size_t I = 0; I < Agents; ++I) {
      Cluster_.minion(I).StartFaults_ = {
          CallFault::None, CallFault::AppliedLate, CallFault::ReplyLost,
          CallFault::None, CallFault::AppliedLate};
      Cluster_.minion(I).HoldFaults_ = {CallFault::None, CallFault::ReplyLost};
    }
  });
  const auto Counts = load(60, 15ms, [](int) {});
  BOOST_TEST(Counts.at(200) >= 55);
  checkMinions();
}

BOOST_AUTO_TEST_CASE(graceful_entry_stop_answers_all_jobs) {
  const auto Counts = load(40, 10ms, [this](int I) {
    if (I == 20)
      Cluster_.entry(0).signal(SIGTERM);
  });
  BOOST_TEST(Counts.count(0) == 0u);
  BOOST_TEST(Cluster_.entry(0).waitExit(5s).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(new_config_version_is_applied) {
  BOOST_TEST(Cluster_.requestStatus(0, "GET", "/new/") == 404);
  Cluster_.configure(2, "/new/");
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(Cluster_.requestStatus(0, "GET", "/new/") == 200);
}

BOOST_AUTO_TEST_SUITE_END()

// A cancellation at another entry than the one with the job was answered as if
// there were no such job, and the job ran on.
BOOST_AUTO_TEST_CASE(a_job_is_cancelled_at_another_entry) {
  TwoEntries Cluster;
  const std::string Job = Cluster.startLongJob();
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + Job) == 200);
  BOOST_TEST(PlatformCluster::statusOf(Cluster.Answer_.get()) == 504);
  BOOST_TEST(Cluster.running() == 0u);
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + jobId(2, 1)) == 410);
}

// The cancellation of a job whose route had been removed was answered 404, and
// the job ran on.
BOOST_AUTO_TEST_CASE(a_job_of_a_removed_route_is_cancelled) {
  TwoEntries Cluster;
  const std::string Job = Cluster.startLongJob();
  Cluster.configure(2, "/other/");
  for (int I = 0; I < 50 && Cluster.requestStatus(1, "GET", "/q/") != 404; ++I)
    std::this_thread::sleep_for(20ms);
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + Job) == 410);
  BOOST_TEST(PlatformCluster::statusOf(Cluster.Answer_.get()) == 504);
  BOOST_TEST(Cluster.running() == 0u);
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + jobId(2, 1)) == 404);
}

// An entry that was stopping had withdrawn its key at once, so that a
// cancellation of its job at another entry was answered as if there were no
// such job.
BOOST_AUTO_TEST_CASE(a_job_of_a_stopping_entry_is_cancelled_at_another_entry) {
  TwoEntries Cluster;
  const std::string Job = Cluster.startLongJob();
  Cluster.entry(0).signal(SIGTERM);
  std::this_thread::sleep_for(600ms);
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + Job) == 200);
  BOOST_TEST(PlatformCluster::statusOf(Cluster.Answer_.get()) == 504);
  BOOST_TEST(Cluster.entry(0).waitExit(5s).value_or(-1) == 0);
  BOOST_TEST(Cluster.requestStatus(1, "DELETE", "/q/" + Job) == 410);
}
