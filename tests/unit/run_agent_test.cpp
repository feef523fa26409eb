/// \file
/// \brief Checks that an agent never exceeds the capacity of its minion, never
/// starts two runs of a task, stops the runs of lost owners, and accepts work
/// again after faults.
#include "standins/fake_run_minion.h"
#include "wigeonwall/process/dispatch/link_timing.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::standins;
using namespace std::chrono_literals;
using process::dispatch::RunAgent;
using process::dispatch::RunOrder;
using process::dispatch::RunOutcome;
using request::RunEnd;

namespace {

constexpr request::Resources TaskNeeds{3'000, 64, 0};

struct Fixture {
  VirtualTime Loop_;
  FakeRunMinion Minion_{Loop_, {32'000, 65'536, 0}};
  /// Further minions, reached by their addresses; used by newAgent().
  std::vector<FakeRunMinion *> Others_;
  std::vector<std::pair<std::string, RunOutcome>> Outcomes_;
  std::function<std::optional<request::TimePoint>(const std::string &)>
      LastContact_ = [this](const auto &) { return Loop_.now(); };
  request::Duration Expected_ = 100ms;
  std::string RequiredLabel_;
  process::dispatch::RunAgentOptions Options_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  std::unique_ptr<RunAgent> Agent_;

  Fixture() {
    Minion_.Needs_ = TaskNeeds;
    newAgent(1'000'000);
  }

  /// Replaces the agent process with a new one, which receives \p First or a
  /// report of the minion.
  void newAgent(std::int64_t Token,
                std::optional<request::MinionReport> First = std::nullopt) {
    *Alive_ = false;
    Alive_ = std::make_shared<bool>(true);
    process::dispatch::RunAgentHooks Hooks;
    Hooks.Now_ = Loop_.clock();
    Hooks.Minion_ = calls();
    Hooks.LastContact_ = [this](const auto &Owner) {
      return LastContact_(Owner);
    };
    Hooks.SendOutcome_ = [this](const auto &Owner, const auto &Outcome) {
      Outcomes_.emplace_back(Owner, Outcome);
    };
    Hooks.StateChanged_ = [] {};
    Hooks.OnEnded_ = [](auto, auto) {};
    Hooks.Log_ = [](const auto &, const auto &, const auto &) {};
    Agent_ = std::make_unique<RunAgent>(Options_, Hooks, Token);
    Agent_->onMinionReport(First ? *First : Minion_.report());
    advance(50ms);
  }

  /// Replaces the agent process with one that grants the leases of the product.
  void useRoutineLeases() {
    Options_.Tracker_.RoutineLease_ =
        process::dispatch::LinkTiming().RoutineLease_;
    newAgent(2'000'000);
    advance(1s);
  }

  /// Calls to the minion at the address of the report.
  process::dispatch::MinionCalls calls() {
    std::map<std::string, process::dispatch::MinionCalls> Known;
    for (FakeRunMinion *Each : Others_)
      Known[Each->Address_] = Each->calls(Alive_);
    const auto Default = Minion_.calls(Alive_);
    const auto Find = [Known, Default](const request::MinionReport &To) {
      const auto Found = Known.find(To.Address_);
      return Found == Known.end() ? Default : Found->second;
    };
    process::dispatch::MinionCalls Result;
    Result.Start_ = [Find](const auto &To, const auto &Call, auto Done) {
      Find(To).Start_(To, Call, Done);
    };
    Result.Stop_ = [Find](const auto &To, const auto &Key, auto Token,
                          auto Done) { Find(To).Stop_(To, Key, Token, Done); };
    Result.Hold_ = [Find](const auto &To, const auto &Call, auto Done) {
      Find(To).Hold_(To, Call, Done);
    };
    return Result;
  }

  void advance(request::Duration Span) {
    for (request::Duration Passed{}; Passed < Span; Passed += 25ms) {
      Loop_.advance(25ms);
      Agent_->tick();
    }
  }

  void order(const std::string &Job, std::uint32_t Tasks,
             const std::string &Owner = "entry-1", bool MayDecline = false) {
    RunOrder Order;
    Order.Job_ = Job;
    Order.Service_ = "permit-desk";
    Order.RequiredLabel_ = RequiredLabel_;
    Order.Payload_ = "payload";
    Order.Needs_ = TaskNeeds;
    Order.Expected_ = Expected_;
    Order.TimeToDeadline_ = 2 * Expected_;
    Order.TimeToExpiry_ = 20 * Expected_;
    Order.MaxWait_ = 10ms;
    Order.MayDecline_ = MayDecline;
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Order.Tasks_.push_back({I, 1});
    Agent_->onOrder(Owner, Order);
  }

  std::size_t count(RunEnd End) const {
    return static_cast<std::size_t>(std::count_if(
        Outcomes_.begin(), Outcomes_.end(),
        [End](const auto &Each) { return Each.second.End_ == End; }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_agent, Fixture)

BOOST_AUTO_TEST_CASE(runs_a_job_and_acknowledges_its_ends) {
  order("a", 3);
  advance(300ms);
  BOOST_TEST(count(RunEnd::Done) == 3u);
  BOOST_TEST(Minion_.observed() == 3);
  BOOST_TEST(Agent_->runCount() == 0u);
}

BOOST_AUTO_TEST_CASE(never_exceeds_the_capacity) {
  for (int I = 0; I < 10; ++I)
    order("job" + std::to_string(I), 8);
  advance(3s);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(count(RunEnd::Done) == 80u);
}

BOOST_AUTO_TEST_CASE(keeps_capacity_reserved_for_an_unanswered_start) {
  Minion_.StartFaults_.assign(10, CallFault::ReplyLost);
  Minion_.RunTime_ = Expected_ = 1s;
  order("a", 10);
  order("b", 10);
  advance(5s);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(count(RunEnd::Done) == 20u);
}

BOOST_AUTO_TEST_CASE(stops_a_start_that_may_be_applied_late) {
  Minion_.StartFaults_.assign(10, CallFault::AppliedLate);
  order("a", 10);
  advance(400ms);
  BOOST_TEST(count(RunEnd::NeverRan) == 10u);
  order("b", 10);
  advance(4s);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(Minion_.Starts_.count("a/0") == 0u);
  BOOST_TEST(count(RunEnd::Done) == 10u);
}

BOOST_AUTO_TEST_CASE(keeps_capacity_reserved_until_a_lost_stop_is_repeated) {
  Minion_.StartFaults_ = {CallFault::AppliedLate};
  Minion_.StopFaults_ = {CallFault::AppliedLate, CallFault::AppliedLate};
  order("a", 1);
  advance(200ms);
  BOOST_TEST(Agent_->report().Free_.CpuMillicores_ == 29'000);
  advance(1s);
  BOOST_TEST(Agent_->report().Free_.CpuMillicores_ == 32'000);
}

// Without an immediate poll, an end is not detected until the pending hold
// request times out.
BOOST_AUTO_TEST_CASE(detects_ends_soon_after_a_lost_hold_reply) {
  Minion_.HoldFaults_ = {CallFault::ReplyLost};
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

BOOST_AUTO_TEST_CASE(keeps_accepting_after_one_lost_hold_reply) {
  Minion_.HoldFaults_ = {CallFault::ReplyLost};
  order("a", 1);
  advance(150ms);
  BOOST_TEST(Agent_->report().Accepting_);
}

// An agent whose minion became unreachable while no run was active never
// accepted work again.
BOOST_AUTO_TEST_CASE(accepts_again_after_the_minion_was_unreachable) {
  order("a", 1);
  Minion_.Reachable_ = false;
  advance(3s);
  BOOST_TEST(!Agent_->report().Accepting_);
  BOOST_TEST(Agent_->runCount() == 0u);
  Minion_.Reachable_ = true;
  advance(1s);
  BOOST_TEST(Agent_->report().Accepting_);
}

// Polls of an unresponsive minion must not renew leases, or they would never
// expire.
BOOST_AUTO_TEST_CASE(reports_runs_as_lapsed_only_after_their_lease) {
  Minion_.RunTime_ = Expected_ = 5s;
  order("a", 1);
  advance(100ms);
  Minion_.Reachable_ = false;
  advance(900ms);
  BOOST_TEST(count(RunEnd::Lapsed) == 0u);
  advance(700ms);
  BOOST_TEST(count(RunEnd::Lapsed) == 1u);
}

BOOST_AUTO_TEST_CASE(stops_the_runs_of_a_lost_owner) {
  Minion_.RunTime_ = Expected_ = 5s;
  order("a", 12);
  advance(100ms);
  Agent_->onOwnerLost("entry-1");
  advance(200ms);
  BOOST_TEST(Minion_.running() == 0u);
  BOOST_TEST(Agent_->queueLength() == 0u);
  BOOST_TEST(Outcomes_.empty());
}

// The caller of a terminated entry resubmits through another entry while the
// stop of the first run is still unanswered.
BOOST_AUTO_TEST_CASE(a_task_waits_for_the_end_of_its_earlier_run) {
  Minion_.RunTime_ = Expected_ = 1s;
  order("a", 1);
  advance(100ms);
  Minion_.StopFaults_.assign(3, CallFault::AppliedLate);
  Agent_->onOwnerLost("entry-1");
  advance(50ms);
  order("a", 1, "entry-2");
  advance(3s);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// After a pause, an agent started the rest of an order that its entry had given
// up, while the caller's resubmission ran elsewhere.
BOOST_AUTO_TEST_CASE(a_pause_between_two_starts_ends_the_starts) {
  std::size_t Started = 0;
  Minion_.OnStart_ = [&](const auto &) {
    if (++Started == 3)
      LastContact_ = [](const auto &) { return std::nullopt; };
  };
  order("a", 10);
  advance(25ms);
  BOOST_TEST(Started == 3u);
  BOOST_TEST(Agent_->queueLength() == 7u);
  Agent_->onOwnerLost("entry-1");
  advance(200ms);
  BOOST_TEST(Started == 3u);
  BOOST_TEST(Minion_.running() == 0u);
  BOOST_TEST(Agent_->queueLength() == 0u);
}

BOOST_AUTO_TEST_CASE(nothing_is_started_for_a_silent_owner) {
  Minion_.RunTime_ = Expected_ = 400ms;
  order("a", 20);
  const request::TimePoint Contact = Loop_.now();
  LastContact_ = [Contact](const auto &) { return Contact; };
  advance(250ms);
  BOOST_TEST(Agent_->queueLength() == 10u);
  advance(200ms);
  BOOST_TEST(Agent_->queueLength() == 0u);
  order("b", 10);
  advance(500ms);
  BOOST_TEST(Agent_->queueLength() == 10u);
  BOOST_TEST(Minion_.Starts_.size() == 20u);
}

// An entry ended, and its agent before it had stopped the entry's runs. They
// outlasted the caller's resubmission after 1.3 s.
BOOST_AUTO_TEST_CASE(leases_end_before_the_resubmission_to_another_entry) {
  Minion_.RunTime_ = Expected_ = 10s;
  order("a", 10);
  advance(100ms);
  const request::TimePoint Contact = Loop_.now();
  LastContact_ = [Contact](const auto &) { return Contact; };
  advance(450ms);
  *Alive_ = false;
  Minion_.ClockPercent_ = 98;
  std::size_t Running = 10;
  while (Running > 0 && Loop_.now() - Contact < 3s) {
    Loop_.advance(5ms);
    Minion_.update();
    Running = Minion_.running();
  }
  BOOST_TEST((Loop_.now() - Contact < 1'300ms));
}

BOOST_AUTO_TEST_CASE(a_start_long_after_the_last_contact_has_a_short_lease) {
  Minion_.RunTime_ = Expected_ = 10s;
  const request::TimePoint Contact = Loop_.now();
  LastContact_ = [Contact](const auto &) { return Contact; };
  Loop_.advance(600ms);
  order("a", 1);
  *Alive_ = false;
  Loop_.advance(1'300ms - (Loop_.now() - Contact));
  Minion_.update();
  BOOST_TEST(Minion_.Starts_.size() == 1u);
  BOOST_TEST(Minion_.running() == 0u);
}

// A task of a killed entry started with the longer lease of another entry's
// runs, and outlasted the resubmission when the agent was killed too.
BOOST_AUTO_TEST_CASE(a_start_does_not_inherit_a_longer_lease) {
  useRoutineLeases();
  Expected_ = 10s;
  Minion_.RunTimeOf_ = [](const auto &Task) -> request::Duration {
    return Task == "first/0" ? 600ms : 10s;
  };
  order("first", 1, "entry-2");
  order("rest", 9, "entry-2");
  order("a", 1, "entry-1");
  advance(20ms);
  const request::TimePoint Contact = Loop_.now();
  LastContact_ = [this, Contact](const auto &Owner) {
    return Owner == "entry-1" ? Contact : Loop_.now();
  };
  advance(650ms);
  BOOST_TEST(Minion_.running() == 9u);
  BOOST_TEST(Minion_.Starts_.count("a/0") == 0u);
  LastContact_ = [this](const auto &) { return Loop_.now(); };
  advance(25ms);
  BOOST_TEST(Minion_.Starts_.count("a/0") == 1u);
}

// With routine leases, a start under normal load does not wait for contact.
BOOST_AUTO_TEST_CASE(a_start_after_usual_contact_is_not_delayed) {
  useRoutineLeases();
  Minion_.RunTime_ = Expected_ = 10s;
  LastContact_ = [this](const auto &) { return Loop_.now() - 450ms; };
  for (int I = 0; I < 10; ++I) {
    order("job" + std::to_string(I), 1);
    advance(75ms);
    BOOST_TEST(Agent_->runCount() == static_cast<std::size_t>(I + 1));
  }
}

// A renewal for the runs of one entry extended those of another one that had
// given up its runs, as long as their stops were lost.
BOOST_AUTO_TEST_CASE(a_run_that_was_given_up_is_not_renewed_with_others) {
  Minion_.RunTime_ = Expected_ = 10s;
  order("a", 2, "entry-1");
  order("b", 2, "entry-2");
  advance(100ms);
  Minion_.StopFaults_.assign(1'000, CallFault::AppliedLate);
  Agent_->onCancel("entry-1", "a");
  const request::TimePoint GivenUpAt = Loop_.now();
  while (Minion_.running() > 0 && Loop_.now() - GivenUpAt < 3s)
    advance(25ms);
  BOOST_TEST((Loop_.now() - GivenUpAt < 1'300ms));
  Minion_.StopFaults_.clear();
  advance(500ms);
  order("c", 10, "entry-2");
  advance(100ms);
  BOOST_TEST(Minion_.running() == 10u);
}

// Polls renewed the leases of runs whose owner had given them up, as long as
// their stops were lost.
BOOST_AUTO_TEST_CASE(leases_are_not_renewed_without_an_owner) {
  Minion_.RunTime_ = Expected_ = 10s;
  order("a", 10);
  advance(100ms);
  LastContact_ = [](const auto &) { return std::nullopt; };
  Minion_.StopFaults_.assign(1'000, CallFault::AppliedLate);
  Agent_->onOwnerLost("entry-1");
  advance(1'100ms);
  BOOST_TEST(Minion_.running() == 0u);
}

BOOST_AUTO_TEST_CASE(reports_which_tasks_of_a_cancelled_job_ran) {
  Minion_.RunTime_ = Expected_ = 1s;
  order("a", 12);
  advance(100ms);
  Agent_->onCancel("entry-1", "a");
  advance(200ms);
  BOOST_TEST(count(RunEnd::Stopped) == 10u);
  BOOST_TEST(count(RunEnd::NeverRan) == 2u);
}

BOOST_AUTO_TEST_CASE(a_new_agent_ends_the_runs_of_the_earlier_one) {
  Minion_.RunTime_ = Expected_ = 800ms;
  order("a", 10);
  advance(100ms);
  newAgent(2'000'000);
  order("b", 10);
  advance(1s);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(count(RunEnd::Done) == 10u);
}

BOOST_AUTO_TEST_CASE(
    raises_its_token_above_that_of_an_agent_whose_clock_was_ahead) {
  order("a", 1);
  advance(200ms);
  newAgent(1'000'000 - 5'000);
  order("b", 1);
  advance(1s);
  order("c", 1);
  advance(1s);
  BOOST_TEST(count(RunEnd::Done) >= 2u);
}

BOOST_AUTO_TEST_CASE(a_restarted_minion_with_the_same_id_has_no_runs) {
  Minion_.RunTime_ = 5s;
  order("a", 10);
  advance(100ms);
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(25ms);
  BOOST_TEST(count(RunEnd::Lost) == 10u);
  Minion_.RunTime_ = 100ms;
  advance(100ms);
  order("b", 10);
  advance(300ms);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(count(RunEnd::Done) == 10u);
}

// A start that had been given up took effect in the next process of the minion,
// which has the same id, while the task ran elsewhere.
BOOST_AUTO_TEST_CASE(a_late_start_has_no_effect_after_a_restart) {
  // The clock of the next process starts anew, so the old deadline is far
  // ahead.
  advance(10s);
  Minion_.StartFaults_ = {CallFault::AppliedLate};
  Minion_.LateCallsOutlastRestart_ = true;
  order("a", 1);
  advance(400ms);
  BOOST_TEST(count(RunEnd::NeverRan) == 1u);
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(4s);
  BOOST_TEST(Minion_.Starts_.count("a/0") == 0u);
  order("b", 1);
  advance(1s);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// The next process of the minion executed a late start before its first report.
BOOST_AUTO_TEST_CASE(a_late_start_has_no_effect_before_the_first_report) {
  advance(10s);
  Minion_.StartFaults_ = {CallFault::AppliedLate};
  Minion_.LateCallsOutlastRestart_ = true;
  order("a", 1);
  advance(2'700ms);
  BOOST_TEST(count(RunEnd::NeverRan) == 1u);
  Minion_.restart();
  advance(1s);
  BOOST_TEST(Minion_.Starts_.count("a/0") == 0u);
}

// A start that the next process of the minion received before its first report
// was counted as lapsed, and took effect afterwards.
BOOST_AUTO_TEST_CASE(a_start_after_a_restart_keeps_its_capacity) {
  Minion_.RunTime_ = Expected_ = 500ms;
  Minion_.restart();
  Minion_.StartFaults_ = {CallFault::AppliedLate};
  Minion_.HoldFaults_.assign(15, CallFault::ReplyLost);
  Minion_.StopFaults_.assign(1'000, CallFault::AppliedLate);
  order("a", 1);
  advance(2'500ms);
  BOOST_TEST(Outcomes_.empty());
  Agent_->onMinionReport(Minion_.report());
  advance(100ms);
  order("b", 10);
  advance(900ms);
  BOOST_TEST(Minion_.Breaches_.empty());
  BOOST_TEST(Minion_.Starts_.count("a/0") == 0u);
}

// A start reached the next process of the minion while that process was being
// verified.
BOOST_AUTO_TEST_CASE(nothing_is_started_while_a_restart_is_verified) {
  Minion_.restart();
  Minion_.HoldFaults_.assign(4, CallFault::ReplyLost);
  Agent_->onMinionReport(Minion_.report());
  order("a", 1);
  advance(75ms);
  BOOST_TEST(Minion_.Starts_.empty());
  advance(500ms);
  order("b", 1);
  advance(200ms);
  BOOST_TEST(Minion_.Starts_.count("b/0") == 1u);
}

// Tasks that waited for a minion with a label were started on the next process
// of the minion, which did not have the label.
BOOST_AUTO_TEST_CASE(queued_tasks_do_not_move_to_the_next_minion) {
  Minion_.Labels_ = {"b"};
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  RequiredLabel_ = "b";
  Minion_.RunTime_ = Expected_ = 500ms;
  order("a", 14);
  advance(100ms);
  BOOST_TEST(Agent_->queueLength() == 4u);
  Minion_.Labels_ = {"c"};
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  BOOST_TEST(count(RunEnd::Lost) == 10u);
  BOOST_TEST(count(RunEnd::NeverRan) == 4u);
  order("b", 1);
  advance(1s);
  BOOST_TEST(Minion_.Starts_.count("b/0") == 0u);
  BOOST_TEST(count(RunEnd::NeverRan) == 5u);
}

BOOST_AUTO_TEST_CASE(ignores_a_report_from_before_a_restart) {
  const request::MinionReport Old = Minion_.report();
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(100ms);
  Agent_->onMinionReport(Old);
  advance(100ms);
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// A well-formed report of an unknown process ended the runs of the present
// minion as lost while they were active, and the present minion was ignored
// from then on.
BOOST_AUTO_TEST_CASE(a_report_of_an_unknown_process_ends_no_runs) {
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 10);
  advance(200ms);
  for (const char *Address : {"127.0.0.1:1", "127.0.0.1:2"}) {
    request::MinionReport Foreign = Minion_.report();
    Foreign.Incarnation_ = {std::string("foreign-") + Address, 5'000};
    Foreign.Address_ = Address;
    Foreign.Service_ = "no-such-service";
    Foreign.Sequence_ = 1;
    Agent_->onMinionReport(Foreign);
  }
  advance(2s);
  BOOST_TEST(count(RunEnd::Lost) == 0u);
  BOOST_TEST(count(RunEnd::Done) == 10u);
  Agent_->onMinionReport(Minion_.report());
  order("b", 10);
  advance(2s);
  BOOST_TEST(count(RunEnd::Done) == 20u);
  BOOST_TEST(Minion_.Breaches_.empty());
}

// The report of the minion itself is checked at once, however many others there
// are.
BOOST_AUTO_TEST_CASE(many_foreign_reports_do_not_exclude_the_minion) {
  Minion_.restart();
  for (int I = 0; I < 100; ++I) {
    request::MinionReport Foreign = Minion_.report();
    Foreign.Incarnation_ = {"foreign-" + std::to_string(I), 5'000};
    Agent_->onMinionReport(Foreign);
    if (I == 50)
      Agent_->onMinionReport(Minion_.report());
    if (I % 10 == 9)
      advance(25ms);
  }
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// A late report of an earlier process with the same id is checked at the
// address of the present one, which must not refuse the agent's calls because
// of it.
BOOST_AUTO_TEST_CASE(a_late_report_does_not_disturb_the_present_minion) {
  const request::MinionReport Old = Minion_.report();
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  Minion_.RunTime_ = Expected_ = 500ms;
  order("a", 10);
  advance(100ms);
  Agent_->onMinionReport(Old);
  advance(25ms);
  Agent_->onCancel("entry-1", "a");
  order("b", 10);
  advance(1s);
  BOOST_TEST(count(RunEnd::Stopped) == 10u);
  BOOST_TEST(count(RunEnd::Done) == 10u);
}

// The first report that an agent received decided which minion it used.
BOOST_AUTO_TEST_CASE(a_foreign_first_report_does_not_exclude_the_minion) {
  request::MinionReport Foreign = Minion_.report();
  Foreign.Incarnation_ = {"foreign", 5'000};
  newAgent(2'000'000, Foreign);
  BOOST_TEST(!Agent_->report().Accepting_);
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// A process that answers at another address is no proof that the present minion
// has ended.
BOOST_AUTO_TEST_CASE(a_second_minion_does_not_replace_one_that_answers) {
  FakeRunMinion Second{Loop_, {32'000, 65'536, 0}};
  Second.Id_ = "minion-2";
  Second.Address_ = "127.0.0.1:2";
  Second.Needs_ = TaskNeeds;
  Others_ = {&Second};
  newAgent(2'000'000);
  Minion_.RunTime_ = Second.RunTime_ = Expected_ = 900ms;
  order("a", 10);
  advance(200ms);
  Agent_->onMinionReport(Second.report());
  advance(2s);
  BOOST_TEST(count(RunEnd::Done) == 10u);
  BOOST_TEST(Agent_->minion()->Incarnation_.Id_ == "minion-1");
  // Once the present minion has ended, the second one is used.
  order("b", 10);
  advance(200ms);
  Minion_.terminate();
  for (int I = 0; I < 4; ++I) {
    Agent_->onMinionReport(Second.report());
    advance(1s);
  }
  BOOST_TEST(Agent_->minion()->Incarnation_.Id_ == "minion-2");
  BOOST_TEST(count(RunEnd::Lapsed) == 10u);
  order("c", 10);
  advance(2s);
  BOOST_TEST(count(RunEnd::Done) == 20u);
}

// A new process whose machine's clock was set back in between was ignored,
// because it seemed to be older than the one before.
BOOST_AUTO_TEST_CASE(a_minion_that_seems_older_is_used_if_it_answers) {
  Minion_.restart();
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  Minion_.restart(-5'000);
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

BOOST_AUTO_TEST_CASE(a_report_does_not_move_the_present_minion) {
  request::MinionReport Moved = Minion_.report();
  Moved.Address_ = "127.0.0.1:2";
  Agent_->onMinionReport(Moved);
  Moved = Minion_.report();
  Moved.Service_ = "no-such-service";
  Agent_->onMinionReport(Moved);
  order("a", 1);
  advance(200ms);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

// A late notice of an earlier process, or one from another sender, ended the
// runs as lost while they were active.
BOOST_AUTO_TEST_CASE(a_notice_to_leave_ends_no_active_runs) {
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 10);
  advance(200ms);
  Agent_->onMinionLeaving(Minion_.incarnation());
  order("b", 1);
  advance(100ms);
  BOOST_TEST(count(RunEnd::Lost) == 0u);
  BOOST_TEST(count(RunEnd::NeverRan) == 1u);
  advance(1s);
  BOOST_TEST(count(RunEnd::Done) == 10u);
  // It is used again if it goes on to report that it is ready.
  Agent_->onMinionReport(Minion_.report());
  order("c", 1);
  advance(1s);
  BOOST_TEST(count(RunEnd::Done) == 11u);
}

BOOST_AUTO_TEST_CASE(runs_are_lost_once_a_leaving_minion_has_ended) {
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 10);
  advance(200ms);
  Minion_.terminate();
  Agent_->onMinionLeaving(Minion_.incarnation());
  advance(50ms);
  BOOST_TEST(count(RunEnd::Lost) == 10u);
  BOOST_TEST(!Agent_->minion().has_value());
}

BOOST_AUTO_TEST_CASE(a_leaving_minion_that_is_silent_is_removed) {
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 10);
  advance(200ms);
  Minion_.Reachable_ = false;
  Agent_->onMinionLeaving(Minion_.incarnation());
  advance(500ms);
  BOOST_TEST(count(RunEnd::Lapsed) + count(RunEnd::Lost) == 0u);
  advance(1s);
  BOOST_TEST(count(RunEnd::Lapsed) == 10u);
  BOOST_TEST(!Agent_->minion().has_value());
}

BOOST_AUTO_TEST_CASE(starts_nothing_on_a_draining_minion) {
  order("a", 12);
  Agent_->onMinionReport(Minion_.report(true));
  order("b", 1);
  advance(300ms);
  BOOST_TEST(count(RunEnd::Done) == 10u);
  BOOST_TEST(count(RunEnd::NeverRan) == 3u);
}

// Guards against runs that end with their minion instead of elsewhere, and
// against blaming the minion or the task for the stop.
BOOST_AUTO_TEST_CASE(gives_back_runs_that_outlast_the_minion) {
  Options_.EvictBeforeDeparture_ = true;
  newAgent(2'000'000);
  Minion_.RunTimeOf_ = [](const std::string &Task) {
    return Task.starts_with("long") ? 900ms : 100ms;
  };
  order("short", 3);
  Expected_ = 900ms;
  order("long", 4);
  auto Draining = Minion_.report(true);
  Draining.TimeToDeparture_ = 300ms;
  Agent_->onMinionReport(Draining);
  BOOST_TEST(Outcomes_.empty());
  advance(150ms);
  BOOST_TEST(Minion_.running() == 0u);
  BOOST_TEST(count(RunEnd::Done) == 3u);
  BOOST_TEST(count(RunEnd::Stopped) == 4u);
  for (const auto &[Owner, Outcome] : Outcomes_)
    BOOST_TEST(Outcome.Reason_ ==
               (Outcome.Job_ == "long" ? "minion_leaving" : ""));
  Agent_->onMinionReport(Minion_.report());
  advance(50ms);
  BOOST_TEST(Agent_->report().Accepting_);
}

BOOST_AUTO_TEST_CASE(an_evicted_run_is_returned_only_after_its_end) {
  Options_.EvictBeforeDeparture_ = true;
  newAgent(2'000'000);
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 1);
  advance(50ms);
  Minion_.StopFaults_ = {CallFault::AppliedLate};
  auto Draining = Minion_.report(true);
  Draining.TimeToDeparture_ = 300ms;
  Agent_->onMinionReport(Draining);
  advance(100ms);
  BOOST_TEST(Minion_.running() == 1u);
  BOOST_TEST(Outcomes_.empty());
  advance(200ms);
  BOOST_TEST(Minion_.running() == 0u);
  BOOST_TEST(count(RunEnd::Stopped) == 1u);
}

// The earlier deployments let all runs of a draining minion end.
BOOST_AUTO_TEST_CASE(does_not_evict_by_default) {
  Minion_.RunTime_ = Expected_ = 900ms;
  order("a", 1);
  auto Draining = Minion_.report(true);
  Draining.TimeToDeparture_ = 300ms;
  Agent_->onMinionReport(Draining);
  advance(1s);
  BOOST_TEST(count(RunEnd::Done) == 1u);
}

BOOST_AUTO_TEST_CASE(declines_tasks_that_would_wait_longer_than_predicted) {
  Minion_.RunTime_ = Expected_ = 500ms;
  order("a", 10);
  order("b", 2, "entry-1", true);
  BOOST_TEST(count(RunEnd::NeverRan) == 2u);
}

// Each task that waits holds memory, and lengthens the forecast of each other.
BOOST_AUTO_TEST_CASE(declines_tasks_beyond_the_limit_of_its_queue) {
  Options_.MaxQueueLength_ = 5;
  newAgent(2'000'000);
  advance(100ms);
  order("a", 30);
  // Ten tasks start at once.
  BOOST_TEST(count(RunEnd::NeverRan) >= 15u);
  BOOST_TEST(Agent_->queueLength() <= 5u);
  for (const auto &[Owner, Outcome] : Outcomes_)
    BOOST_TEST(Outcome.Reason_ == "queue_full");
}

// Each report names an address, and a poll without a reply keeps a connection
// to it.
BOOST_AUTO_TEST_CASE(the_number_of_unanswered_polls_is_limited) {
  std::vector<std::function<void(process::dispatch::HoldReply)>> Unanswered;
  process::dispatch::MinionCandidatesHooks Hooks;
  Hooks.Now_ = Loop_.clock();
  Hooks.Hold_ = [&](const auto &, const auto &, auto Done) {
    Unanswered.push_back(std::move(Done));
  };
  Hooks.NextToken_ = [] { return 1; };
  Hooks.OnAnswered_ = [](const auto &) {};
  Hooks.Log_ = [](const auto &, const auto &, const auto &) {};
  process::dispatch::MinionCandidates Candidates({.MaxPendingPolls_ = 6},
                                                 Hooks);
  const auto Report = [&](int Number) {
    request::MinionReport Result = Minion_.report();
    Result.Incarnation_.Id_ = "m" + std::to_string(Number);
    Candidates.add(Result);
  };
  for (int I = 0; I < 50; ++I)
    Report(I);
  BOOST_TEST(Unanswered.size() == 6u);
  Unanswered.front()({});
  Report(50);
  BOOST_TEST(Unanswered.size() == 7u);
}

BOOST_AUTO_TEST_CASE(stops_a_stalled_run) {
  Minion_.StalledTasks_ = {"a/0"};
  order("a", 1);
  advance(900ms);
  BOOST_TEST(count(RunEnd::Stopped) == 1u);
}

// The minion becomes six times slower at full load. If the agent waited for the
// first run to end, all runs would already be late.
BOOST_AUTO_TEST_CASE(detects_a_slow_minion_from_active_runs) {
  Minion_.RunTime_ = 600ms;
  order("a", 10);
  advance(250ms);
  BOOST_TEST(Agent_->report().Slowness_ > 2.0);
}

BOOST_AUTO_TEST_CASE(stops_runs_that_are_far_too_slow) {
  Minion_.RunTime_ = 1s;
  order("a", 10);
  advance(600ms);
  BOOST_TEST(count(RunEnd::Stopped) == 10u);
}

BOOST_AUTO_TEST_CASE(rejects_work_for_a_minion_that_fails_all_tasks) {
  for (int I = 0; I < 8; ++I) {
    Minion_.FailingTasks_.insert("job" + std::to_string(I) + "/0");
    order("job" + std::to_string(I), 1);
  }
  advance(300ms);
  BOOST_TEST(!Agent_->report().Accepting_);
}

// A slow minion was given no work, so its recovery could not be measured.
BOOST_AUTO_TEST_CASE(slowness_decays_without_runs) {
  Minion_.RunTime_ = 600ms;
  for (int I = 0; I < 10; ++I) {
    order("job" + std::to_string(I), 10);
    advance(700ms);
  }
  BOOST_TEST(Agent_->report().Slowness_ > 2.0);
  advance(10s);
  BOOST_TEST(Agent_->report().Slowness_ < 1.2);
}

BOOST_AUTO_TEST_SUITE_END()
