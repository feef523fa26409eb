/// \file
/// \brief Guards against wrong changes of the agent map: by a minority, by an
/// entry, or based on a stale read.
#include "wigeonwall/process/configuration/map_maintainer.h"

#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;
using connection::StoreError;

namespace {

/// Key-value store with one key; runs the callbacks in run().
class SingleKeyStore : public connection::KeyValueStore {
public:
  void read(const std::string &, ReadCallback Done) override {
    Pending_.push_back([this, Done] { Done(Stale_ ? Stale_ : Entry_, {}); });
  }
  void watch(const std::string &, std::uint64_t, std::chrono::milliseconds,
             ReadCallback) override {}
  void compareAndSwap(const std::string &, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override {
    Pending_.push_back([this, Value, Index, Done] {
      const bool Swapped = Entry_->Index_ == Index;
      if (Swapped)
        Entry_ = {Value, Index + 1};
      Done(Swapped, {});
    });
  }
  void run() {
    while (!Pending_.empty())
      for (const auto &Callback : std::exchange(Pending_, {}))
        Callback();
  }

  std::optional<connection::StoreEntry> Entry_ = connection::StoreEntry{};
  std::optional<connection::StoreEntry> Stale_;

private:
  std::vector<std::function<void()>> Pending_;
};

/// Maintainer of the process a0; the map contains the agents a0 to a4.
struct Fixture {
  explicit Fixture(Role OwnRole = Role::Agent)
      : Members_(
            member("a0", OwnRole), [this] { return Now_; }, std::mt19937_64(1),
            {}, hooks()),
        Maintainer_(
            Store_, Members_, [this] { return Now_; }, std::mt19937_64(2), {},
            maintainerHooks()) {
    for (int I = 1; I < 5; ++I)
      receiveUpdate(Suspicion::None, MemberState::Alive, I);
    version::MapChange Change;
    for (int I = 0; I < 5; ++I) {
      version::MapAgent Agent;
      Agent.Id_ = "a" + std::to_string(I);
      Agent.Incarnation_ = 1;
      Agent.Service_ = "permit-desk";
      Change.Joins_.push_back(Agent);
    }
    Map_ = std::make_shared<const version::AgentMap>(
        *version::applyChange({}, Change, 0, 600'000));
    Store_.Entry_ = {request::writeJson(version::encodeMap(*Map_)), 1};
  }

  static Member member(const std::string &Id, Role OwnRole = Role::Agent) {
    return {Id,      OwnRole,      1, "127.0.0.1:1", "127.0.0.1:2",
            "north", "permit-desk"};
  }
  static MembershipHooks hooks() {
    MembershipHooks Hooks;
    Hooks.SendProbe_ = [](const Member &) {};
    Hooks.SendProbeVia_ = [](const Member &, const MemberUpdate &) {};
    Hooks.SendIndirectAck_ = [](const Member &, const MemberUpdate &) {};
    Hooks.SendJoin_ = [](const Member &) {};
    Hooks.Changed_ = [] {};
    return Hooks;
  }
  MapMaintainerHooks maintainerHooks() {
    return {[this] { return Map_; },
            [this](const Json::Value &Source) {
              version::MapFault Fault;
              Map_ = std::make_shared<const version::AgentMap>(
                  *version::decodeMap(Source, Fault));
            },
            [] { return std::int64_t(1'000); },
            [](const std::string &) {},
            [] { return std::int64_t(600'000); },
            [](const std::string &) {}};
  }
  void receiveUpdate(Suspicion Accused, MemberState Statement, int Number,
                     std::int64_t Incarnation = 1) {
    MembershipMessage Message;
    Message.From_.Member_ = member("x");
    Message.From_.Complete_ = false;
    MemberUpdate Update;
    Update.Member_ = member("a" + std::to_string(Number));
    Update.Member_.State_ = Statement;
    Update.Member_.Incarnation_ = Incarnation;
    Update.Suspicion_ = Accused;
    Update.StoppedAtMs_ = Statement == MemberState::Left ? 77 : 0;
    Message.Updates_ = {Update};
    (void)Members_.onProbe(Message);
  }
  void run(std::chrono::seconds Time) {
    for (const auto End = Now_ + Time; Now_ < End; Now_ += 100ms) {
      Maintainer_.tick();
      Store_.run();
    }
  }
  std::size_t presentAgents() {
    return Map_->presentAgents("permit-desk").size();
  }

  request::TimePoint Now_{1h};
  SingleKeyStore Store_;
  std::shared_ptr<const version::AgentMap> Map_;
  Membership Members_;
  MapMaintainer Maintainer_;
};

struct Case {
  const char *Name_;
  Role Role_;
  int DeadAgents_;
  int LeftAgents_;
  std::size_t ExpectedAgents_;
};

const std::vector<Case> Cases{
    {"nothing changed", Role::Agent, 0, 0, 5},
    {"a majority removes dead agents", Role::Agent, 2, 0, 3},
    {"a minority removes no agent", Role::Agent, 3, 0, 5},
    {"removing an agent that left needs no majority", Role::Agent, 3, 1, 4},
    {"an entry writes no map", Role::Entry, 2, 1, 5},
};

} // namespace

/// Guards against removing agents without a majority, keeping dead ones, and
/// map changes by an entry.
BOOST_AUTO_TEST_CASE(only_permitted_removals_are_written) {
  for (const Case &Current : Cases) {
    BOOST_TEST_CONTEXT(Current.Name_) {
      Fixture Test(Current.Role_);
      for (int I = 1; I <= Current.DeadAgents_; ++I)
        Test.receiveUpdate(Suspicion::Dead, MemberState::Alive, I);
      for (int I = 0; I < Current.LeftAgents_; ++I)
        Test.receiveUpdate(Suspicion::None, MemberState::Left, 4 - I);
      Test.run(10s);
      BOOST_TEST(Test.presentAgents() == Current.ExpectedAgents_);
      for (const auto &Agent : Test.Map_->Agents_)
        BOOST_TEST((Agent.StoppedAtMs_ == 77) ==
                   (Agent.Id_ == "a4" && Agent.RemovedEpoch_ != 0));
    }
  }
}

/// A write based on a stale read must fail, and the next one based on a current
/// read must succeed. A new incarnation replaces the old one in the same map
/// change.
BOOST_AUTO_TEST_CASE(stale_read_writes_nothing) {
  Fixture Test;
  Test.Store_.Stale_ = Test.Store_.Entry_;
  Test.Store_.Entry_->Index_ = 9;
  Test.receiveUpdate(Suspicion::Dead, MemberState::Alive, 1);
  Test.receiveUpdate(Suspicion::None, MemberState::Alive, 2, 5);
  Test.run(10s);
  BOOST_TEST(Test.Store_.Entry_->Index_ == 9U);
  BOOST_TEST(Test.Map_->Epoch_ == 1U);
  Test.Store_.Stale_.reset();
  Test.run(5s);
  BOOST_TEST(Test.Store_.Entry_->Index_ == 10U);
  BOOST_TEST(Test.Map_->Epoch_ == 2U);
  BOOST_TEST(Test.Map_->findPresent("a1") == nullptr);
  BOOST_REQUIRE(Test.Map_->findPresent("a2") != nullptr);
  BOOST_TEST(Test.Map_->findPresent("a2")->Incarnation_ == 5);
}
