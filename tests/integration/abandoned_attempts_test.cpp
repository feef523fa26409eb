/// \file
/// \brief Checks with the real programs that no task starts for a caller that
/// no longer waits.
#include "standins/platform_cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace wigeonwall::standins;
using namespace std::chrono_literals;

namespace {

/// One entry and two agents; minion 0 can be cut off from its agent.
struct Fixture : PlatformCluster {
  int NextJob_ = 0;

  Fixture() : PlatformCluster(options()) {
    configure(1);
    startAgent(0);
    startAgent(1);
    startEntry(0);
    BOOST_REQUIRE(waitReady(5s));
    BOOST_REQUIRE(waitBothServe());
  }

  static PlatformClusterOptions options() {
    PlatformClusterOptions Options;
    Options.Agents_ = 2;
    return Options;
  }

  /// Submits a job whose caller leaves after \p ClientTimeout; returns the
  /// status of the answer, or 0 if there was none.
  int submitOnce(const std::string &Id, int Tasks,
                 std::chrono::milliseconds ClientTimeout) {
    CallerJob Job;
    Job.Id_ = Id;
    Job.Tasks_ = Tasks;
    Job.ClientTimeout_ = Job.Deadline_ = ClientTimeout;
    std::promise<wigeonwall::connection::HttpResult> Reply;
    submit(0, Job, [&Reply](auto Result) { Reply.set_value(Result); });
    return statusOf(Reply.get_future().get());
  }

  int starts(std::size_t Minion, const std::string &Id) {
    int Result = 0;
    run([&] {
      for (const auto &[Task, Count] : minion(Minion).Starts_)
        if (Task.starts_with(Id))
          Result += Count;
    });
    return Result;
  }

  bool waitBothServe() {
    for (int I = 0; I < 100; ++I) {
      const std::string Id = jobId(0, ++NextJob_);
      if (submitOnce(Id, 8, 2s) == 200 && starts(0, Id) > 0 &&
          starts(1, Id) > 0)
        return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Holds all messages between minion 0 and its agent.
  void cutMinion(bool Cut) {
    RelayFaults Faults;
    Faults.HoldRequests_ = Faults.HoldReplies_ = Cut;
    run([&] {
      relay(Hop::AgentToMinion, 0).setFaults(Faults);
      relay(Hop::MinionToAgent, 0).setFaults(Faults);
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(abandoned_attempts, Fixture)

// A resubmission waited until the first attempt, with a start that had no
// reply, had ended. It was started although its caller had left long before.
BOOST_AUTO_TEST_CASE(a_resubmission_is_not_started_after_its_caller_has_left) {
  const std::string Id = jobId(1, 1);
  cutMinion(true);
  BOOST_REQUIRE(submitOnce(Id, 8, 400ms) != 200);
  const int FirstAttempt = starts(1, Id);
  BOOST_REQUIRE(FirstAttempt > 0);
  std::this_thread::sleep_for(1'300ms);
  BOOST_TEST(submitOnce(Id, 8, 400ms) != 200);
  std::this_thread::sleep_for(300ms);
  cutMinion(false);
  std::this_thread::sleep_for(3s);
  BOOST_TEST(starts(1, Id) == FirstAttempt);
  BOOST_TEST(starts(0, Id) == 0);
}

// Requests that arrived while the process stood still, and whose callers have
// left, are read together with the end of their connections.
BOOST_AUTO_TEST_CASE(a_request_read_after_its_caller_has_left_is_not_started) {
  entry(0).signal(SIGSTOP);
  std::vector<std::string> Ids;
  for (int I = 1; I <= 10; ++I)
    Ids.push_back(jobId(2, I));
  for (const std::string &Id : Ids)
    BOOST_TEST(submitOnce(Id, 4, 100ms) == 0);
  entry(0).signal(SIGCONT);
  std::this_thread::sleep_for(2s);
  for (const std::string &Id : Ids)
    BOOST_TEST(starts(0, Id) + starts(1, Id) == 0);
  BOOST_TEST(waitBothServe());
}

BOOST_AUTO_TEST_SUITE_END()
