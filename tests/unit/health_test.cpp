/// \file
/// \brief Tests ejection: a failing minion must be ejected, and a working one
/// must not.
#include "wigeonwall/request/health.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint Time_;
  HealthTracker Health_{[this] { return Time_; }};

  /// Starts and ends one task per character with status 200 (s), 400 (p) or
  /// 500 (e), or a connection error (c).
  void run(const std::string &Outcomes) {
    for (const char Code : Outcomes)
      Health_.record(Health_.begin(),
                     Code == 'c' ? MinionOutcome::ConnectionError
                                 : classifyStatus(Code == 's'   ? 200
                                                  : Code == 'p' ? 400
                                                                : 500));
  }
};

struct EjectionCase {
  const char *Outcomes_;
  int Repeat_;
  HealthState Expected_;
};

const EjectionCase EjectionCases[] = {
    {"eeeee", 1, HealthState::Ejected},
    {"ccccc", 1, HealthState::Ejected},
    {"ssssssss"
     "eeeee",
     1, HealthState::Ejected},
    {"e", 1, HealthState::Healthy},
    {"se", 100, HealthState::Healthy},
    {"seess", 100, HealthState::Healthy},
    {"p", 100, HealthState::Healthy},
    {"pppeee", 1, HealthState::Ejected},
};

struct LimitCase {
  std::size_t Total_;
  std::vector<EjectedMinion> Ejected_;
  std::vector<std::string> Expected_;
};

const LimitCase LimitCases[] = {
    {11, {{"a", 1}, {"b", 5}, {"c", 3}, {"d", 2}}, {"b", "c", "d"}},
    {11, {{"a", 1}}, {"a"}},
    {3, {{"b", 1}, {"a", 1}}, {"a"}},
    {2, {{"a", 9}, {"b", 9}}, {}},
};

} // namespace

// Guards against late ejection, and against ejection because of single failures
// or malformed payloads.
BOOST_AUTO_TEST_CASE(outcomes_decide_ejection) {
  for (const EjectionCase &Case : EjectionCases) {
    Fixture Minion;
    for (int I = 0; I < Case.Repeat_; ++I)
      Minion.run(Case.Outcomes_);
    BOOST_TEST((Minion.Health_.state() == Case.Expected_), Case.Outcomes_);
  }
}

// Guards against frequent probes of a failing minion: each failed probe doubles
// the back-off up to the maximum.
BOOST_FIXTURE_TEST_CASE(backoff_doubles_to_the_maximum, Fixture) {
  run("eeeee");
  for (const Duration Backoff : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
    BOOST_TEST((Health_.ejectedFor() == Backoff));
    Time_ += Backoff - 1ns;
    BOOST_TEST(!Health_.canStart());
    Time_ += 1ns;
    BOOST_TEST(Health_.canStart());
    BOOST_TEST((Health_.ejectedFor() == Duration::zero()));
    run("e");
  }
}

// Guards against overloading a minion that has just recovered.
BOOST_FIXTURE_TEST_CASE(probes_run_one_at_a_time, Fixture) {
  run("eeeee");
  Time_ += 1s;
  for (int I = 0; I < 3; ++I) {
    BOOST_TEST((Health_.state() == HealthState::Probing));
    const auto Ticket = Health_.begin();
    BOOST_TEST(!Health_.canStart());
    Health_.record(Ticket, MinionOutcome::Success);
  }
  BOOST_TEST((Health_.state() == HealthState::Healthy));
}

// Guards against a cancelled probe that blocks all later ones.
BOOST_FIXTURE_TEST_CASE(abandoned_probe_allows_the_next, Fixture) {
  run("eeeee");
  Time_ += 1s;
  Health_.abandon(Health_.begin());
  BOOST_TEST(Health_.canStart());
}

// Guards against late failures of tasks that started before the ejection. They
// would count as failed probes and extend the back-off.
BOOST_FIXTURE_TEST_CASE(late_outcomes_are_ignored, Fixture) {
  const auto Old = Health_.begin();
  run("eeeee");
  Time_ += 1s;
  BOOST_TEST((Health_.state() == HealthState::Probing));
  Health_.record(Old, MinionOutcome::ServerError);
  BOOST_TEST(Health_.canStart());
}

// Guards against resetting the back-off of a flapping minion, and against a
// back-off that is never reset.
BOOST_FIXTURE_TEST_CASE(backoff_resets_after_healthy_work, Fixture) {
  const std::string Recover = "sss";
  run("eeeee");
  Time_ += 1s;
  run(Recover + "eeeee");
  Time_ += 1s;
  BOOST_TEST((Health_.state() == HealthState::Ejected));
  Time_ += 1s;
  run(Recover + std::string(20, 's') + "eeeee");
  Time_ += 1s;
  BOOST_TEST((Health_.state() == HealthState::Probing));
}

// Guards against a service left without minions when all of them fail.
BOOST_AUTO_TEST_CASE(homes_follow_at_most_a_third_of_ejections) {
  for (const LimitCase &Case : LimitCases)
    BOOST_TEST(limitEjections(Case.Ejected_, Case.Total_) == Case.Expected_,
               boost::test_tools::per_element());
}
