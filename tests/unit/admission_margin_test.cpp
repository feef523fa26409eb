/// \file
/// \brief Guards how admission follows forecasts that fail.
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

  /// Jobs of a class, of which one in \p Period is missed.
  void serve(Duration Slack, int Jobs, int Period) {
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

BOOST_AUTO_TEST_CASE(nothing_is_kept_back_while_forecasts_hold) {
  serve(Short, 400, 20);
  BOOST_TEST(Margin_.share(Short, Now_) < 0.05);
}

BOOST_AUTO_TEST_CASE(a_burst_of_misses_keeps_back_most_of_the_slack) {
  serve(Short, 30, 2);
  BOOST_TEST(Margin_.share(Short, Now_) > 0.3);
  BOOST_TEST(Margin_.share(Short, Now_) <= AdmissionMargin::MostShare);
}

BOOST_AUTO_TEST_CASE(other_classes_are_not_tightened) {
  serve(Short, 30, 2);
  BOOST_TEST(Margin_.share(Long, Now_) == 0.0);
}

// While a class gets no jobs, nothing could show that the burst is over.
BOOST_AUTO_TEST_CASE(time_alone_ends_it) {
  serve(Short, 30, 2);
  BOOST_TEST(Margin_.share(Short, Now_ + 5s) < 0.03);
}

BOOST_AUTO_TEST_SUITE_END()
