/// \file
/// \brief Checks that a resubmission is kept only while its caller waits for it
/// and it can still be completed in time.
#include "standins/virtual_time.h"
#include "wigeonwall/process/dispatch/waiting_attempts.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr JobTiming Times{400ms, 200ms, 1'000ms};

struct Fixture {
  standins::VirtualTime Time_;
  std::map<AttemptId, JobReason> Dropped_;
  std::vector<std::string> Events_;
  WaitingAttempts Waiting_{hooks()};

  WaitingAttemptsHooks hooks() {
    WaitingAttemptsHooks Hooks;
    Hooks.Now_ = Time_.clock();
    Hooks.OnAnswered_ = [](JobResult Result, auto) {
      BOOST_TEST((Result == JobResult::Abandoned));
    };
    Hooks.Log_ = [this](const auto &, const auto &Event, const auto &) {
      Events_.push_back(Event);
    };
    return Hooks;
  }

  /// Adds an attempt that has to start within 900 ms.
  void add(AttemptId Id, const std::string &JobId = "job") {
    JobAttempt Next;
    Next.Id_ = Id;
    Next.Spec_.Id_ = JobId;
    Next.Spec_.Estimate_ = 100ms;
    Next.ReceivedAt_ = Time_.now();
    Next.Reply_ = [this, Id](const JobAnswer &Answer) {
      BOOST_TEST((Answer.Result_ == JobResult::Abandoned));
      BOOST_TEST(Dropped_.emplace(Id, Answer.Reason_).second);
    };
    Waiting_.add(std::move(Next), Times);
  }

  std::vector<AttemptId> take(const std::string &JobId = "job") {
    std::vector<AttemptId> Result;
    for (const JobAttempt &Each : Waiting_.take(JobId))
      Result.push_back(Each.Id_);
    return Result;
  }

  void checkDropped(const std::map<AttemptId, JobReason> &Expected) {
    BOOST_TEST((Dropped_ == Expected));
    BOOST_TEST(Events_.size() == Expected.size());
  }
};

using Ids = std::vector<AttemptId>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(waiting_attempts, Fixture)

BOOST_AUTO_TEST_CASE(all_attempts_of_a_job_are_taken_in_order) {
  add(1);
  add(2, "other");
  add(3);
  BOOST_TEST((take() == Ids{1, 3}));
  BOOST_TEST(take().empty());
  BOOST_TEST((take("other") == Ids{2}));
  checkDropped({});
}

BOOST_AUTO_TEST_CASE(an_attempt_is_dropped_when_its_caller_leaves) {
  add(1);
  add(2);
  BOOST_TEST(Waiting_.leave("job", 1));
  BOOST_TEST(!Waiting_.leave("job", 1));
  BOOST_TEST(!Waiting_.leave("other", 2));
  checkDropped({{1, JobReason::CallerGone}});
  BOOST_TEST((take() == Ids{2}));
}

BOOST_AUTO_TEST_CASE(a_cancellation_reaches_all_attempts_of_a_job) {
  add(1);
  add(2);
  add(3, "other");
  BOOST_TEST(Waiting_.cancel("job", JobReason::Cancelled));
  BOOST_TEST(!Waiting_.cancel("job", JobReason::Cancelled));
  checkDropped({{1, JobReason::Cancelled}, {2, JobReason::Cancelled}});
  BOOST_TEST(take().empty());
  BOOST_TEST((take("other") == Ids{3}));
}

// The time is counted from the receipt of each attempt.
BOOST_AUTO_TEST_CASE(an_attempt_that_would_end_too_late_is_answered_at_once) {
  add(1);
  Time_.advance(500ms);
  add(2);
  Time_.advance(400ms);
  Waiting_.expire();
  checkDropped({});
  Time_.advance(1ms);
  Waiting_.expire();
  checkDropped({{1, JobReason::EarlierAttempt}});
  BOOST_TEST((take() == Ids{2}));
}

// After a stall, the end of the earlier attempt may be handled before a tick.
BOOST_AUTO_TEST_CASE(an_attempt_that_is_late_is_not_taken) {
  add(1);
  Time_.advance(901ms);
  BOOST_TEST(take().empty());
  checkDropped({{1, JobReason::EarlierAttempt}});
}

BOOST_AUTO_TEST_CASE(an_attempt_without_time_for_a_run_is_not_kept) {
  JobAttempt Next;
  Next.Id_ = 1;
  Next.Spec_.Id_ = "job";
  Next.Spec_.Estimate_ = 1'001ms;
  Next.ReceivedAt_ = Time_.now();
  Next.Reply_ = [this](const auto &Answer) {
    Dropped_.emplace(1, Answer.Reason_);
  };
  Waiting_.add(std::move(Next), Times);
  checkDropped({{1, JobReason::EarlierAttempt}});
}

BOOST_AUTO_TEST_CASE(a_shutdown_answers_attempts_that_miss_its_deadline) {
  add(1);
  add(2, "other");
  Waiting_.beginShutdown(Time_.now() + 450ms);
  checkDropped({});
  Time_.advance(51ms);
  Waiting_.expire();
  checkDropped({{1, JobReason::ShuttingDown}, {2, JobReason::ShuttingDown}});
  add(3);
  BOOST_TEST((Dropped_.at(3) == JobReason::ShuttingDown));
  BOOST_TEST(take().empty());
}

BOOST_AUTO_TEST_SUITE_END()
