/// \file
/// \brief Tests that the resources of a run are freed only when the run has
/// certainly ended.
#include "wigeonwall/request/run_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  RunTracker Tracker_{RunTrackerOptions{}};
  TimePoint Now_{1h};

  Fixture() {
    Tracker_.onReport(report(1'000, 1), Now_);
    Tracker_.onListing({10'000, {}, {}}, Now_, Now_);
  }

  static MinionReport report(std::int64_t StartedAtMs, std::int64_t Sequence) {
    MinionReport Report;
    Report.Incarnation_ = {"minion", StartedAtMs};
    Report.Sequence_ = Sequence;
    Report.Capacity_ = {10'000, 1'000, 0};
    Report.ClockMs_ = 10'000;
    return Report;
  }

  RunKey begin(const std::string &Task) {
    return Tracker_.begin(Task, 1, {6'000, 100, 0}, Now_);
  }
  std::int64_t freeCpu() { return Tracker_.free().CpuMillicores_; }

  std::vector<EndedRun> receiveListing(std::vector<RunningRow> Running,
                                       std::vector<EndedRow> Ended = {}) {
    Now_ += 10ms;
    const TimePoint RequestedAt = Now_;
    Now_ += 1ms;
    return Tracker_.onListing(
        {Tracker_.minionClock(Now_), std::move(Running), std::move(Ended)},
        RequestedAt, Now_);
  }
};

struct ReplyCase {
  StartReply Reply_;
  std::int64_t FreeAfter_;
};

const ReplyCase ReplyCases[] = {
    {StartReply::Started, 4'000},           {StartReply::Unknown, 4'000},
    {StartReply::Fenced, 10'000},           {StartReply::OldNumber, 10'000},
    {StartReply::TooLate, 10'000},          {StartReply::NoRoom, 10'000},
    {StartReply::Unavailable, 10'000},      {StartReply::Malformed, 10'000},
    {StartReply::OtherIncarnation, 10'000},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_tracker, Fixture)

BOOST_AUTO_TEST_CASE(only_a_definite_refusal_frees_resources) {
  for (const ReplyCase &Case : ReplyCases) {
    Fixture Fresh;
    const RunKey Key = Fresh.begin("a");
    Fresh.Tracker_.onStartReply(Key, Case.Reply_, Fresh.Now_);
    BOOST_TEST_CONTEXT(findName(StartReplyNames, Case.Reply_))
    BOOST_TEST(Fresh.freeCpu() == Case.FreeAfter_);
  }
}

BOOST_AUTO_TEST_CASE(a_listing_does_not_end_a_start_in_flight) {
  begin("a");
  BOOST_TEST(receiveListing({}).empty());
  BOOST_TEST(freeCpu() == 4'000);
}

BOOST_AUTO_TEST_CASE(a_listing_requested_before_the_reply_ends_no_run) {
  const RunKey Key = begin("a");
  const TimePoint RequestedAt = Now_;
  Now_ += 5ms;
  Tracker_.onStartReply(Key, StartReply::Started, Now_);
  BOOST_TEST(Tracker_.onListing({10'010, {}, {}}, RequestedAt, Now_).empty());
  BOOST_TEST(receiveListing({}).size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_stopped_and_then_listed) {
  const RunKey Key = begin("a");
  Tracker_.onStartReply(Key, StartReply::Unknown, Now_);
  BOOST_TEST(Tracker_.stopsDue(Now_).empty());
  BOOST_TEST(receiveListing({}).empty());
  BOOST_TEST(Tracker_.stopsDue(Now_).size() == 1u);
  BOOST_TEST(receiveListing({}).empty());
  Tracker_.onStopAcknowledged(Key, Now_);
  const auto Ended = receiveListing({});
  BOOST_REQUIRE(Ended.size() == 1u);
  BOOST_TEST((Ended[0].End_ == RunEnd::NeverRan));
  BOOST_TEST(freeCpu() == 10'000);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_that_is_listed_continues) {
  const RunKey Key = begin("a");
  Tracker_.onStartReply(Key, StartReply::Unknown, Now_);
  receiveListing({{Key, 10}});
  BOOST_TEST(Tracker_.stopsDue(Now_).empty());
  BOOST_TEST(!Tracker_.hasUnconfirmedStart());
}

BOOST_AUTO_TEST_CASE(a_stopped_run_frees_its_resources_once_its_end_is_listed) {
  const RunKey Key = begin("a");
  Tracker_.onStartReply(Key, StartReply::Started, Now_);
  Tracker_.requestStop(Key);
  BOOST_TEST(Tracker_.stopsDue(Now_).size() == 1u);
  Tracker_.onStopAcknowledged(Key, Now_);
  receiveListing({{Key, 50}});
  BOOST_TEST(freeCpu() == 4'000);
  const auto Ended = receiveListing({}, {{1, Key, RunEnd::Stopped}});
  BOOST_REQUIRE(Ended.size() == 1u);
  BOOST_TEST((Ended[0].End_ == RunEnd::Stopped));
  BOOST_TEST(freeCpu() == 10'000);
  BOOST_TEST(Tracker_.lastObservedEnd() == 1);
}

BOOST_AUTO_TEST_CASE(runs_of_an_earlier_agent_block_starts_and_are_stopped) {
  const RunKey Orphan{"z", 4};
  receiveListing({{Orphan, 5}});
  BOOST_TEST(!Tracker_.canStart({1, 1, 0}));
  const auto Due = Tracker_.stopsDue(Now_);
  BOOST_REQUIRE(Due.size() == 1u);
  BOOST_TEST((Due[0] == Orphan));
  receiveListing({}, {{1, Orphan, RunEnd::Stopped}});
  BOOST_TEST(Tracker_.canStart({1, 1, 0}));
}

// Two listing requests may be in flight. The second was sent before the reply
// to the first arrived, so it acknowledges no end.
BOOST_AUTO_TEST_CASE(an_end_that_is_listed_again_must_be_acknowledged) {
  const RunKey Key = begin("a");
  receiveListing({}, {{1, Key, RunEnd::Done}});
  BOOST_TEST(Tracker_.needsListing());
  receiveListing({}, {{1, Key, RunEnd::Done}});
  BOOST_TEST(Tracker_.needsListing());
  receiveListing({});
  BOOST_TEST(!Tracker_.needsListing());
}

BOOST_AUTO_TEST_CASE(numbers_exceed_those_of_listed_ends) {
  receiveListing({}, {{1, {"a", 7}, RunEnd::Stopped}});
  BOOST_TEST(begin("a").Number_ == 8);
}

BOOST_AUTO_TEST_CASE(runs_lapse_after_the_last_lease_with_clock_drift) {
  begin("a");
  (void)Tracker_.grantLease(Now_);
  Now_ += 1'020ms;
  BOOST_TEST(Tracker_.expire(Now_).empty());
  Now_ += 40ms;
  BOOST_TEST(Tracker_.expire(Now_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(starts_wait_for_the_first_listing_of_an_incarnation) {
  Tracker_.onReport(report(2'000, 1), Now_);
  BOOST_TEST(!Tracker_.canStart({1, 1, 0}));
  receiveListing({});
  BOOST_TEST(Tracker_.canStart({1, 1, 0}));
}

// A minion may restart with the same id before its report arrives. The new
// incarnation then executes start requests meant for the earlier one.
BOOST_AUTO_TEST_CASE(a_new_incarnation_keeps_unlisted_runs_of_the_old_one) {
  const RunKey Listed = Tracker_.begin("a", 1, {2'000, 100, 0}, Now_);
  receiveListing({{Listed, 10}});
  const RunKey Kept = Tracker_.begin("b", 1, {2'000, 100, 0}, Now_);
  const RunKey Absent = Tracker_.begin("c", 1, {2'000, 100, 0}, Now_);
  for (const RunKey &Key : {Kept, Absent})
    Tracker_.onStartReply(Key, StartReply::Started, Now_);
  const auto Lost = Tracker_.onReport(report(2'000, 1), Now_);
  BOOST_REQUIRE(Lost.size() == 1u);
  BOOST_TEST((Lost.front().Key_ == Listed));
  BOOST_TEST(freeCpu() == 6'000);
  BOOST_TEST(receiveListing({{Kept, 10}}).empty());
  BOOST_REQUIRE(Tracker_.stopsDue(Now_).size() == 1u);
  Tracker_.onStopAcknowledged(Absent, Now_);
  const auto Ended = receiveListing({{Kept, 20}});
  BOOST_REQUIRE(Ended.size() == 1u);
  BOOST_TEST((Ended.front().Key_ == Absent));
  // It may have run in the earlier incarnation.
  BOOST_TEST((Ended.front().End_ == RunEnd::Lost));
  BOOST_TEST(freeCpu() == 8'000);
}

BOOST_AUTO_TEST_CASE(a_minion_with_another_id_ends_earlier_runs) {
  const RunKey Key = begin("a");
  Tracker_.onStartReply(Key, StartReply::Started, Now_);
  MinionReport Other = report(2'000, 1);
  Other.Incarnation_.Id_ = "other";
  BOOST_TEST(Tracker_.onReport(Other, Now_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_late_report_of_the_same_incarnation_is_ignored) {
  MinionReport Draining = report(1'000, 3);
  Draining.Draining_ = true;
  Tracker_.onReport(Draining, Now_);
  Tracker_.onReport(report(1'000, 2), Now_);
  BOOST_TEST(Tracker_.draining());
}

BOOST_AUTO_TEST_SUITE_END()
