/// \file
/// \brief Tests how long and how many cancellations are remembered.
#include "standins/virtual_time.h"
#include "wigeonwall/process/dispatch/recent_cancellations.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  standins::VirtualTime Time_;
  RecentCancellations Recent_{{10s, 3}, Time_.clock()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(recent_cancellations, Fixture)

BOOST_AUTO_TEST_CASE(a_cancellation_is_remembered_for_the_retention) {
  BOOST_TEST((Recent_.remaining("a") == 0s));
  Recent_.add("a");
  Time_.advance(9s);
  BOOST_TEST((Recent_.remaining("a") == 1s));
  BOOST_TEST((Recent_.remaining("b") == 0s));
  Time_.advance(1s);
  BOOST_TEST((Recent_.remaining("a") == 0s));
}

BOOST_AUTO_TEST_CASE(a_repeated_cancellation_counts_from_the_last_one) {
  Recent_.add("a");
  Time_.advance(6s);
  Recent_.add("a");
  Time_.advance(6s);
  Recent_.add("b");
  BOOST_TEST((Recent_.remaining("a") == 4s));
  Time_.advance(5s);
  BOOST_TEST((Recent_.remaining("a") == 0s));
  BOOST_TEST((Recent_.remaining("b") == 5s));
}

BOOST_AUTO_TEST_CASE(the_oldest_are_forgotten_beyond_the_limit) {
  for (const char *Id : {"a", "b", "c", "d"})
    Recent_.add(Id);
  BOOST_TEST((Recent_.remaining("a") == 0s));
  for (const char *Id : {"b", "c", "d"})
    BOOST_TEST((Recent_.remaining(Id) == 10s));
}

// Each cancellation of another entry is remembered, and clients may send such
// messages too.
BOOST_AUTO_TEST_CASE(ids_that_no_job_has_are_not_kept) {
  const std::string Long(65, 'a');
  Recent_.add(Long);
  Recent_.add("");
  BOOST_TEST((Recent_.remaining(Long) == 0s));
  BOOST_TEST((Recent_.remaining("") == 0s));
  Recent_.add(Long.substr(1));
  BOOST_TEST((Recent_.remaining(Long.substr(1)) == 10s));
}

BOOST_AUTO_TEST_SUITE_END()
