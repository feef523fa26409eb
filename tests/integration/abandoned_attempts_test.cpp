/// \file
/// \brief Checks with the real programs that no task starts for a caller that
/// no longer waits, or that has cancelled its job.
#include "standins/platform_cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace wigeonwall::standins;
using namespace std::chrono_literals;

namespace {

/// Two entries and two agents; minion 0 can be cut off from its agent.
struct Fixture : PlatformCluster {
  int NextJob_ = 0;

  Fixture() : PlatformCluster(options()) {
    configure(1);
    startAgent(0);
    startAgent(1);
    startEntry(0);
    startEntry(1);
    BOOST_REQUIRE(waitReady(5s));
    BOOST_REQUIRE(waitBothServe());
  }

  static PlatformClusterOptions options() {
    PlatformClusterOptions Options;
    Options.Entries_ = 2;
    Options.Agents_ = 2;
    return Options;
  }

  /// Submits a job whose caller leaves after \p ClientTimeout. The result is
  /// the status of the answer, or 0 if there is none.
  std::future<int> submitAt(std::size_t Entry, const std::string &Id, int Tasks,
                            std::chrono::milliseconds ClientTimeout,
                            std::chrono::milliseconds Estimate = 100ms) {
    CallerJob Job;
    Job.Estimate_ = Estimate;
    Job.Id_ = Id;
    Job.Tasks_ = Tasks;
    Job.ClientTimeout_ = Job.Deadline_ = ClientTimeout;
    const auto Status = std::make_shared<std::promise<int>>();
    submit(Entry, Job,
           [Status](auto Result) { Status->set_value(statusOf(Result)); });
    return Status->get_future();
  }

  int submitOnce(const std::string &Id, int Tasks,
                 std::chrono::milliseconds ClientTimeout) {
    return submitAt(0, Id, Tasks, ClientTimeout).get();
  }

  std::size_t running(std::size_t Minion) {
    std::size_t Result = 0;
    run([&] { Result = minion(Minion).running(); });
    return Result;
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

// The first entry still had the remains of an attempt, answered 200 by itself,
// and the job ran on at the second entry.
BOOST_AUTO_TEST_CASE(a_cancellation_reaches_the_attempt_at_another_entry) {
  const std::string Id = jobId(3, 1);
  cutMinion(true);
  BOOST_REQUIRE(submitOnce(Id, 8, 400ms) != 200);
  std::this_thread::sleep_for(1'300ms);
  run([&] { minion(1).RunTime_ = 10s; });
  auto Answer = submitAt(1, Id, 2, 20s, 10s);
  for (int I = 0; I < 100 && running(1) == 0; ++I)
    std::this_thread::sleep_for(10ms);
  BOOST_REQUIRE(running(1) > 0u);
  BOOST_REQUIRE(requestStatus(0, "GET", "/q/" + Id) == 200);
  BOOST_TEST(requestStatus(0, "DELETE", "/q/" + Id) == 200);
  BOOST_REQUIRE((Answer.wait_for(2s) == std::future_status::ready));
  BOOST_TEST(Answer.get() == 504);
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(running(1) == 0u);
}

// A submission that was held up on its way ran although its job had been
// cancelled at another entry meanwhile.
BOOST_AUTO_TEST_CASE(a_submission_read_after_its_cancellation_is_not_started) {
  const std::string Id = jobId(4, 1);
  RelayFaults Held;
  Held.HoldRequests_ = true;
  run([&] { relay(Hop::CallerToEntry, 0).setFaults(Held); });
  auto Answer = submitAt(0, Id, 4, 5s);
  std::this_thread::sleep_for(200ms);
  BOOST_TEST(requestStatus(1, "DELETE", "/q/" + Id) == 410);
  run([&] { relay(Hop::CallerToEntry, 0).setFaults({}); });
  BOOST_TEST(Answer.get() == 503);
  BOOST_TEST(starts(0, Id) + starts(1, Id) == 0);
}

// The caller's time is not over, so only the end of its connection shows that
// it has left.
BOOST_AUTO_TEST_CASE(the_job_of_a_caller_that_leaves_ends) {
  run([&] {
    for (std::size_t I = 0; I < 2; ++I)
      minion(I).RunTime_ = 10s;
  });
  for (int Number = 1; Number <= 10; ++Number) {
    // Leaves an open connection, which the next request uses.
    if (Number % 2 == 0)
      BOOST_TEST(requestStatus(0, "GET", "/q/") == 200);
    CallerJob Job;
    Job.Id_ = jobId(5, Number);
    Job.Estimate_ = 10s;
    Job.Deadline_ = 20s;
    Job.ClientTimeout_ = 300ms;
    std::promise<void> Left;
    submit(0, Job, [&Left](auto) { Left.set_value(); });
    Left.get_future().get();
    BOOST_TEST(starts(0, Job.Id_) + starts(1, Job.Id_) == 1);
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(running(0) + running(1) == 0u);
  }
}

BOOST_AUTO_TEST_SUITE_END()
