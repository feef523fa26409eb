/// \file
/// \brief Tests that an event is one log line with process, component and
/// event.
#include "wigeonwall/process/observation/log.h"

#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace wigeonwall::process;

// Guards against values that break a line or merge with the next field.
BOOST_AUTO_TEST_CASE(values_are_quoted) {
  BOOST_TEST(quoteLogValue("agent-1") == "agent-1");
  BOOST_TEST(quoteLogValue("") == "\"\"");
  BOOST_TEST(quoteLogValue("a b") == "\"a b\"");
  BOOST_TEST(quoteLogValue("k=v") == "\"k=v\"");
  BOOST_TEST(quoteLogValue("say \"x\"\n\x01") == R"("say \"x\"\n\x01")");
}

// Guards against log lines without the fields that operators search for.
BOOST_AUTO_TEST_CASE(line_has_time_level_process_component_event_and_fields) {
  const wigeonwall::standins::TemporaryDirectory Directory;
  BOOST_REQUIRE(startLog("agent%1", Directory.file("log")));
  logEvent("membership", "member_dead", {{"member", "a b"}, {"epoch", 7}});
  logEvent("membership", "probe", {}, LogLevel::Debug);
  std::ifstream Stream(Directory.file("log"));
  std::string Line;
  BOOST_REQUIRE(std::getline(Stream, Line));
  BOOST_TEST(Line.substr(0, 5) == "time=");
  BOOST_TEST(Line.substr(Line.find(" level=")) ==
             " level=INFO process=agent%1 component=membership "
             "event=member_dead member=\"a b\" epoch=7");
  BOOST_TEST(!std::getline(Stream, Line));
}

// Targets, names and messages in a line may come from clients.
BOOST_AUTO_TEST_CASE(long_lines_are_cut) {
  const wigeonwall::standins::TemporaryDirectory Directory;
  BOOST_REQUIRE(startLog("agent", Directory.file("log")));
  logDecision("jobs", "no_route", std::string(100'000, 'x'), "");
  std::ifstream Stream(Directory.file("log"));
  std::string Line;
  BOOST_REQUIRE(std::getline(Stream, Line));
  BOOST_TEST(Line.size() < 5'000u);
  BOOST_TEST(Line.ends_with("..."));
}
