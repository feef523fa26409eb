/// \file
/// \brief Tests that wrong declared run times and stragglers have little effect
/// on the estimated cost of a task.
#include "wigeonwall/request/estimator.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

const KindKey Key{"permit-desk", "setback-check"};

struct Case {
  const char *Name_;
  /// Samples in order, each recorded the given number of times.
  std::vector<std::pair<int, Duration>> Samples_;
  Duration Declared_;
  Duration Min_;
  Duration Max_;
};

const Case Cases[] = {
    {"nothing known", {}, 0ms, 200ms, 200ms},
    {"only declared", {}, 70ms, 70ms, 70ms},
    {"not declared", {{20, 100ms}}, 0ms, 99ms, 101ms},
    {"declared within the factor", {{20, 100ms}}, 390ms, 390ms, 390ms},
    {"declared far too long", {{20, 100ms}}, 410ms, 99ms, 101ms},
    {"declared far too short", {{20, 100ms}}, 24ms, 99ms, 101ms},
    {"one straggler", {{20, 100ms}, {1, 60s}}, 0ms, 100ms, 131ms},
    {"first sample is a straggler", {{1, 60s}, {80, 100ms}}, 0ms, 99ms, 200ms},
    {"slower for good", {{20, 100ms}, {40, 5s}}, 0ms, 4s, 5s},
    {"rises from zero", {{5, 0ms}, {90, 100ms}}, 0ms, 90ms, 101ms},
};

} // namespace

// Guards against a cost that callers or single stragglers can determine.
BOOST_AUTO_TEST_CASE(expected_run) {
  for (const Case &Row : Cases)
    BOOST_TEST_CONTEXT(Row.Name_) {
      RunTimeEstimator Estimator;
      for (const auto &[Count, Run] : Row.Samples_)
        for (int I = 0; I < Count; ++I)
          Estimator.record(Key, Run);
      const Duration Run = Estimator.expectedRun(Key, Row.Declared_);
      BOOST_TEST(Run.count() >= Row.Min_.count());
      BOOST_TEST(Run.count() <= Row.Max_.count());
      BOOST_TEST((Estimator.expectedRun({"other", "k"}, 0ms) == DefaultRun));
    }
}

// Guards against a quantile that drifts away from the samples.
BOOST_AUTO_TEST_CASE(quantile_follows_the_samples) {
  RunTimeEstimator Estimator;
  std::mt19937_64 Random(1);
  std::uniform_int_distribution<int> Run(1, 1000);
  for (int I = 0; I < 5000; ++I)
    Estimator.record(Key, std::chrono::milliseconds(Run(Random)));
  BOOST_TEST(Estimator.quantile95(Key)->count() >= Duration(850ms).count());
  BOOST_TEST(Estimator.quantile95(Key)->count() <= Duration(1050ms).count());
}
