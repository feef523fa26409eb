/// \file
/// \brief Tests the second holder of a record: when a job may be prepared after
/// a seal, a refusal or a record of another home.
#include "wigeonwall/request/record_copies.h"

#include "standins/virtual_time.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using wigeonwall::standins::VirtualTime;

namespace {

constexpr std::chrono::seconds Retention{100};
const JobKey Job{"permit-desk", "j"};
const HomeIdentity Home{"a", 1, "a"};
const HomeIdentity Other{"b", 1, "b"};

struct Fixture {
  VirtualTime Time_;
  RecordCopies Copies_{Time_.clock()};

  PrepareResult prepare(const HomeIdentity &From, std::uint64_t Epoch,
                        std::uint64_t OwnEpoch) {
    return Copies_.prepare(Job, 1, From, Epoch, OwnEpoch, Retention);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(epochs_of_a_first_message, Fixture) {
  BOOST_TEST((prepare(Home, 4, 5) == PrepareResult::Stale));
  BOOST_TEST((prepare(Home, 6, 5) == PrepareResult::Retry));
  BOOST_TEST((prepare(Home, 5, 5) == PrepareResult::Ok));
  BOOST_TEST((prepare(Home, 5, 6) == PrepareResult::Ok));
  BOOST_TEST((prepare(Other, 6, 6) == PrepareResult::Known));
}

BOOST_FIXTURE_TEST_CASE(sealed_job_is_refused_below_the_epoch, Fixture) {
  // A home that was suspended must not start a job that another home has taken
  // over in a newer epoch.
  Copies_.seal(Job, 6, Retention);
  BOOST_TEST((prepare(Home, 5, 5) == PrepareResult::Stale));
  BOOST_TEST((prepare(Home, 6, 6) == PrepareResult::Ok));
}

BOOST_FIXTURE_TEST_CASE(seals_only_rise, Fixture) {
  Copies_.seal(Job, 6, Retention);
  Copies_.seal(Job, 4, Retention);
  BOOST_TEST(Copies_.sealedBelow(Job) == 6U);
}

BOOST_FIXTURE_TEST_CASE(refusal_is_final, Fixture) {
  // After the caller has been told that the job did not run, it must not run.
  JobAnswer Refusal;
  Refusal.Outcome_ = Outcome::NotRun;
  Copies_.refuse(Job, 1, Other, Refusal, Retention);
  BOOST_TEST((prepare(Home, 9, 9) == PrepareResult::Known));
  BOOST_TEST(Copies_.find(Job)->Final_);
}

BOOST_FIXTURE_TEST_CASE(refusal_does_not_replace_a_record, Fixture) {
  BOOST_TEST((prepare(Home, 5, 5) == PrepareResult::Ok));
  Copies_.refuse(Job, 1, Other, JobAnswer{}, Retention);
  BOOST_TEST(!Copies_.find(Job)->Final_);
}

BOOST_FIXTURE_TEST_CASE(only_the_home_of_a_record_ends_it, Fixture) {
  BOOST_TEST((prepare(Home, 5, 5) == PrepareResult::Ok));
  Copies_.finish(Job, Other, JobAnswer{}, Retention);
  BOOST_TEST(!Copies_.find(Job)->Final_);
  Copies_.finish(Job, Home, JobAnswer{}, Retention);
  BOOST_TEST(Copies_.find(Job)->Final_);
}

BOOST_FIXTURE_TEST_CASE(records_end_with_the_retention, Fixture) {
  BOOST_TEST((prepare(Home, 5, 5) == PrepareResult::Ok));
  Time_.advance(std::chrono::seconds(60));
  Copies_.finish(Job, Home, JobAnswer{}, Retention);
  Time_.advance(std::chrono::seconds(60));
  Copies_.dropExpired();
  BOOST_TEST(Copies_.size() == 1U);
  Time_.advance(std::chrono::seconds(41));
  Copies_.dropExpired();
  BOOST_TEST(Copies_.size() == 0U);
}
