/// \file
/// \brief Guards against the sides of a network partition removing each other
/// from the map, and against dead agents that stay after a fleet was replaced.
#include "wigeonwall/process/configuration/map_maintainer.h"

#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t StartMs = 1'790'000'000'000;

/// Key-value store with one key; runs the callbacks in run().
class SharedStore : public connection::KeyValueStore {
public:
  void read(const std::string &, ReadCallback Done) override {
    Pending_.push_back([this, Done] { Done(Entry_, {}); });
  }
  void watch(const std::string &, std::uint64_t, std::chrono::milliseconds,
             ReadCallback) override {}
  void compareAndSwap(const std::string &, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override {
    Pending_.push_back([this, Value, Index, Done] {
      const bool Swapped = Entry_.Index_ == Index;
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

  connection::StoreEntry Entry_;

private:
  std::vector<std::function<void()>> Pending_;
};

Member member(int Number, int Address, std::int64_t Incarnation) {
  const std::string Host = "10.20.30." + std::to_string(Address);
  return {"a" + std::to_string(Number),
          Role::Agent,
          Incarnation,
          Host + ":7400",
          Host + ":7401",
          "north",
          "permit-desk"};
}

/// Clock and key-value store shared by all sides.
struct SharedState {
  request::TimePoint Now_{1h};
  SharedStore Store_;

  [[nodiscard]] std::shared_ptr<const version::AgentMap> map() {
    if (DecodedIndex_ != Store_.Entry_.Index_) {
      request::CodecFault Syntax;
      version::MapFault Fault;
      Decoded_ = std::make_shared<const version::AgentMap>(*version::decodeMap(
          *request::parseJson(Store_.Entry_.Value_, Syntax), Fault));
      DecodedIndex_ = Store_.Entry_.Index_;
    }
    return Decoded_;
  }
  void storeMap(const std::vector<Member> &Agents) {
    version::MapChange Change;
    for (const Member &Each : Agents) {
      version::MapAgent Agent;
      Agent.Id_ = Each.Id_;
      Agent.Incarnation_ = Each.Incarnation_;
      Agent.ControlAddress_ = Each.ControlAddress_;
      Agent.Service_ = Each.Service_;
      Change.Joins_.push_back(Agent);
    }
    Store_.Entry_ = {request::writeJson(version::encodeMap(
                         *version::applyChange({}, Change, StartMs, 600'000))),
                     1};
  }
  [[nodiscard]] std::size_t presentAgents() {
    return map()->presentAgents("permit-desk").size();
  }

private:
  std::uint64_t DecodedIndex_ = 0;
  std::shared_ptr<const version::AgentMap> Decoded_;
};

/// One process with access to the store, and its view of the membership.
struct Side {
  Side(SharedState &Shared, const std::vector<Member> &Alive,
       const std::vector<Member> &Dead)
      : State_(Shared),
        Members_(Alive.front(), clock(), std::mt19937_64(1), {}, hooks()),
        Maintainer_(
            State_.Store_, Members_, clock(), std::mt19937_64(2), {},
            {[this] { return State_.map(); }, [](const Json::Value &) {},
             [this] {
               return StartMs + (State_.Now_.time_since_epoch() / 1ms);
             },
             [](const std::string &) {}, [] { return std::int64_t(600'000); },
             [](const std::string &) {}}) {
    for (const Member &Each : Alive)
      receiveUpdate(Each, Suspicion::None);
    for (const Member &Each : Dead) {
      receiveUpdate(Each, Suspicion::None);
      receiveUpdate(Each, Suspicion::Dead);
    }
  }

  request::Clock clock() {
    return [this] { return State_.Now_; };
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
  void receiveUpdate(const Member &About, Suspicion Accused) {
    MembershipMessage Message;
    Message.From_.Member_ = member(99, 99, StartMs);
    Message.From_.Complete_ = false;
    MemberUpdate Update;
    Update.Member_ = About;
    Update.Suspicion_ = Accused;
    Message.Updates_ = {Update};
    (void)Members_.onProbe(Message);
  }

  SharedState &State_;
  Membership Members_;
  MapMaintainer Maintainer_;
};

void run(SharedState &Shared, const std::vector<Side *> &Sides,
         std::chrono::seconds Time) {
  for (const auto End = Shared.Now_ + Time; Shared.Now_ < End;
       Shared.Now_ += 500ms)
    for (Side *Each : Sides) {
      Each->Maintainer_.tick();
      Shared.Store_.run();
    }
}

std::vector<Member> agents(int First, int Count, int FirstAddress,
                           std::int64_t Incarnation) {
  std::vector<Member> Result;
  Result.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back(member(First + I, FirstAddress + I, Incarnation));
  return Result;
}

/// Partitions the agents a0 to a9 into the first \p Size and the others. Both
/// sides reach the store.
struct Partition {
  explicit Partition(int Size)
      : FirstAgents_(agents(0, Size, 0, StartMs)),
        SecondAgents_(agents(Size, 10 - Size, Size, StartMs)) {
    std::vector<Member> All = FirstAgents_;
    All.insert(All.end(), SecondAgents_.begin(), SecondAgents_.end());
    State_.storeMap(All);
    FirstSide_.emplace(State_, FirstAgents_, SecondAgents_);
    SecondSide_.emplace(State_, SecondAgents_, FirstAgents_);
  }
  void run(std::chrono::seconds Time) {
    ::run(State_, {&*FirstSide_, &*SecondSide_}, Time);
  }

  SharedState State_;
  std::vector<Member> FirstAgents_;
  std::vector<Member> SecondAgents_;
  std::optional<Side> FirstSide_;
  std::optional<Side> SecondSide_;
};

} // namespace

/// Neither half may remove the other within the longest expected partition
/// between regions.
BOOST_AUTO_TEST_CASE(halves_keep_each_other_for_an_hour) {
  Partition Test(5);
  Test.run(1h);
  BOOST_TEST(Test.State_.map()->Epoch_ == 1U);
  BOOST_TEST(Test.State_.presentAgents() == 10U);
}

/// After a longer partition each half may remove the other, but an agent that
/// its own side adds again must stay, so that the map does not alternate.
BOOST_AUTO_TEST_CASE(map_does_not_alternate_in_a_long_partition) {
  Partition Test(5);
  Test.run(4h);
  BOOST_TEST(Test.State_.presentAgents() == 10U);
  BOOST_TEST(Test.State_.map()->Epoch_ <= 12U);
}

/// The smaller side must remove no agent. Its own agents, which it adds again,
/// must not be removed over and over.
BOOST_AUTO_TEST_CASE(smaller_side_removes_no_agent) {
  Partition Test(6);
  const auto KeepsFirstAgents = [&] {
    const auto Map = Test.State_.map();
    return std::all_of(Test.FirstAgents_.begin(), Test.FirstAgents_.end(),
                       [&](const Member &Each) {
                         const auto *Agent = Map->findPresent(Each.Id_);
                         return Agent != nullptr && Agent->JoinedEpoch_ == 1;
                       });
  };
  Test.run(1h);
  BOOST_TEST(KeepsFirstAgents());
  const auto Epochs = Test.State_.map()->Epoch_;
  BOOST_TEST_MESSAGE("epochs in an hour of 60:40: " << Epochs);
  BOOST_TEST(Epochs > 1U);
  BOOST_TEST(Epochs <= 20U);
}

/// Replacing a fleet under new ids must not leave dead agents in the map, even
/// if there are as many of them as new agents or more.
BOOST_AUTO_TEST_CASE(replaced_fleet_leaves_the_map) {
  struct Case {
    const char *Name_;
    int NewAgents_;
    int FirstAddress_;
    /// When the old agents must still be in the map, and when they must be
    /// gone.
    std::chrono::seconds KeptUntil_;
    std::chrono::seconds RemovedBy_;
  };
  const Case Cases[] = {
      {"as many on the same addresses", 10, 0, 0s, 20s},
      {"six of ten addresses reused", 6, 0, 0s, 30s},
      {"more on other addresses", 11, 50, 0s, 30s},
      {"as many on other addresses", 10, 50, 1h, 2h + 60s},
      {"fewer on other addresses", 4, 50, 1h, 2h + 60s},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.Name_) {
      SharedState Shared;
      Shared.storeMap(agents(0, 10, 0, StartMs));
      const auto New =
          agents(20, Each.NewAgents_, Each.FirstAddress_, StartMs + 60'000);
      Side Only(Shared, New, {});
      const auto Expected = static_cast<std::size_t>(Each.NewAgents_);
      run(Shared, {&Only}, Each.KeptUntil_);
      if (Each.KeptUntil_ > 0s)
        BOOST_TEST(Shared.presentAgents() == Expected + 10);
      run(Shared, {&Only}, Each.RemovedBy_ - Each.KeptUntil_);
      BOOST_TEST(Shared.presentAgents() == Expected);
    }
  }
}
