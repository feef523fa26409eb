/// \file
/// \brief Tests how kinds share a minion's slots: no kind starves or exceeds
/// its limit, and the queue neither loses nor duplicates tasks.
#include "wigeonwall/request/fair_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint Time_;
  std::uint64_t Tickets_ = 0;

  FairQueue make(unsigned Slots, std::vector<KindPolicy> Kinds,
                 QueuePolicy Policy = QueuePolicy::Fair) {
    return {Policy, Slots, std::move(Kinds), [this] { return Time_; }};
  }

  QueuedTask task(const std::string &Kind, Duration Deadline = 10s,
                  const std::string &Job = "j") {
    return {{"s", Job}, 0, Kind, Time_ + Deadline, 100ms, ++Tickets_};
  }

  void fill(FairQueue &Queue, const std::string &Kind, int Count) {
    for (int I = 0; I < Count; ++I)
      BOOST_REQUIRE(Queue.push(task(Kind)) == Reason::None);
  }

  /// Runs tasks one after another and counts the starts per kind.
  std::map<std::string, int> run(FairQueue &Queue, int Starts) {
    std::map<std::string, int> Counts;
    for (int I = 0; I < Starts; ++I, Time_ += 100ms)
      if (const auto Task = Queue.pop()) {
        ++Counts[Task->Kind_];
        Queue.finish(Task->Kind_);
      }
    return Counts;
  }
};

struct ShareCase {
  const char *Name_;
  KindPolicy A_;
  KindPolicy B_;
  int MinA_;
  int MaxA_;
};

// Number of starts of kind a out of 100 on one slot, with both kinds
// backlogged.
const ShareCase ShareCases[] = {
    {"weights", {"a", 0, 3.0, 0.0, 200}, {"b", 9, 1.0, 0.0, 200}, 74, 76},
    {"urgency does not starve",
     {"a", 0, 1, 0, 200},
     {"b", 9, 1, 0, 200},
     49,
     51},
    {"guarantee", {"a", 0, 0.001, 0.5, 200}, {"b", 9, 1, 0, 200}, 49, 52},
    {"a small guarantee of an urgent kind does not use the whole slot",
     {"a", 9, 0.001, 0.1, 200},
     {"b", 0, 1, 0.5, 200},
     9,
     12},
    {"guarantees above one are reduced",
     {"a", 9, 1, 2, 200},
     {"b", 0, 1, 2, 200},
     45,
     55},
    {"zero weight is served last",
     {"a", 9, 0, 0, 200},
     {"b", 0, 1, 0, 200},
     0,
     1},
};

struct PushCase {
  const char *Kind_;
  Reason Expected_;
};

const PushCase PushCases[] = {{"open", Reason::None},
                              {"open", Reason::None},
                              {"open", Reason::QueueFull},
                              {"closed", Reason::LimitIsZero},
                              {"other", Reason::UnknownKind}};

} // namespace

// Guards against starvation by weight, urgency or guarantee.
BOOST_FIXTURE_TEST_CASE(slots_follow_weights_and_guarantees, Fixture) {
  for (const ShareCase &Case : ShareCases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      FairQueue Queue = make(1, {Case.A_, Case.B_});
      fill(Queue, "a", 150);
      fill(Queue, "b", 150);
      const int Starts = run(Queue, 100)["a"];
      BOOST_TEST(Starts >= Case.MinA_);
      BOOST_TEST(Starts <= Case.MaxA_);
    }
}

// Guards against an unbounded queue and wrong reasons for refusals.
BOOST_FIXTURE_TEST_CASE(push_is_bounded_per_kind, Fixture) {
  FairQueue Queue = make(1, {{"open", 0, 1, 0, 2}, {"closed", 0, 1, 0, 0}});
  for (const PushCase &Case : PushCases)
    BOOST_TEST((Queue.push(task(Case.Kind_)) == Case.Expected_), Case.Kind_);
  BOOST_TEST(Queue.load().Queued_ == 2U);
}

// Guards against more starts than slots.
BOOST_FIXTURE_TEST_CASE(running_tasks_do_not_exceed_slots, Fixture) {
  FairQueue Queue = make(2, {{"a", 0, 1, 0, 9}});
  fill(Queue, "a", 3);
  BOOST_TEST(Queue.pop().has_value());
  BOOST_TEST(Queue.pop().has_value());
  BOOST_TEST(!Queue.pop().has_value());
  Queue.finish("unknown");
  BOOST_TEST(!Queue.pop().has_value());
  Queue.finish("a");
  BOOST_TEST(Queue.pop().has_value());
  BOOST_TEST(Queue.load().Running_ == 2U);
}

// Guards against credit for idle time: after a kind was idle, neither it nor
// the kind that used the idle slots is preferred.
BOOST_FIXTURE_TEST_CASE(idle_time_gives_no_credit, Fixture) {
  FairQueue Queue = make(1, {{"a", 0, 1, 0, 200}, {"b", 0, 1, 0, 200}});
  for (int I = 0; I < 100; ++I) {
    fill(Queue, "a", 1);
    run(Queue, 1);
  }
  fill(Queue, "a", 100);
  fill(Queue, "b", 100);
  const int Starts = run(Queue, 20)["b"];
  BOOST_TEST(Starts >= 9);
  BOOST_TEST(Starts <= 11);
}

// Guards against a wrong order within a kind: by deadline under Fair, by
// arrival under Fifo.
BOOST_FIXTURE_TEST_CASE(order_within_a_kind, Fixture) {
  for (const auto &[Policy, First] :
       {std::pair(QueuePolicy::Fair, 2U), std::pair(QueuePolicy::Fifo, 1U)}) {
    Tickets_ = 0;
    FairQueue Queue = make(1, {{"a", 0, 1, 0, 9}}, Policy);
    for (const Duration Deadline : {3s, 1s, 2s})
      BOOST_REQUIRE(Queue.push(task("a", Deadline)) == Reason::None);
    BOOST_TEST(Queue.pop()->Ticket_ == First);
  }
}

// Guards against a guaranteed kind that has to wait until a task of a flooding
// kind ends, and against a slot left idle when there is no flood.
BOOST_FIXTURE_TEST_CASE(one_slot_is_reserved_during_a_flood, Fixture) {
  for (const auto &[Queued, Started] : {std::pair(40, 7), std::pair(12, 8)}) {
    FairQueue Queue =
        make(8, {{"flood", 9, 1, 0, 100}, {"rare", 0, 1, 0.25, 100}});
    fill(Queue, "flood", Queued);
    int Count = 0;
    while (Queue.pop())
      ++Count;
    BOOST_TEST(Count == Started);
    fill(Queue, "rare", 1);
    if (Started == 7)
      BOOST_TEST(Queue.pop()->Kind_ == "rare");
  }
}

// Guards against cancelled or expired tasks, or tasks of removed kinds, that
// stay queued or are removed without being returned.
BOOST_FIXTURE_TEST_CASE(removed_tasks_are_returned, Fixture) {
  const std::vector<KindPolicy> Kinds = {{"a", 0, 1, 0, 9}, {"b", 0, 1, 0, 9}};
  FairQueue Queue = make(1, Kinds);
  fill(Queue, "b", 1);
  BOOST_REQUIRE(Queue.pop().has_value());
  BOOST_REQUIRE(Queue.push(task("a", 1s, "x")) == Reason::None);
  BOOST_REQUIRE(Queue.push(task("b", 5s, "x")) == Reason::None);
  BOOST_REQUIRE(Queue.push(task("a", 1s, "y")) == Reason::None);
  BOOST_REQUIRE(Queue.push(task("b", 5s, "z")) == Reason::None);
  BOOST_REQUIRE(Queue.push(task("a", 5s, "z")) == Reason::None);
  BOOST_TEST(Queue.removeJob({"s", "x"}).size() == 2U);
  BOOST_TEST(Queue.removeExpired().empty());
  Time_ += 1s;
  BOOST_TEST(Queue.removeExpired().size() == 1U);
  BOOST_TEST(Queue.setPolicies({Kinds[0]}).size() == 1U);
  BOOST_TEST((Queue.push(task("b")) == Reason::UnknownKind));
  BOOST_TEST(Queue.load().Running_ == 1U);
  Queue.finish("b");
  BOOST_TEST(Queue.load().Running_ == 0U);
  BOOST_TEST(Queue.clear().size() == 1U);
  BOOST_TEST(Queue.load().Queued_ == 0U);
}
