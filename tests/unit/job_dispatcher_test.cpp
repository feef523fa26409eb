/// \file
/// \brief Checks that every caller is answered exactly once, and that the
/// answer is correct about which tasks ran.
#include "standins/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::standins;

BOOST_FIXTURE_TEST_SUITE(job_dispatcher, DispatcherFixture)

BOOST_AUTO_TEST_CASE(completes_when_all_tasks_are_done) {
  submit(3);
  end(0, RunEnd::Done);
  end(1, RunEnd::Done);
  BOOST_TEST(Answers_.empty());
  end(2, RunEnd::Done);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Completed));
  BOOST_TEST(Jobs_.jobCount() == 0u);
}

// A request of 100 bytes asks for a thousand tasks, each of which has a state.
BOOST_AUTO_TEST_CASE(refuses_jobs_beyond_the_limit_on_all_tasks) {
  JobDispatcher Limited({.MaxTasks_ = 3}, View_, hooks());
  request::BatchJob Job;
  Job.Needs_ = {3'000, 64, 0};
  Job.Estimate_ = 100ms;
  const auto Submit = [&](const std::string &Id, std::uint32_t Tasks) {
    Job.Id_ = Id;
    Job.TaskCount_ = Tasks;
    Limited.submit(Job, Policy_, "queue", [this](const JobAnswer &Answer) {
      Answers_.push_back(Answer);
    });
  };
  Submit("first", 2);
  BOOST_TEST(Answers_.empty());
  Submit("second", 2);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::Overloaded));
  BOOST_TEST((Answers_[0].RetryAfter_ >= 1s));
  for (const std::uint32_t Index : {0U, 1U})
    Limited.onOutcome(agentOf(Index), {"first", Index, RunEnd::Done, 1, ""});
  BOOST_TEST(Answers_.size() == 2u);
  Submit("third", 3);
  BOOST_TEST(Answers_.size() == 2u);
  BOOST_TEST(Limited.jobCount() == 1u);
}

// Guards against advice that ignores the jobs refused before. Nothing has been
// admitted, so the second caller is told to stay away for long.
BOOST_AUTO_TEST_CASE(the_advice_to_refused_callers_follows_the_backlog) {
  JobDispatcher Spread({.MaxRetryAfter_ = 5s}, View_, hooks());
  request::BatchJob Job;
  Job.TaskCount_ = 1;
  Job.Needs_ = {3'000, 64, 0};
  Job.Estimate_ = 100ms;
  View_.remove("a");
  View_.remove("b");
  for (const char *Id : {"first", "second"}) {
    Job.Id_ = Id;
    Spread.submit(Job, Policy_, "queue", [this](const JobAnswer &Answer) {
      Answers_.push_back(Answer);
    });
  }
  BOOST_REQUIRE(Answers_.size() == 2u);
  BOOST_TEST((Answers_[0].RetryAfter_ == 1s));
  BOOST_TEST((Answers_[1].RetryAfter_ >= 3s));
}

// Evictions before a departure would otherwise use up the attempts of a task
// that nothing is wrong with.
BOOST_AUTO_TEST_CASE(a_stopped_run_is_not_a_failed_attempt) {
  submit(1);
  for (int Run = 1; Run <= 3; ++Run)
    end(0, RunEnd::Stopped, Run);
  BOOST_TEST(Answers_.empty());
  end(0, RunEnd::Done, 4);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Completed));
}

BOOST_AUTO_TEST_CASE(refuses_immediately_without_a_minion) {
  View_.remove("a");
  View_.remove("b");
  submit(1);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::NoMinion));
  BOOST_TEST(Orders_.empty());
}

// A burst has filled all queues beyond the slack of the job.
BOOST_AUTO_TEST_CASE(refuses_immediately_a_job_that_cannot_be_on_time) {
  report("a", 400ms, 0);
  report("b", 400ms, 0);
  submit(1);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Reason_ == JobReason::Overloaded));
  BOOST_TEST((Answers_[0].RetryAfter_ >= 1s));
  BOOST_TEST(Orders_.empty());
}

BOOST_AUTO_TEST_CASE(tries_a_failed_task_on_another_agent) {
  submit(1);
  const std::string First = agentOf(0);
  end(0, RunEnd::Failed);
  BOOST_TEST(agentOf(0) != First);
  BOOST_TEST(Orders_.back().second.Tasks_[0].Number_ == 2);
  end(0, RunEnd::Done, 2);
  BOOST_TEST((Answers_.at(0).Result_ == JobResult::Completed));
}

BOOST_AUTO_TEST_CASE(reports_failed_only_when_all_attempts_are_used) {
  submit(1);
  end(0, RunEnd::Failed);
  end(0, RunEnd::Failed, 2);
  BOOST_TEST((Answers_.at(0).Result_ == JobResult::Failed));
}

// Jobs given up after a task had started were reported as failed, although no
// task had failed.
BOOST_AUTO_TEST_CASE(a_job_given_up_after_a_start_is_abandoned_not_failed) {
  submit(2);
  end(0, RunEnd::Done);
  Time_.advance(2s);
  Jobs_.tick();
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Abandoned));
  BOOST_TEST(Cancels_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(refuses_a_given_up_job_only_when_nothing_has_run) {
  submit(2);
  Time_.advance(2s);
  Jobs_.tick();
  BOOST_TEST(Answers_.empty());
  end(0, RunEnd::NeverRan);
  BOOST_TEST(Answers_.empty());
  end(1, RunEnd::NeverRan);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_that_was_running_is_not_refused) {
  submit(2);
  Jobs_.cancel("job", JobReason::CallerGone);
  end(0, RunEnd::NeverRan);
  end(1, RunEnd::Stopped);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Abandoned));
}

BOOST_AUTO_TEST_CASE(a_resubmission_joins_the_active_job) {
  submit(1);
  submit(1);
  BOOST_TEST(Orders_.size() == 1u);
  end(0, RunEnd::Done);
  BOOST_TEST(Answers_.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_resubmission_while_ending_starts_afterwards) {
  submit(1);
  Jobs_.cancel("job", JobReason::CallerGone);
  submit(1);
  BOOST_TEST(Orders_.size() == 1u);
  end(0, RunEnd::Stopped);
  BOOST_TEST(Orders_.size() == 2u);
}

BOOST_AUTO_TEST_CASE(lost_tasks_run_again_only_after_they_have_ended) {
  submit(1);
  const std::string Lost = agentOf(0);
  View_.remove(Lost);
  Jobs_.onAgentLost(Lost, Time_.now() + 200ms);
  Time_.advance(150ms);
  Jobs_.tick();
  BOOST_TEST(Orders_.size() == 1u);
  Time_.advance(60ms);
  Jobs_.tick();
  BOOST_REQUIRE(Orders_.size() == 2u);
  BOOST_TEST(agentOf(0) != Lost);
  BOOST_TEST(Orders_.back().second.Tasks_[0].Number_ == 2);
}

BOOST_AUTO_TEST_CASE(abandons_a_job_when_lost_tasks_leave_no_time) {
  submit(1);
  Jobs_.onAgentLost(agentOf(0), Time_.now() + 2s);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Abandoned));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::MinionsLost));
}

BOOST_AUTO_TEST_CASE(limits_how_often_a_task_may_be_declined) {
  submit(1);
  for (int I = 0; I < 3; ++I) {
    BOOST_TEST(Orders_.back().second.MayDecline_);
    end(0, RunEnd::NeverRan);
  }
  BOOST_TEST(Orders_.size() == 4u);
  BOOST_TEST(!Orders_.back().second.MayDecline_);
}

// A job submitted 5.4 s after its entry received SIGTERM was not answered
// before the process exited.
BOOST_AUTO_TEST_CASE(a_shutdown_answers_every_caller) {
  submit(1, "early");
  Jobs_.beginShutdown(Time_.now() + 150ms);
  submit(1, "job");
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::ShuttingDown));
  Jobs_.onOutcome(agentOf(0), {"other", 0, RunEnd::Done, 1, ""});
  Time_.advance(160ms);
  Jobs_.tick();
  BOOST_TEST(Cancels_.size() == 1u);
  Jobs_.onOutcome(agentOf(0), {"early", 0, RunEnd::Stopped, 1, ""});
  BOOST_REQUIRE(Answers_.size() == 2u);
  BOOST_TEST((Answers_[1].Result_ == JobResult::Abandoned));
}

BOOST_AUTO_TEST_CASE(ignores_outcomes_of_other_agents_and_jobs) {
  submit(1);
  const std::string Other = agentOf(0) == "a" ? "b" : "a";
  Jobs_.onOutcome(Other, {"job", 0, RunEnd::Done, 1, ""});
  Jobs_.onOutcome(agentOf(0), {"job", 9, RunEnd::Done, 1, ""});
  Jobs_.onOutcome(agentOf(0), {"unknown", 0, RunEnd::Done, 1, ""});
  BOOST_TEST(Answers_.empty());
}

BOOST_AUTO_TEST_CASE(counts_jobs_that_have_not_started) {
  submit(1);
  BOOST_TEST(Jobs_.pendingOf("queue") == 1u);
  BOOST_TEST(Jobs_.pendingOf("other") == 0u);
  BOOST_TEST(Jobs_.stateOf("job") == "queued");
  BOOST_TEST(Jobs_.stateOf("other") == "");
}

BOOST_AUTO_TEST_CASE(a_job_is_placed_when_queried_agents_have_answered) {
  ageReports();
  submit(2);
  BOOST_TEST(Queries_.size() == 2u);
  report("a", 0ms, 0, false);
  BOOST_TEST(Orders_.empty());
  report("b", 0ms, 32'000, false);
  BOOST_REQUIRE(Orders_.size() == 1u);
  BOOST_TEST(Orders_[0].first == "b");
  BOOST_TEST(Orders_[0].second.Tasks_.size() == 2u);
}

// An agent that is cut off or stopped must not hold up the jobs of an entry.
BOOST_AUTO_TEST_CASE(a_job_does_not_wait_for_an_agent_that_does_not_answer) {
  ageReports();
  submit(1);
  report("a", 0ms, 32'000, false);
  BOOST_TEST(Orders_.empty());
  Time_.advance(15ms);
  BOOST_REQUIRE(Orders_.size() == 1u);
  BOOST_TEST(Orders_[0].first == "a");
}

BOOST_AUTO_TEST_CASE(a_job_is_refused_if_no_agent_answers) {
  ageReports();
  submit(1);
  Time_.advance(40ms);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::NoMinion));
  report("a", 0ms, 32'000, false);
  Time_.advance(40ms);
  BOOST_TEST(Orders_.empty());
  BOOST_TEST(Jobs_.jobCount() == 0u);
}

BOOST_AUTO_TEST_CASE(a_job_cancelled_during_the_query_never_runs) {
  ageReports();
  submit(1);
  BOOST_TEST(
      (Jobs_.cancel("job", JobReason::CallerGone) == CancelFound::Attempt));
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  submit(1);
  // The timeout of the first query must not affect the resubmission.
  Time_.advance(5ms);
  report("a", 0ms, 32'000, false);
  report("b", 0ms, 32'000, false);
  Time_.advance(40ms);
  BOOST_TEST(Orders_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_resubmission_joins_a_job_that_awaits_reports) {
  ageReports();
  submit(1);
  submit(1);
  report("a", 0ms, 32'000, false);
  report("b", 0ms, 32'000, false);
  BOOST_TEST(Orders_.size() == 1u);
  end(0, RunEnd::Done);
  BOOST_TEST(Answers_.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_declined_task_is_placed_by_current_reports_only) {
  ageReports();
  submit(1);
  report("a", 0ms, 32'000, false);
  report("b", 0ms, 32'000, false);
  const std::string First = agentOf(0);
  const std::string Other = First == "a" ? "b" : "a";
  Time_.advance(30ms);
  report(First, 200ms, 0, false);
  end(0, RunEnd::NeverRan);
  BOOST_TEST(Orders_.size() == 1u);
  BOOST_TEST(Queries_.size() == 4u);
  report(First, 200ms, 0, false);
  report(Other, 0ms, 32'000, false);
  BOOST_REQUIRE(Orders_.size() == 2u);
  BOOST_TEST(Orders_[1].first == Other);
}

BOOST_AUTO_TEST_SUITE_END()
