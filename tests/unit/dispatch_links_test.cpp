/// \file
/// \brief Checks the connections between entries and agents over real sockets:
/// messages are delivered once, and both sides detect an unresponsive peer.
#include "standins/raw_peer.h"
#include "wigeonwall/process/dispatch/agent_links.h"
#include "wigeonwall/process/dispatch/owner_links.h"
#include "wigeonwall/process/runtime/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using namespace std::chrono_literals;
using connection::asio::io_context;

namespace {

constexpr std::uint16_t Port = 31'877;

LinkTiming shortTiming() {
  LinkTiming Timing;
  Timing.HeartbeatPeriod_ = 20ms;
  Timing.OwnerTimeout_ = 150ms;
  Timing.IdleHeartbeatPeriod_ = 60ms;
  Timing.IdleOwnerTimeout_ = 300ms;
  Timing.AgentTimeout_ = 200ms;
  Timing.ReconnectDelay_ = 20ms;
  return Timing;
}

struct Fixture {
  io_context Context_{1};
  std::vector<std::string> Orders_;
  std::vector<std::string> LostOwners_;
  std::vector<std::string> LostAgents_;
  int Outcomes_ = 0;
  int Reports_ = 0;
  int Profiles_ = 0;
  std::string Owner_;
  std::string FailureDomain_;
  std::vector<std::string> Evacuations_;
  /// If false, the agent keeps the tasks that it is ordered to run.
  bool EndsTasks_ = true;
  std::vector<RunOutcome> LastOutcomes_;
  connection::PeerLimits Limits_;
  std::unique_ptr<OwnerLinks> Agent_ = makeAgent();
  std::unique_ptr<AgentLinks> Entry_ = makeEntry("entry@1");

  std::unique_ptr<OwnerLinks> makeAgent() {
    OwnerLinksHooks Hooks;
    Hooks.Now_ = process::steadyClock();
    Hooks.OnOrder_ = [this](const auto &Owner, const auto &Order) {
      if (Order.Job_ == "throw")
        throw std::out_of_range("unexpected");
      Owner_ = Owner;
      Orders_.push_back(Order.Job_);
      if (EndsTasks_)
        Agent_->sendOutcome(Owner,
                            {Order.Job_, 0, request::RunEnd::Done, 1, ""});
    };
    Hooks.OnCancel_ = [](const auto &, const auto &) {};
    Hooks.OnEvacuations_ = [this](const auto &Document) {
      Evacuations_.push_back(Document);
    };
    Hooks.OnOwnerLost_ = [this](const auto &Owner) {
      LostOwners_.push_back(Owner);
    };
    Hooks.Report_ = [] {
      request::AgentReport Report;
      Report.Accepting_ = true;
      Report.Service_ = "permit-desk";
      Report.FailureDomain_ = "north";
      Report.Profile_.append({0ms, 1'400, 64});
      return Report;
    };
    Hooks.Log_ = [](const auto &, const auto &, const auto &) {};
    auto Result = std::make_unique<OwnerLinks>(
        Context_, connection::Endpoint{"127.0.0.1", Port}, shortTiming(), Hooks,
        Limits_);
    BOOST_REQUIRE(Result->listen());
    return Result;
  }

  std::unique_ptr<AgentLinks> makeEntry(const std::string &Name,
                                        bool AsksForProfiles = false) {
    AgentLinksHooks Hooks;
    Hooks.Now_ = process::steadyClock();
    Hooks.OnReport_ = [this](const auto &, const auto &Report) {
      BOOST_TEST(Report.Service_ == "permit-desk");
      ++Reports_;
      FailureDomain_ = Report.FailureDomain_;
      Profiles_ += Report.Profile_.empty() ? 0 : 1;
    };
    Hooks.OnOutcome_ = [this](const auto &, const auto &Outcome) {
      ++Outcomes_;
      LastOutcomes_.push_back(Outcome);
    };
    Hooks.OnLost_ = [this](const auto &Agent, auto) {
      LostAgents_.push_back(Agent);
    };
    Hooks.Log_ = [](const auto &, const auto &, const auto &) {};
    auto Result = std::make_unique<AgentLinks>(
        Context_, shortTiming(), Hooks, Name,
        wigeonwall::connection::PeerLimits{}, AsksForProfiles);
    Result->setAgents({{"agent", {"127.0.0.1", Port}}});
    return Result;
  }

  void run(std::chrono::milliseconds Span, bool TickAgent = true,
           bool TickEntry = true) {
    const auto Until = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < Until) {
      Context_.run_for(5ms);
      Context_.restart();
      if (TickAgent && Agent_)
        Agent_->tick();
      if (TickEntry && Entry_)
        Entry_->tick();
    }
  }

  void order(const std::string &Job) {
    RunOrder Order;
    Order.Job_ = Job;
    Order.Tasks_ = {{0, 1}};
    Entry_->sendOrder("agent", Order);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch_links, Fixture)

BOOST_AUTO_TEST_CASE(orders_outcomes_and_reports_arrive) {
  run(100ms);
  BOOST_TEST(Entry_->connectedCount() == 1u);
  BOOST_TEST(Reports_ > 0);
  order("a");
  order("b");
  run(100ms);
  BOOST_TEST((Orders_ == std::vector<std::string>{"a", "b"}));
  BOOST_TEST(Outcomes_ == 2);
}

// An entry of the previous build ignores reports with a profile and would place
// nothing.
BOOST_AUTO_TEST_CASE(only_entries_that_ask_get_profiles) {
  run(100ms);
  BOOST_TEST(Reports_ > 0);
  BOOST_TEST(Profiles_ == 0);
  Entry_ = makeEntry("entry@2", true);
  run(100ms);
  BOOST_TEST(Profiles_ > 0);
}

BOOST_AUTO_TEST_CASE(heartbeats_keep_an_idle_connection_open) {
  run(600ms);
  BOOST_TEST(LostOwners_.empty());
  BOOST_TEST(LostAgents_.empty());
}

BOOST_AUTO_TEST_CASE(detects_a_terminated_entry) {
  run(100ms);
  Entry_.reset();
  run(400ms);
  BOOST_TEST(LostOwners_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(detects_an_unresponsive_entry) {
  EndsTasks_ = false;
  run(100ms);
  order("a");
  run(50ms);
  BOOST_TEST(LostOwners_.empty());
  run(200ms, true, false);
  BOOST_TEST(!LostOwners_.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_with_open_tasks_keeps_its_session) {
  EndsTasks_ = false;
  run(100ms);
  order("a");
  run(600ms);
  BOOST_TEST(LostOwners_.empty());
  BOOST_TEST(LostAgents_.empty());
}

// Heartbeats of all pairs of entries and agents took most of the messages of a
// large fleet. A silent entry without tasks has nothing that could be ended.
BOOST_AUTO_TEST_CASE(an_entry_without_tasks_may_be_silent) {
  run(100ms);
  run(200ms, true, false);
  BOOST_TEST(LostOwners_.empty());
  order("a");
  run(50ms);
  BOOST_TEST(Orders_.size() == 1u);
}

BOOST_AUTO_TEST_CASE(detects_an_agent_that_does_not_answer_an_order) {
  EndsTasks_ = false;
  run(100ms);
  order("a");
  run(400ms, false, true);
  BOOST_TEST(!LostAgents_.empty());
}

// The name is sent before the first report only, so partial reports that follow
// must keep it.
BOOST_AUTO_TEST_CASE(reports_name_the_failure_domain) {
  run(100ms);
  BOOST_TEST(FailureDomain_ == "north");
  const int Before = Reports_;
  Entry_->sendQuery("agent");
  run(50ms);
  BOOST_TEST(Reports_ > Before);
  BOOST_TEST(FailureDomain_ == "north");
}

// An agent that cannot reach the store started tasks that it had queued before
// the entries knew of the evacuation.
BOOST_AUTO_TEST_CASE(evacuations_reach_agents_at_once_and_on_connection) {
  run(100ms);
  Entry_->setEvacuations("first");
  run(50ms);
  BOOST_TEST((Evacuations_ == std::vector<std::string>{"first"}));
  Agent_.reset();
  Agent_ = makeAgent();
  run(500ms);
  BOOST_TEST((Evacuations_ == std::vector<std::string>{"first", "first"}));
}

BOOST_AUTO_TEST_CASE(a_query_is_answered_by_a_report) {
  run(100ms);
  const int Before = Reports_;
  Entry_->sendQuery("agent");
  run(10ms);
  BOOST_TEST(Reports_ > Before);
}

// An entry that was paused between its decision and the message, or a message
// that was held up by a partition: the entry may have given the tasks to
// another agent meanwhile.
BOOST_AUTO_TEST_CASE(an_order_based_on_an_old_report_is_declined) {
  run(100ms);
  // Neither side handles messages; the entry keeps its last report.
  std::this_thread::sleep_for(170ms);
  order("a");
  run(50ms, true, true);
  BOOST_TEST(Orders_.empty());
  BOOST_REQUIRE(LastOutcomes_.size() == 1u);
  BOOST_TEST((LastOutcomes_[0].End_ == request::RunEnd::NeverRan));
  BOOST_TEST(LastOutcomes_[0].Reason_ == "stale_order");
  order("b");
  run(50ms);
  BOOST_TEST((Orders_ == std::vector<std::string>{"b"}));
}

// A message may have been held up on its way, or in the buffers of a paused
// process, until long after its sender has ended.
BOOST_AUTO_TEST_CASE(contact_is_measured_by_confirmed_reports) {
  EndsTasks_ = false;
  run(100ms);
  BOOST_TEST(!Agent_->lastContact("nobody").has_value());
  order("a");
  run(200ms);
  const auto Now = process::steadyClock();
  const auto Contact = Agent_->lastContact("entry@1");
  BOOST_REQUIRE(Contact.has_value());
  BOOST_TEST((Now() - *Contact < 150ms));
  Entry_.reset();
  const auto Peer = standins::RawPeer::open(Context_, Port);
  connection::PeerSession Session;
  const std::int64_t Before = request::toMilliseconds(Now().time_since_epoch());
  Peer->send(Session.unsequencedFrame("hello", encodeHello({"late", "1"})));
  for (int I = 0; I < 5; ++I) {
    Peer->send(Session.unsequencedFrame("heartbeat", encodeHeartbeat(Before)));
    run(20ms);
  }
  const auto Late = Agent_->lastContact("late");
  BOOST_REQUIRE(Late.has_value());
  BOOST_TEST((request::toMilliseconds(Late->time_since_epoch()) == Before));
  // A time ahead of the agent's clock is not that of a report.
  Peer->send(Session.unsequencedFrame("heartbeat",
                                      encodeHeartbeat(Before + 3'600'000)));
  run(20ms);
  BOOST_TEST((*Agent_->lastContact("late") == *Late));
}

// An exception while a message was handled ended the whole process.
BOOST_AUTO_TEST_CASE(an_exception_ends_only_the_connection) {
  run(100ms);
  order("throw");
  run(300ms);
  order("a");
  run(100ms);
  BOOST_TEST((Orders_ == std::vector<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(an_order_with_a_clock_ahead_of_the_agent_is_declined) {
  Entry_.reset();
  const auto Peer = standins::RawPeer::open(Context_, Port);
  connection::PeerSession Session;
  Peer->send(Session.unsequencedFrame("hello", encodeHello({"old", "1"})));
  RunOrder Order;
  Order.Job_ = "a";
  Order.AgentClockMs_ = std::int64_t{1} << 52;
  Order.Tasks_ = {{0, 1}};
  Peer->send(Session.sequencedFrame("order", encodeOrder(Order)));
  run(20ms);
  BOOST_TEST(Orders_.empty());
  BOOST_TEST(Peer->count("stale_order") == 1u);
}

// A peer that does not confirm outcomes had an unlimited number of them kept.
BOOST_AUTO_TEST_CASE(unconfirmed_outcomes_end_a_session) {
  Entry_.reset();
  Limits_.Budget_ = std::make_shared<connection::InputBudget>(200'000);
  Agent_.reset();
  Agent_ = makeAgent();
  const auto Peer = standins::RawPeer::open(Context_, Port);
  connection::PeerSession Session;
  Peer->send(Session.unsequencedFrame("hello", encodeHello({"many", "1"})));
  RunOrder Order;
  Order.Job_ = "a";
  for (std::uint32_t I = 0; I < 1'000; ++I)
    Order.Tasks_.push_back({I, 1});
  for (int I = 0; I < 10 && !Peer->closed(); ++I) {
    // Without a report, the clock of the order is too old.
    Peer->send(Session.unsequencedFrame("order", encodeOrder(Order)));
    run(20ms);
  }
  BOOST_TEST((LostOwners_ == std::vector<std::string>{"many"}));
  run(20ms);
  BOOST_TEST(Peer->closed());
  BOOST_TEST(Limits_.Budget_->usedBytes() == 0u);
}

// Clients that had sent a hello kept entries out for as long as they stayed.
BOOST_AUTO_TEST_CASE(an_entry_takes_the_place_of_an_unused_link) {
  Entry_.reset();
  Limits_.Connections_ = 3;
  Agent_.reset();
  Agent_ = makeAgent();
  Entry_ = makeEntry("entry@1");
  EndsTasks_ = false;
  run(100ms);
  order("a");
  run(20ms);
  std::vector<std::shared_ptr<standins::RawPeer>> Peers;
  for (int I = 0; I < 3; ++I) {
    Peers.push_back(standins::RawPeer::open(Context_, Port));
    Peers.back()->send(connection::PeerSession().unsequencedFrame(
        "hello", encodeHello({"client" + std::to_string(I), "1"})));
    run(20ms);
  }
  BOOST_TEST(Peers[0]->closed());
  BOOST_TEST(!Peers[2]->closed());
  BOOST_TEST(Entry_->connectedCount() == 1u);
  BOOST_TEST((LostOwners_ == std::vector<std::string>{"client0"}));
}

// An agent has one session with an entry. Two names for its address replaced
// each other's sessions, and the runs were ended each time.
BOOST_AUTO_TEST_CASE(a_second_name_for_an_address_is_ignored) {
  run(100ms);
  EndsTasks_ = false;
  order("a");
  run(50ms);
  Entry_->setAgents({{"agent", {"127.0.0.1", Port}},
                     {"a-copy", {"127.0.0.1", Port}},
                     {"copy", {"127.0.0.1", Port}}});
  run(300ms);
  BOOST_TEST(LostAgents_.empty());
  BOOST_TEST(LostOwners_.empty());
  BOOST_TEST(Entry_->connectedCount() == 1u);
  // The other name is used once the first one has left and its session ended.
  Entry_->setAgents({{"copy", {"127.0.0.1", Port}}});
  run(50ms);
  BOOST_TEST(LostAgents_.empty());
  Agent_.reset();
  run(400ms);
  Agent_ = makeAgent();
  run(300ms);
  BOOST_TEST(Entry_->connectedCount() == 1u);
  Owner_.clear();
  RunOrder Order;
  Order.Job_ = "b";
  Order.Tasks_ = {{0, 1}};
  Entry_->sendOrder("copy", Order);
  run(50ms);
  BOOST_TEST(Owner_ == "entry@1");
}

BOOST_AUTO_TEST_CASE(
    detects_a_terminated_agent_and_reconnects_to_its_successor) {
  run(100ms);
  Agent_.reset();
  run(400ms);
  BOOST_TEST(LostAgents_.size() == 1u);
  Agent_ = makeAgent();
  run(300ms);
  BOOST_TEST(Entry_->connectedCount() == 1u);
  order("a");
  run(100ms);
  BOOST_TEST(Outcomes_ == 1);
}

// A process that was stalled must not act on messages received before or during
// the stall.
BOOST_AUTO_TEST_CASE(closed_sessions_are_reported_as_lost_to_the_entry) {
  run(100ms);
  Agent_->closeAllSessions("process was stalled");
  run(300ms);
  // Reported once when the agent closes the session, and once when the entry
  // replaces the session that the agent no longer has.
  BOOST_TEST(LostOwners_.size() == 2u);
  BOOST_TEST(LostAgents_.size() == 1u);
  BOOST_TEST(Entry_->connectedCount() == 1u);
}

// An order that could not be read was ignored, and its entry waited for the
// outcomes without end.
BOOST_AUTO_TEST_CASE(a_malformed_order_ends_the_session_only) {
  Entry_.reset();
  const auto Peer = standins::RawPeer::open(Context_, Port);
  connection::PeerSession Session;
  Peer->send(Session.unsequencedFrame("hello", encodeHello({"old", "1"})));
  run(20ms);
  BOOST_TEST(LostOwners_.empty());
  Peer->send(Session.sequencedFrame("order", "not an order"));
  run(20ms);
  BOOST_TEST((LostOwners_ == std::vector<std::string>{"old"}));
  BOOST_TEST(Peer->closed());
  Entry_ = makeEntry("entry@2");
  run(100ms);
  order("a");
  run(50ms);
  BOOST_TEST(Outcomes_ == 1);
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_is_a_new_owner) {
  run(100ms);
  order("a");
  run(50ms);
  BOOST_TEST(Owner_ == "entry@1");
  Entry_ = makeEntry("entry@2");
  run(400ms);
  order("b");
  run(100ms);
  BOOST_TEST(Owner_ == "entry@2");
  BOOST_TEST((LostOwners_ == std::vector<std::string>{"entry@1"}));
}

BOOST_AUTO_TEST_SUITE_END()
