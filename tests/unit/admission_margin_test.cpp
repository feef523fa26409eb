/// \file
/// \brief Tests how admission adapts to forecasts that are missed.
#include "wigeonwall/request/admission_margin.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

constexpr Duration Short = 60ms;
constexpr Duration Long = 800ms;

struct Fixture {
  AdmissionMargin Margin_;
  TimePoint Now_{1h};

  /// Records \p Jobs jobs of a slack class, of which one in \p Period misses
  /// its forecast.
  void record(Duration Slack, int Jobs, int Period) {
    for (int I = 1; I <= Jobs; ++I) {
      Now_ += 5ms;
      if (I % Period == 0)
        Margin_.onForecastMissed(Slack, Now_);
      else
        Margin_.onForecastMet(Slack, Now_);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_margin, Fixture)

BOOST_AUTO_TEST_CASE(no_slack_is_reserved_while_forecasts_are_met) {
  record(Short, 400, 20);
  BOOST_TEST(Margin_.share(Short, Now_) < 0.05);
}

BOOST_AUTO_TEST_CASE(a_burst_of_misses_reserves_much_of_the_slack) {
  record(Short, 30, 2);
  BOOST_TEST(Margin_.share(Short, Now_) > 0.3);
  BOOST_TEST(Margin_.share(Short, Now_) <= AdmissionMargin::MaxShare);
}

BOOST_AUTO_TEST_CASE(other_classes_are_not_tightened) {
  record(Short, 30, 2);
  BOOST_TEST(Margin_.share(Long, Now_) == 0.0);
}

// A class without jobs has no other way to detect the end of a burst.
BOOST_AUTO_TEST_CASE(the_share_decays_without_jobs) {
  record(Short, 30, 2);
  BOOST_TEST(Margin_.share(Short, Now_ + 5s) < 0.03);
}

BOOST_AUTO_TEST_SUITE_END()
