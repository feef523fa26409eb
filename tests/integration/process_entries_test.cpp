/// \file
/// \brief Tests the guarantees to callers when entries are killed, stopped or
/// replaced.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Time within which a load balancer detects that an entry is not ready.
constexpr milliseconds BalancerDetectionTime{300};
/// Exceeds the longest job, because a stopping entry waits for its answers.
constexpr seconds StopTimeout{15};

} // namespace

/// Callers whose answer is lost with the killed entry resubmit through the
/// other entry and must receive the answer of the same run.
BOOST_AUTO_TEST_CASE(entry_killed) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Stream_->expectLoss(Run.Cluster_.callers("entry-0"));
  Run.kill("entry-0");
  Run.load(seconds(5));
  Run.check(0.9);
}

/// Guards against a planned stop that drops the connections of waiting callers.
BOOST_AUTO_TEST_CASE(entry_stopped) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.Cluster_.signal("entry-0", SIGTERM);
  Run.load(BalancerDetectionTime);
  BOOST_TEST(!Run.Cluster_.ready("entry-0"));
  Run.Stream_->avoid(Run.Cluster_.callers("entry-0"));
  BOOST_TEST(Run.Cluster_.waitExit("entry-0", StopTimeout).value_or(-1) == 0);
  Run.load(seconds(1));
  Run.check(0.95);
}

/// All entries are replaced at once: the new ones must discover the other
/// processes while the old ones leave, and no request may be interrupted.
BOOST_AUTO_TEST_CASE(all_entries_replaced) {
  FailureRun Run({.SpareEntries_ = 2});
  Run.load(seconds(2));
  for (const char *Entry : {"entry-2", "entry-3"}) {
    Run.Cluster_.startProcess(Entry);
    Run.Stream_->add(Run.Cluster_.callers(Entry));
  }
  for (const char *Entry : {"entry-0", "entry-1"})
    Run.Cluster_.signal(Entry, SIGTERM);
  Run.load(BalancerDetectionTime);
  for (const char *Entry : {"entry-0", "entry-1"})
    Run.Stream_->avoid(Run.Cluster_.callers(Entry));
  for (const char *Entry : {"entry-0", "entry-1"})
    BOOST_TEST(Run.Cluster_.waitExit(Entry, StopTimeout).value_or(-1) == 0);
  BOOST_TEST(Run.Cluster_.waitReady(seconds(10)));
  Run.load(seconds(2));
  Run.check(0.95);
}
