/// \file
/// \brief Tests how load reports that declare an ejection affect placement.
#include "wigeonwall/process/jobs/dispatch_policy.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace wigeonwall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ManyTasks = 60;

struct Fixture {
  Fixture() {
    process::ClusterView View;
    for (const char *Id : {"a0", "a1", "a2"})
      View.Members_.push_back({Id, process::Role::Agent, 1, "", "", "d0",
                               "permit-desk", process::MemberState::Alive});
    Policy_.onViewChange(View);
  }

  static process::AgentSettings settings() {
    process::AgentSettings Options;
    Options.Service_ = "permit-desk";
    Options.Slots_ = 8;
    return Options;
  }
  void reportEjected(std::chrono::milliseconds For) {
    request::AgentLoad Load;
    Load.Slots_ = 8;
    Load.EjectedSeverity_ = 1.7;
    Load.EjectedFor_ = For;
    Policy_.report("a1", 0, Load);
  }
  bool chooses(const std::string &Id) {
    const auto Chosen = Policy_.choose(ManyTasks, {});
    for (const std::string &Each : Chosen)
      Policy_.withdraw(Each);
    return std::find(Chosen.begin(), Chosen.end(), Id) != Chosen.end();
  }

  request::TimePoint Time_{1h};
  process::DispatchPolicy Policy_{settings(), [this] { return Time_; }, 1};
};

} // namespace

/// An ejected agent gets no tasks and so sends no load report. If the ejection
/// ended only with a report, the home would never use the minion again.
BOOST_FIXTURE_TEST_CASE(an_ejection_ends_without_a_report, Fixture) {
  BOOST_TEST(chooses("a1"));
  reportEjected(1'000ms);
  BOOST_TEST(!chooses("a1"));
  Time_ += 999ms;
  BOOST_TEST(!chooses("a1"));
  Time_ += 1ms;
  BOOST_TEST(chooses("a1"));
}

/// When the probe after the back-off fails, the report of that failure must
/// extend the ejection by the longer back-off.
BOOST_FIXTURE_TEST_CASE(a_later_report_extends_the_ejection, Fixture) {
  reportEjected(1'000ms);
  Time_ += 500ms;
  reportEjected(2'000ms);
  Time_ += 1'999ms;
  BOOST_TEST(!chooses("a1"));
  Time_ += 1ms;
  BOOST_TEST(chooses("a1"));
}
