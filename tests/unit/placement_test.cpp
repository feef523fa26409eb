/// \file
/// \brief Tests placement: jobs are spread, busy agents are avoided, and
/// excluded agents get no tasks.
#include "wigeonwall/request/placement.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint Time_;

  Placer make(PlacementPolicy Policy, unsigned Agents) {
    Placer Result(
        makePlacementFunction(Policy), [this] { return Time_; }, 7);
    std::set<std::string> Ids;
    for (unsigned I = 0; I < Agents; ++I)
      Ids.insert({static_cast<char>('a' + I)});
    Result.setAgents(Ids);
    return Result;
  }

  static std::map<std::string, int>
  count(Placer &From, std::size_t Count,
        const std::set<std::string> &Excluded = {}) {
    std::map<std::string, int> Counts;
    for (const std::string &Id : From.choose(Count, Excluded))
      ++Counts[Id];
    return Counts;
  }
};

struct SpreadCase {
  PlacementPolicy Policy_;
  /// Maximum number of tasks at one of 10 agents for a job of 170 tasks.
  int MaxTasks_;
};

const SpreadCase SpreadCases[] = {{PlacementPolicy::Random, 32},
                                  {PlacementPolicy::TwoChoices, 20},
                                  {PlacementPolicy::LeastLoaded, 17}};

struct LoadCase {
  const char *Name_;
  AgentLoad A_;
  AgentLoad B_;
  /// Age of the report of a; the report of b is new.
  Duration AgeOfA_;
  const char *Expected_;
};

const LoadCase LoadCases[] = {
    {"queue counts", {8, 4, 8}, {8, 2, 8}, 0s, "b"},
    {"relative to slots", {8, 0, 16}, {6, 0, 8}, 0s, "a"},
    {"one free slot of many", {0, 0, 1}, {2, 0, 8}, 0s, "b"},
    {"recent report", {8, 40, 8}, {8, 2, 8}, 20ms, "b"},
    {"old report of high load does not exclude",
     {8, 40, 8},
     {8, 2, 8},
     5s,
     "a"},
};

} // namespace

// Guards against a job that is placed on few agents.
BOOST_FIXTURE_TEST_CASE(large_job_spreads, Fixture) {
  for (const SpreadCase &Case : SpreadCases) {
    Placer Placer = make(Case.Policy_, 10);
    for (const auto &[Id, Count] : count(Placer, MaxTasksPerJob))
      BOOST_TEST(Count <= Case.MaxTasks_,
                 findName(PlacementPolicyNames, Case.Policy_) << " " << Id);
  }
}

// Guards against misinterpreted reports: the expected one of two agents gets
// the next task. If its report is old, both are estimated alike, so the
// expected agent must get at least one of eight tasks.
BOOST_FIXTURE_TEST_CASE(less_loaded_agent_is_chosen, Fixture) {
  for (const LoadCase &Case : LoadCases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      Placer Placer = make(PlacementPolicy::LeastLoaded, 2);
      Placer.report("a", Case.A_);
      Time_ += Case.AgeOfA_;
      Placer.report("b", Case.B_);
      const auto Counts = count(Placer, Case.AgeOfA_ > 1s ? 8 : 1);
      BOOST_TEST(Counts.count(Case.Expected_) == 1U);
    }
}

// Guards against placing tasks on agents that are dead, draining, have refused
// the task, or are ejected while others are available.
BOOST_FIXTURE_TEST_CASE(excluded_agents_get_no_tasks, Fixture) {
  for (const SpreadCase &Case : SpreadCases) {
    Placer Placer = make(Case.Policy_, 4);
    Placer.setUsable("a", false);
    Placer.setEjected({"b"});
    BOOST_TEST(count(Placer, 50, {"c"})["d"] == 50);
    BOOST_TEST(count(Placer, 5, {"c", "d"})["b"] == 5);
    BOOST_TEST(Placer.choose(1, {"b", "c", "d"}).empty());
    Placer.setEjected({});
    BOOST_TEST(count(Placer, 500)["b"] > 0);
  }
}

// Guards against counting tasks twice or not at all: tasks in transit count
// until the reply to their start, also if another report arrives in between.
BOOST_FIXTURE_TEST_CASE(unreported_tasks_count_once, Fixture) {
  Placer Placer = make(PlacementPolicy::LeastLoaded, 1);
  BOOST_TEST(Placer.choose(4).size() == 4U);
  Placer.report("a", {2, 0, 8});
  BOOST_TEST(Placer.meanLoad() == 6.0 / 8);
  Placer.acknowledge("a", 4, {6, 0, 8});
  BOOST_TEST(Placer.meanLoad() == 6.0 / 8);
  Placer.finish("a", 3);
  BOOST_TEST(Placer.choose(1).size() == 1U);
  Placer.withdraw("a", 1);
  Placer.report("a", {2, 0, 8});
  BOOST_TEST(Placer.meanLoad() == 2.0 / 8);
  Placer.finish("a", 4);
  BOOST_TEST(Placer.agents().front().InFlight_ == 0U);
  Placer.setAgents({"a", "z"});
  BOOST_TEST(Placer.agents().front().Load_.Running_ == 2U);
}
