/// \file
/// \brief Tests the detection of a stopped process or a suspended machine.
#include "wigeonwall/process/runtime/stall_detector.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(stall_detector)

BOOST_AUTO_TEST_CASE(a_gap_between_ticks_is_reported_once) {
  request::TimePoint Now(1h);
  StallDetector Detector([&] { return Now; }, 500ms);
  Now += 400ms;
  BOOST_TEST(!Detector.takeStall().has_value());
  Detector.onTick();
  Now += 400ms;
  BOOST_TEST(!Detector.takeStall().has_value());
  Now += 200ms;
  BOOST_TEST(Detector.isStalled());
  const auto Stall = Detector.takeStall();
  BOOST_REQUIRE(Stall.has_value());
  BOOST_TEST((*Stall == 600ms));
  BOOST_TEST(!Detector.isStalled());
  BOOST_TEST(!Detector.takeStall().has_value());
}

BOOST_AUTO_TEST_CASE(the_boot_clock_advances) {
  const request::Clock Boot = bootClock();
  const auto Before = Boot();
  BOOST_TEST((Before > request::TimePoint()));
  BOOST_TEST((Boot() >= Before));
}

BOOST_AUTO_TEST_SUITE_END()
