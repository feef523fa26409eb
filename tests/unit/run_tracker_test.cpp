/// \file
/// \brief Guards the rule that room is freed only when a run is over for
/// certain.
#include "wigeonwall/request/run_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  RunTracker Gate_{RunTrackerOptions{}};
  TimePoint Now_{1h};

  Fixture() {
    Gate_.onReport(report(1'000, 1), Now_);
    Gate_.onListing({10'000, {}, {}}, Now_, Now_);
  }

  static MinionReport report(std::int64_t BornMs, std::int64_t Sequence) {
    MinionReport Report;
    Report.Incarnation_ = {"minion", BornMs};
    Report.Sequence_ = Sequence;
    Report.Capacity_ = {10'000, 1'000, 0};
    Report.ClockMs_ = 10'000;
    return Report;
  }

  RunKey begin(const std::string &Task) {
    return Gate_.begin(Task, 1, {6'000, 100, 0}, Now_);
  }
  std::int64_t free() { return Gate_.free().CpuMillicores_; }

  std::vector<EndedRun> list(std::vector<RunningRow> Running,
                             std::vector<EndedRow> Ended = {}) {
    Now_ += 10ms;
    const TimePoint AskedAt = Now_;
    Now_ += 1ms;
    return Gate_.onListing(
        {Gate_.minionClock(Now_), std::move(Running), std::move(Ended)},
        AskedAt, Now_);
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

BOOST_AUTO_TEST_CASE(only_a_certain_refusal_frees_room) {
  for (const ReplyCase &Each : ReplyCases) {
    Fixture Fresh;
    const RunKey Key = Fresh.begin("a");
    Fresh.Gate_.onStartReply(Key, Each.Reply_, Fresh.Now_);
    BOOST_TEST_CONTEXT(findName(StartReplyNames, Each.Reply_))
    BOOST_TEST(Fresh.free() == Each.FreeAfter_);
  }
}

BOOST_AUTO_TEST_CASE(an_order_under_way_is_not_settled_by_a_listing) {
  begin("a");
  BOOST_TEST(list({}).empty());
  BOOST_TEST(free() == 4'000);
}

BOOST_AUTO_TEST_CASE(a_listing_asked_for_before_the_reply_settles_nothing) {
  const RunKey Key = begin("a");
  const TimePoint AskedAt = Now_;
  Now_ += 5ms;
  Gate_.onStartReply(Key, StartReply::Started, Now_);
  BOOST_TEST(Gate_.onListing({10'010, {}, {}}, AskedAt, Now_).empty());
  BOOST_TEST(list({}).size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_stopped_and_then_looked_for) {
  const RunKey Key = begin("a");
  Gate_.onStartReply(Key, StartReply::Unknown, Now_);
  BOOST_TEST(Gate_.stopsDue(Now_).empty());
  BOOST_TEST(list({}).empty());
  BOOST_TEST(Gate_.stopsDue(Now_).size() == 1u);
  BOOST_TEST(list({}).empty());
  Gate_.onStopAcknowledged(Key, Now_);
  const auto Settled = list({});
  BOOST_REQUIRE(Settled.size() == 1u);
  BOOST_TEST((Settled[0].End_ == RunEnd::NeverRan));
  BOOST_TEST(free() == 10'000);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_that_runs_goes_on) {
  const RunKey Key = begin("a");
  Gate_.onStartReply(Key, StartReply::Unknown, Now_);
  list({{Key, 10}});
  BOOST_TEST(Gate_.stopsDue(Now_).empty());
  BOOST_TEST(!Gate_.hasUnconfirmedStart());
}

BOOST_AUTO_TEST_CASE(room_of_a_stopped_run_is_free_once_its_end_is_listed) {
  const RunKey Key = begin("a");
  Gate_.onStartReply(Key, StartReply::Started, Now_);
  Gate_.requestStop(Key);
  BOOST_TEST(Gate_.stopsDue(Now_).size() == 1u);
  Gate_.onStopAcknowledged(Key, Now_);
  list({{Key, 50}});
  BOOST_TEST(free() == 4'000);
  const auto Settled = list({}, {{1, Key, RunEnd::Stopped}});
  BOOST_REQUIRE(Settled.size() == 1u);
  BOOST_TEST((Settled[0].End_ == RunEnd::Stopped));
  BOOST_TEST(free() == 10'000);
  BOOST_TEST(Gate_.lastObservedEnd() == 1);
}

BOOST_AUTO_TEST_CASE(runs_of_an_earlier_agent_block_starts_and_are_stopped) {
  const RunKey Stray{"z", 4};
  list({{Stray, 5}});
  BOOST_TEST(!Gate_.canStart({1, 1, 0}));
  const auto Due = Gate_.stopsDue(Now_);
  BOOST_REQUIRE(Due.size() == 1u);
  BOOST_TEST((Due[0] == Stray));
  list({}, {{1, Stray, RunEnd::Stopped}});
  BOOST_TEST(Gate_.canStart({1, 1, 0}));
}

// Two looks may be under way; the second was asked before the first end was
// known, and so acknowledges nothing.
BOOST_AUTO_TEST_CASE(an_end_that_is_listed_again_is_still_to_be_acknowledged) {
  const RunKey Key = begin("a");
  list({}, {{1, Key, RunEnd::Done}});
  BOOST_TEST(Gate_.needsListing());
  list({}, {{1, Key, RunEnd::Done}});
  BOOST_TEST(Gate_.needsListing());
  list({});
  BOOST_TEST(!Gate_.needsListing());
}

BOOST_AUTO_TEST_CASE(numbers_pass_those_of_ends_that_others_caused) {
  list({}, {{1, {"a", 7}, RunEnd::Stopped}});
  BOOST_TEST(begin("a").Number_ == 8);
}

BOOST_AUTO_TEST_CASE(runs_lapse_after_the_last_lease_on_a_slow_clock) {
  begin("a");
  (void)Gate_.grantLease(Now_);
  Now_ += 1'020ms;
  BOOST_TEST(Gate_.expire(Now_).empty());
  Now_ += 40ms;
  BOOST_TEST(Gate_.expire(Now_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(starts_wait_for_the_first_listing_of_a_life) {
  Gate_.onReport(report(2'000, 1), Now_);
  BOOST_TEST(!Gate_.canStart({1, 1, 0}));
  list({});
  BOOST_TEST(Gate_.canStart({1, 1, 0}));
}

// A minion may come back under its id before its report arrives; the new life
// then carries out what was meant for the earlier one.
BOOST_AUTO_TEST_CASE(a_new_life_may_run_what_no_listing_of_the_old_one_showed) {
  const RunKey Listed = Gate_.begin("a", 1, {2'000, 100, 0}, Now_);
  list({{Listed, 10}});
  const RunKey Kept = Gate_.begin("b", 1, {2'000, 100, 0}, Now_);
  const RunKey Absent = Gate_.begin("c", 1, {2'000, 100, 0}, Now_);
  for (const RunKey &Each : {Kept, Absent})
    Gate_.onStartReply(Each, StartReply::Started, Now_);
  const auto Gone = Gate_.onReport(report(2'000, 1), Now_);
  BOOST_REQUIRE(Gone.size() == 1u);
  BOOST_TEST((Gone.front().Key_ == Listed));
  BOOST_TEST(free() == 6'000);
  BOOST_TEST(list({{Kept, 10}}).empty());
  BOOST_REQUIRE(Gate_.stopsDue(Now_).size() == 1u);
  Gate_.onStopAcknowledged(Absent, Now_);
  const auto Settled = list({{Kept, 20}});
  BOOST_REQUIRE(Settled.size() == 1u);
  BOOST_TEST((Settled.front().Key_ == Absent));
  // It may have run in the earlier life.
  BOOST_TEST((Settled.front().End_ == RunEnd::Lost));
  BOOST_TEST(free() == 8'000);
}

BOOST_AUTO_TEST_CASE(a_minion_with_another_id_refuses_earlier_orders) {
  const RunKey Key = begin("a");
  Gate_.onStartReply(Key, StartReply::Started, Now_);
  MinionReport Other = report(2'000, 1);
  Other.Incarnation_.Id_ = "other";
  BOOST_TEST(Gate_.onReport(Other, Now_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_late_report_of_the_same_life_is_ignored) {
  MinionReport Draining = report(1'000, 3);
  Draining.Draining_ = true;
  Gate_.onReport(Draining, Now_);
  Gate_.onReport(report(1'000, 2), Now_);
  BOOST_TEST(Gate_.draining());
}

BOOST_AUTO_TEST_SUITE_END()
