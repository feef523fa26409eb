/// \file
/// \brief Tests admission control: a flood is refused, other kinds are
/// admitted, and the work in flight stays bounded.
#include "wigeonwall/request/admission.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

// The shares are 0.8 (urgent) and 0.2 (calm). With 10 slots, 100 tasks of 100
// ms reach LendingLimit, and the shares hold 240 and 60 tasks.
const std::vector<KindPolicy> Kinds = {
    {"urgent", 9, 1, 0.7, 50}, {"calm", 0, 1, 0.1, 50}, {"closed", 0, 0, 0, 0}};
const std::vector<TeamQuota> Teams = {
    {"crews", 100'000}, {"small", 10}, {"barred", 0}};

struct Fixture {
  TimePoint Time_;
  double Load_ = 6.0;

  AdmissionController make(AdmissionPolicy Policy = AdmissionPolicy::Share,
                           ServiceCapacity Capacity = {10, 1}) {
    return {Policy,
            Capacity,
            Kinds,
            Teams,
            [this] { return Time_; },
            [this] { return Load_; }};
  }

  AdmissionRequest job(const std::string &Kind, unsigned Tasks,
                       const std::string &Team = "crews",
                       Duration Run = 100ms) const {
    return {Kind, Team, Tasks, Run * Tasks, Run, Time_ + 10s};
  }

  int flood(AdmissionController &Admission, const std::string &Kind) const {
    int Admitted = 0;
    while (Admitted < 1000 && Admission.admit(job(Kind, 1)) == Reason::None)
      ++Admitted;
    return Admitted;
  }
};

struct RefusalCase {
  const char *Kind_;
  const char *Team_;
  unsigned Tasks_;
  Duration Run_;
  Reason Expected_;
};

const RefusalCase RefusalCases[] = {
    {"urgent", "crews", 170, 100ms, Reason::None},
    {"other", "crews", 1, 100ms, Reason::UnknownKind},
    {"closed", "crews", 1, 100ms, Reason::LimitIsZero},
    {"urgent", "other", 1, 100ms, Reason::UnknownTeam},
    {"urgent", "barred", 1, 100ms, Reason::LimitIsZero},
    {"urgent", "small", 11, 100ms, Reason::TooManyTasks},
    {"urgent", "small", 10, 100ms, Reason::None},
    {"urgent", "crews", 1, 11s, Reason::DeadlineUnreachable},
    {"urgent", "crews", 170, 600ms, Reason::DeadlineUnreachable},
};

struct FloodCase {
  const char *Flood_;
  const char *Other_;
  int FloodAdmitted_;
  int OtherAdmitted_;
  /// Result for the flooding kind after some of its tasks have ended and none
  /// of the other kind.
  Reason Afterwards_;
};

const FloodCase FloodCases[] = {
    {"urgent", "calm", 241, 61, Reason::None},
    {"calm", "urgent", 100, 241, Reason::Overloaded},
};

} // namespace

// A wrong reason would make a caller resubmit a job that can never run, or give
// up one that can.
BOOST_FIXTURE_TEST_CASE(refusals_state_their_reason, Fixture) {
  for (const RefusalCase &Case : RefusalCases) {
    AdmissionController Admission = make();
    const Reason Refusal =
        Admission.admit(job(Case.Kind_, Case.Tasks_, Case.Team_, Case.Run_));
    BOOST_TEST((Refusal == Case.Expected_),
               Case.Kind_ << " " << Case.Team_ << " "
                          << findName(ReasonNames, Refusal));
  }
}

// Guards against refusing a kind that is far below its share of the service
// because one job of many tasks exceeds the home's part of the share.
BOOST_FIXTURE_TEST_CASE(one_large_job_does_not_use_up_the_share, Fixture) {
  AdmissionController Admission = make();
  BOOST_TEST(flood(Admission, "urgent") == 241);
  BOOST_TEST(
      (Admission.admit(job("calm", 100, "crews", 200ms)) == Reason::None));
  BOOST_TEST(
      (Admission.admit(job("calm", 100, "crews", 200ms)) == Reason::None));
  BOOST_TEST((Admission.admit(job("calm", 100, "crews", 200ms)) ==
              Reason::Overloaded));
}

// Guards against a flood of the most or least urgent kind that uses the share
// of the other kind or grows without limit.
BOOST_FIXTURE_TEST_CASE(flood_does_not_use_the_share_of_others, Fixture) {
  for (const FloodCase &Case : FloodCases) {
    AdmissionController Admission = make();
    BOOST_TEST(flood(Admission, Case.Flood_) == Case.FloodAdmitted_);
    BOOST_TEST((Admission.admit(job(Case.Flood_, 1)) == Reason::Overloaded));
    BOOST_TEST(flood(Admission, Case.Other_) == Case.OtherAdmitted_);
    BOOST_TEST((Admission.workInFlight() <= 10 * (LendingLimit + ShareLimit)));
    Admission.release(Case.Flood_, "crews", 10, 1s);
    BOOST_TEST((Admission.admit(job(Case.Flood_, 1)) == Case.Afterwards_));
  }
}

// Guards against refusals under AdmissionPolicy::None, a home that admits the
// part of other homes, and refusals while the queues of the service are short.
BOOST_FIXTURE_TEST_CASE(limit_depends_on_policy_homes_and_load, Fixture) {
  AdmissionController None = make(AdmissionPolicy::None);
  BOOST_TEST(flood(None, "urgent") == 1000);
  AdmissionController OneOfFive = make(AdmissionPolicy::Share, {10, 5});
  BOOST_TEST(flood(OneOfFive, "calm") == 20);
  Load_ = 0.5;
  BOOST_TEST((OneOfFive.admit(job("calm", 1)) == Reason::None));
}

// Guards against quota usage that leaks or is lost on a configuration change.
BOOST_FIXTURE_TEST_CASE(quota_counts_tasks_in_flight, Fixture) {
  AdmissionController Admission = make();
  const AdmissionRequest Job = job("urgent", 6, "small");
  BOOST_TEST((Admission.admit(Job) == Reason::None));
  BOOST_TEST((Admission.admit(Job) == Reason::QuotaExceeded));
  Admission.setPolicies({Kinds[1]}, {});
  BOOST_TEST((Admission.admit(Job) == Reason::UnknownKind));
  Admission.setPolicies(Kinds, Teams);
  BOOST_TEST((Admission.admit(Job) == Reason::QuotaExceeded));
  Admission.release("urgent", "small", 2, 200ms);
  BOOST_TEST((Admission.admit(Job) == Reason::None));
  Admission.release("urgent", "small", 10, 1s);
  BOOST_TEST(Admission.workInFlight().count() == 0);
}

// Guards against admitting jobs that will be late, and against refusing jobs
// permanently after the queue has drained.
BOOST_FIXTURE_TEST_CASE(measured_queue_delay_expires, Fixture) {
  AdmissionController Admission = make();
  Admission.recordQueueDelay("urgent", 20s);
  BOOST_TEST(
      (Admission.admit(job("urgent", 1)) == Reason::DeadlineUnreachable));
  BOOST_TEST((Admission.admit(job("calm", 1)) == Reason::None));
  Time_ += 3s;
  BOOST_TEST((Admission.admit(job("urgent", 1)) == Reason::None));
}
