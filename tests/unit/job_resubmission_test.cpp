/// \file
/// \brief Checks for whom the attempts of a job run: each ends when its last
/// caller has left, and none ends that of another caller.
#include "standins/dispatcher_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::standins;

BOOST_FIXTURE_TEST_SUITE(job_resubmission, DispatcherFixture)

// An entry that could not confirm the end of the first attempt for seconds
// started the second one after its caller had submitted the job elsewhere.
BOOST_AUTO_TEST_CASE(a_resubmission_without_its_caller_is_not_started) {
  Jobs_.leave("job", submit(1));
  Jobs_.leave("job", submit(1));
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Abandoned));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::CallerGone));
  end(0, RunEnd::Stopped);
  BOOST_TEST(Orders_.size() == 1u);
  BOOST_TEST(Answers_.size() == 2u);
  BOOST_TEST(Jobs_.jobCount() == 0u);
}

BOOST_AUTO_TEST_CASE(a_cancelled_resubmission_is_not_started) {
  Jobs_.leave("job", submit(1));
  submit(1);
  BOOST_TEST(
      (Jobs_.cancel("job", JobReason::Cancelled) == CancelFound::Attempt));
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Reason_ == JobReason::Cancelled));
  end(0, RunEnd::Stopped);
  BOOST_TEST(Orders_.size() == 1u);
  BOOST_TEST(
      (Jobs_.cancel("job", JobReason::Cancelled) == CancelFound::Nothing));
}

// The second resubmission replaced the first, whose caller got no answer.
BOOST_AUTO_TEST_CASE(all_waiting_callers_are_answered) {
  Jobs_.leave("job", submit(1));
  submit(1);
  submit(1);
  end(0, RunEnd::NeverRan);
  BOOST_TEST(Orders_.size() == 2u);
  BOOST_TEST(Answers_.size() == 1u);
  end(0, RunEnd::Done);
  BOOST_REQUIRE(Answers_.size() == 3u);
  BOOST_TEST((Answers_[1].Result_ == JobResult::Completed));
  BOOST_TEST((Answers_[2].Result_ == JobResult::Completed));
}

// The caller's deadline was counted from the start of the resubmission.
BOOST_AUTO_TEST_CASE(the_time_of_a_resubmission_counts_from_its_receipt) {
  Jobs_.leave("job", submit(1));
  submit(1);
  Time_.advance(80ms);
  end(0, RunEnd::Stopped);
  BOOST_REQUIRE(Orders_.size() == 2u);
  const auto &[First, Second] = std::pair(Orders_[0].second, Orders_[1].second);
  BOOST_TEST((First.TimeToDeadline_ - Second.TimeToDeadline_ == 80ms));
  BOOST_TEST((First.TimeToExpiry_ - Second.TimeToExpiry_ == 80ms));
}

BOOST_AUTO_TEST_CASE(a_resubmission_that_waits_too_long_is_answered) {
  Jobs_.leave("job", submit(1));
  submit(1);
  Time_.advance(2s);
  Jobs_.tick();
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Abandoned));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::EarlierAttempt));
  end(0, RunEnd::Stopped);
  BOOST_TEST(Orders_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_shutdown_answers_a_resubmission_that_waits) {
  Jobs_.leave("job", submit(1));
  submit(1);
  Jobs_.beginShutdown(Time_.now() + 100ms);
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Reason_ == JobReason::ShuttingDown));
  end(0, RunEnd::Stopped);
  BOOST_TEST(Orders_.size() == 1u);
}

// The close of the first connection ended the job by its id, also for the
// caller that had joined it.
BOOST_AUTO_TEST_CASE(a_late_close_of_an_earlier_attempt_ends_only_that_one) {
  const AttemptId First = submit(1);
  const AttemptId Second = submit(1);
  Jobs_.leave("job", First);
  BOOST_TEST(Cancels_.empty());
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Reason_ == JobReason::CallerGone));
  Jobs_.leave("job", First);
  BOOST_TEST(Cancels_.empty());
  Jobs_.leave("job", Second);
  BOOST_TEST(Cancels_.size() == 1u);
}

// The id of the job is the same; the resubmission runs, and its caller waits.
BOOST_AUTO_TEST_CASE(a_late_close_of_an_ended_attempt_ends_no_resubmission) {
  const AttemptId First = submit(1);
  Time_.advance(2s);
  Jobs_.tick();
  end(0, RunEnd::Stopped);
  submit(1);
  Jobs_.leave("job", First);
  BOOST_TEST(Cancels_.size() == 1u);
  end(0, RunEnd::Done);
  BOOST_TEST((Answers_.back().Result_ == JobResult::Completed));
}

// After a stall, a resubmission may be read before the tick that ends the
// expired attempt; it was answered together with that attempt.
BOOST_AUTO_TEST_CASE(a_resubmission_does_not_join_an_expired_attempt) {
  submit(1);
  Time_.advance(2s);
  submit(1);
  BOOST_TEST(Cancels_.size() == 1u);
  end(0, RunEnd::Stopped);
  BOOST_TEST(Answers_.size() == 1u);
  BOOST_TEST(Orders_.size() == 2u);
  end(0, RunEnd::Done);
  BOOST_REQUIRE(Answers_.size() == 2u);
  BOOST_TEST((Answers_[1].Result_ == JobResult::Completed));
}

// After a stall, the cancellation was read before the submission, found
// nothing, and the job ran.
BOOST_AUTO_TEST_CASE(a_submission_read_after_its_cancellation_is_refused) {
  BOOST_TEST(
      (Jobs_.cancel("job", JobReason::Cancelled) == CancelFound::Nothing));
  submit(1);
  BOOST_TEST(Orders_.empty());
  BOOST_REQUIRE(Answers_.size() == 1u);
  BOOST_TEST((Answers_[0].Result_ == JobResult::Refused));
  BOOST_TEST((Answers_[0].Reason_ == JobReason::Cancelled));
  BOOST_TEST((Answers_[0].RetryAfter_ == 15s));
  submit(1, "other");
  BOOST_TEST(Orders_.size() == 1u);
}

// The caller may have submitted the job to another entry since.
BOOST_AUTO_TEST_CASE(a_cancellation_tells_remains_from_an_attempt) {
  submit(1);
  const auto Cancel = [this] {
    return Jobs_.cancel("job", JobReason::Cancelled);
  };
  BOOST_TEST((Cancel() == CancelFound::Attempt));
  BOOST_TEST((Cancel() == CancelFound::Remains));
  end(0, RunEnd::Stopped);
  BOOST_TEST((Cancel() == CancelFound::Nothing));
}

BOOST_AUTO_TEST_SUITE_END()
