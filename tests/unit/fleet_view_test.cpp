/// \file
/// \brief Tests placement: bursts of several entries must not collide on one
/// minion, and slow minions must not idle while queues grow.
#include "wigeonwall/request/fleet_view.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace wigeonwall::request;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  std::mt19937 Random_{1};
  FleetView View_{
      FleetViewOptions{},
      [this] { return std::uniform_real_distribution<double>(0, 1)(Random_); }};

  static AgentReport report(std::int64_t FreeCpu, double Slowness = 1.0,
                            Duration Wait = 0ms) {
    AgentReport Report;
    Report.Accepting_ = true;
    Report.Service_ = "permit-desk";
    Report.Capacity_ = {32'000, 65'536, 0};
    Report.Free_ = {FreeCpu, 65'536, 0};
    Report.Slowness_ = Slowness;
    Report.Waits_.fill(Wait);
    return Report;
  }

  static BatchJob job(std::uint32_t Tasks) {
    BatchJob Job;
    Job.Id_ = "job";
    Job.TaskCount_ = Tasks;
    Job.Needs_ = {3'000, 64, 0};
    Job.Estimate_ = 60ms;
    return Job;
  }

  std::map<std::string, int> place(const BatchJob &Job,
                                   const std::string &Avoid = "") {
    std::map<std::string, int> Counts;
    for (const TaskPlacement &Placement :
         View_.place(Job, "permit-desk", Job.TaskCount_, 70ms, Avoid, {}))
      ++Counts[Placement.Agent_];
    return Counts;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_view, Fixture)

BOOST_AUTO_TEST_CASE(a_job_is_spread_over_minions_with_free_capacity) {
  for (const char *Name : {"a", "b", "c", "d"})
    View_.onReport(Name, report(32'000));
  for (const auto &[Name, Count] : place(job(8)))
    BOOST_TEST(Count <= 3);
}

BOOST_AUTO_TEST_CASE(
    an_idle_slow_minion_is_preferred_to_a_queue_at_a_fast_one) {
  View_.onReport("fast", report(0, 0.8, 25ms));
  View_.onReport("slow", report(32'000, 1.3));
  BOOST_TEST(place(job(4))["slow"] == 4);
}

BOOST_AUTO_TEST_CASE(a_minion_too_slow_to_be_on_time_is_not_chosen) {
  View_.onReport("fast", report(0, 0.8, 25ms));
  View_.onReport("slow", report(32'000, 6.0));
  BOOST_TEST(place(job(2))["fast"] == 2);
}

BOOST_AUTO_TEST_CASE(sent_tasks_count_until_a_report_includes_them) {
  View_.onReport("a", report(32'000));
  View_.onReport("b", report(32'000));
  for (std::uint64_t I = 1; I <= 10; ++I)
    View_.onTaskSent("a", I, {3'000, 64, 0}, 60ms);
  BOOST_TEST(place(job(6))["b"] == 6);
  AgentReport Next = report(32'000);
  Next.Included_ = 10;
  View_.onReport("a", Next);
  BOOST_TEST(place(job(6))["a"] >= 2);
}

BOOST_AUTO_TEST_CASE(unsuitable_agents_are_not_chosen) {
  AgentReport Closed = report(32'000);
  Closed.Accepting_ = false;
  View_.onReport("closed", Closed);
  AgentReport Other = report(32'000);
  Other.Service_ = "other";
  View_.onReport("other", Other);
  BOOST_TEST(place(job(1)).empty());
  View_.onReport("open", report(32'000));
  BOOST_TEST(place(job(1))["open"] == 1);
  View_.remove("open");
  BOOST_TEST(place(job(1)).empty());
}

BOOST_AUTO_TEST_CASE(labels_racks_and_limits_per_minion_are_respected) {
  AgentReport Near = report(32'000);
  Near.Labels_ = {"gpu", "r1"};
  View_.onReport("near", Near);
  View_.onReport("far", report(32'000));
  BatchJob Job = job(1);
  Job.PreferredRack_ = "r1";
  BOOST_TEST(place(Job)["near"] == 1);
  Job = job(2);
  Job.RequiredLabel_ = "gpu";
  BOOST_TEST(place(Job)["near"] == 2);
  Job.MaxPerMinion_ = 1;
  BOOST_TEST(place(Job).empty());
}

BOOST_AUTO_TEST_CASE(the_agent_that_failed_a_task_is_the_last_resort) {
  View_.onReport("a", report(32'000, 0.8));
  View_.onReport("b", report(32'000, 1.2));
  BOOST_TEST(place(job(1), "a")["b"] == 1);
  View_.remove("b");
  BOOST_TEST(place(job(1), "a")["a"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
