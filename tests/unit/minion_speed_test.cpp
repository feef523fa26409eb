/// \file
/// \brief Tests the estimate of a minion's speed from its runs.
#include "wigeonwall/request/minion_speed.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

std::vector<RunProgress> threeRuns(Duration Elapsed, int Percent) {
  return {3, RunProgress{Elapsed, Percent, 200ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(minion_speed)

BOOST_AUTO_TEST_CASE(a_dozen_ended_runs_outweigh_earlier_ones) {
  MinionSpeed Speed;
  for (int I = 0; I < 12; ++I)
    Speed.recordRun(400ms, 200ms);
  BOOST_TEST(Speed.slowness() > 1.6);
  BOOST_TEST(Speed.slowness() < 2.0);
  BOOST_TEST((Speed.runTime(100ms) > 160ms));
}

BOOST_AUTO_TEST_CASE(one_wrong_estimate_has_little_effect) {
  MinionSpeed Speed;
  Speed.recordRun(60s, 200ms);
  BOOST_TEST(Speed.slowness() < 2.0);
}

BOOST_AUTO_TEST_CASE(progress_reveals_a_slow_minion_before_runs_end) {
  MinionSpeed Speed;
  Speed.recordProgress(threeRuns(200ms, 20));
  BOOST_TEST(Speed.slowness() > 1.5);
}

BOOST_AUTO_TEST_CASE(few_or_young_runs_and_small_changes_are_ignored) {
  MinionSpeed Speed;
  Speed.recordProgress({RunProgress{200ms, 20, 200ms}});
  Speed.recordProgress(threeRuns(50ms, 5));
  Speed.recordProgress(threeRuns(200ms, 0));
  Speed.recordProgress(threeRuns(200ms, 60));
  BOOST_TEST(Speed.slowness() == 1.0);
}

BOOST_AUTO_TEST_CASE(slowness_returns_to_nominal_without_runs) {
  MinionSpeed Speed;
  Speed.decay(TimePoint(10s));
  for (int I = 0; I < 30; ++I)
    Speed.recordRun(800ms, 200ms);
  TimePoint Now(10s);
  for (int I = 0; I < 400; ++I)
    Speed.decay(Now += 25ms);
  BOOST_TEST(Speed.slowness() < 1.1);
}

BOOST_AUTO_TEST_CASE(a_run_is_too_slow_only_if_others_are_slow) {
  MinionSpeed Speed;
  const RunProgress Stuck{200ms, 10, 200ms};
  BOOST_TEST(!Speed.isTooSlow(Stuck, 2.5));
  for (int I = 0; I < 30; ++I)
    Speed.recordRun(800ms, 200ms);
  BOOST_TEST(Speed.isTooSlow(Stuck, 2.5));
  BOOST_TEST(!Speed.isTooSlow(RunProgress{200ms, 40, 200ms}, 2.5));
  BOOST_TEST(!Speed.isTooSlow(RunProgress{200ms, 0, 200ms}, 2.5));
}

// Forecasts that expected overdue runs to end immediately admitted bursts above
// the capacity.
BOOST_AUTO_TEST_CASE(progress_predicts_the_end_better_than_the_estimate) {
  MinionSpeed Speed;
  BOOST_TEST((Speed.remainingTime(50ms, RunProgress{0ms, 0, 200ms}) == 150ms));
  const Duration Remaining =
      Speed.remainingTime(150ms, RunProgress{100ms, 25, 200ms});
  BOOST_TEST((Remaining > 249ms && Remaining < 251ms));
  BOOST_TEST((Speed.remainingTime(300ms, RunProgress{0ms, 0, 200ms}) >= 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
