/// \file
/// \brief Tests which start messages may start a task and which must not.
#include "wigeonwall/request/start_deduplicator.h"

#include "standins/virtual_time.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::request;
using wigeonwall::standins::VirtualTime;

namespace {

constexpr std::chrono::seconds Retention{100};
const JobKey Job{"permit-desk", "j"};

} // namespace

BOOST_AUTO_TEST_CASE(messages_after_the_first) {
  struct Case {
    const char *Name_;
    bool FirstRefused_;
    StartSender Second_;
    StartDecision Expected_;
  };
  const StartSender First{"a", 1, 5, 2};
  const Case Cases[] = {
      {"repeated message", false, {"a", 1, 5, 2}, StartDecision::Repeat},
      {"repeated under a newer epoch",
       false,
       {"a", 1, 6, 2},
       StartDecision::Repeat},
      {"higher attempt while the task may run",
       false,
       {"a", 1, 5, 3},
       StartDecision::Repeat},
      {"another home", false, {"b", 1, 5, 1}, StartDecision::Duplicate},
      {"restarted home", false, {"a", 2, 5, 1}, StartDecision::Duplicate},
      {"another home after a refusal",
       true,
       {"b", 1, 5, 9},
       StartDecision::Duplicate},
      {"late copy of a refused message",
       true,
       {"a", 1, 5, 2},
       StartDecision::Refused},
      {"late copy of an older message",
       true,
       {"a", 1, 5, 1},
       StartDecision::Refused},
      {"next attempt after a refusal",
       true,
       {"a", 1, 5, 3},
       StartDecision::Admit},
      {"next attempt under an older epoch",
       true,
       {"a", 1, 4, 3},
       StartDecision::StaleEpoch},
  };
  for (const Case &Row : Cases) {
    VirtualTime Time;
    StartDeduplicator Deduplicator(Time.clock(), Retention);
    BOOST_TEST((Deduplicator.admit(Job, 0, First) == StartDecision::Admit));
    if (Row.FirstRefused_)
      Deduplicator.refuse(Job, 0);
    BOOST_TEST((Deduplicator.admit(Job, 0, Row.Second_) == Row.Expected_),
               Row.Name_);
  }
}

BOOST_AUTO_TEST_CASE(older_epoch_is_refused_for_new_tasks) {
  VirtualTime Time;
  StartDeduplicator Deduplicator(Time.clock(), Retention);
  Deduplicator.raiseEpoch(7);
  BOOST_TEST((Deduplicator.admit(Job, 0, {"a", 1, 6, 1}) ==
              StartDecision::StaleEpoch));
  BOOST_TEST(
      (Deduplicator.admit(Job, 0, {"a", 1, 7, 1}) == StartDecision::Admit));
}

BOOST_AUTO_TEST_CASE(entries_outlive_a_second_admission) {
  // The expiry of the refused admission must not remove the later one.
  VirtualTime Time;
  StartDeduplicator Deduplicator(Time.clock(), Retention);
  BOOST_TEST(
      (Deduplicator.admit(Job, 0, {"a", 1, 1, 1}) == StartDecision::Admit));
  Deduplicator.refuse(Job, 0);
  Time.advance(std::chrono::seconds(60));
  BOOST_TEST(
      (Deduplicator.admit(Job, 0, {"a", 1, 1, 2}) == StartDecision::Admit));
  Time.advance(std::chrono::seconds(60));
  BOOST_TEST(
      (Deduplicator.admit(Job, 0, {"a", 1, 1, 2}) == StartDecision::Repeat));
  Time.advance(std::chrono::seconds(60));
  BOOST_TEST(
      (Deduplicator.admit(Job, 1, {"a", 1, 1, 1}) == StartDecision::Admit));
  BOOST_TEST(Deduplicator.size() == 1U);
}
