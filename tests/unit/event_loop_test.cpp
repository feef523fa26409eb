/// \file
/// \brief Tests that an exception in one handler does not end the process or
/// its periodic work.
#include "wigeonwall/process/runtime/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(event_loop)

// An unexpected exception in a handler ended the whole process.
BOOST_AUTO_TEST_CASE(an_exception_ends_only_its_handler) {
  std::vector<std::string> Errors;
  EventLoop Loop([&](const auto &Message) { Errors.push_back(Message); });
  Loop.start();
  Loop.post([] { throw std::out_of_range("unexpected"); });
  bool Ran = false;
  Loop.run([&] { Ran = true; });
  BOOST_TEST(Ran);
  Loop.stop();
  BOOST_TEST((Errors == std::vector<std::string>{"unexpected"}));
}

BOOST_AUTO_TEST_CASE(ticks_go_on_after_an_exception) {
  connection::asio::io_context Context{1};
  int Ticks = 0;
  tickEvery(makeSchedule(Context), 1ms, [&] {
    if (++Ticks == 5)
      Context.stop();
    throw std::runtime_error("unexpected");
  });
  int Errors = 0;
  runHandlers(Context, [&](const auto &) { ++Errors; });
  BOOST_TEST(Ticks == 5);
  BOOST_TEST(Errors == 5);
}

BOOST_AUTO_TEST_SUITE_END()
