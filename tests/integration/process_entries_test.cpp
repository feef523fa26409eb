/// \file
/// \brief Guards the promises to callers when entries die, stop or are
/// replaced.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Time in which a balancer sees that an entry is not ready.
constexpr milliseconds BalancerDelay{300};
/// Covers the longest job, whose answer a stopping entry waits for.
constexpr seconds StopTime{15};

} // namespace

/// Answers that only the entry knew: callers resubmit through the other entry
/// and must get the answer of the same run.
BOOST_AUTO_TEST_CASE(entry_killed) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Stream_->expectLoss(Run.Cluster_.callers("entry-0"));
  Run.kill("entry-0");
  Run.load(seconds(5));
  Run.check(0.9);
}

/// A planned stop that cuts off waiting callers.
BOOST_AUTO_TEST_CASE(entry_stopped) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Cluster_.signal("entry-0", SIGTERM);
  Run.load(BalancerDelay);
  BOOST_TEST(!Run.Cluster_.ready("entry-0"));
  Run.Stream_->avoid(Run.Cluster_.callers("entry-0"));
  BOOST_TEST(Run.Cluster_.waitExit("entry-0", StopTime).value_or(-1) == 0);
  Run.load(seconds(1));
  Run.check(0.95);
}

/// Replacement of all entries at once: new ones must find the others while the
/// old ones leave, and no request may be cut off.
BOOST_AUTO_TEST_CASE(all_entries_replaced) {
  FailureRun Run({.SpareEntries_ = 2});
  Run.load(seconds(2));
  for (const char *Entry : {"entry-2", "entry-3"}) {
    Run.Cluster_.startProcess(Entry);
    Run.Stream_->add(Run.Cluster_.callers(Entry));
  }
  for (const char *Entry : {"entry-0", "entry-1"})
    Run.Cluster_.signal(Entry, SIGTERM);
  Run.load(BalancerDelay);
  for (const char *Entry : {"entry-0", "entry-1"})
    Run.Stream_->avoid(Run.Cluster_.callers(Entry));
  for (const char *Entry : {"entry-0", "entry-1"})
    BOOST_TEST(Run.Cluster_.waitExit(Entry, StopTime).value_or(-1) == 0);
  BOOST_TEST(Run.Cluster_.waitReady(seconds(10)));
  Run.load(seconds(2));
  Run.check(0.95);
}
