/// \file
/// \brief Guards the map against the sides of a cut that remove each other,
/// and against dead agents that stay after a fleet was replaced.
#include "wigeonwall/process/configuration/map_maintainer.h"

#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t StartMs = 1'790'000'000'000;

/// Key-value service with one key; answers at once in run().
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
      for (const auto &Each : std::exchange(Pending_, {}))
        Each();
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

/// Time and the service, shared by all sides.
struct World {
  request::TimePoint Now_{1h};
  SharedStore Store_;

  [[nodiscard]] std::shared_ptr<const version::AgentMap> map() {
    if (DecodedIndex_ != Store_.Entry_.Index_) {
      request::CodecFault Syntax;
      version::MapFault Why;
      Decoded_ = std::make_shared<const version::AgentMap>(*version::decodeMap(
          *request::parseJson(Store_.Entry_.Value_, Syntax), Why));
      DecodedIndex_ = Store_.Entry_.Index_;
    }
    return Decoded_;
  }
  void put(const std::vector<Member> &Agents) {
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
  [[nodiscard]] std::size_t present() {
    return map()->presentAgents("permit-desk").size();
  }

private:
  std::uint64_t DecodedIndex_ = 0;
  std::shared_ptr<const version::AgentMap> Decoded_;
};

/// What one process sees that reaches the service.
struct Side {
  Side(World &Shared, const std::vector<Member> &Alive,
       const std::vector<Member> &Dead)
      : World_(Shared),
        Members_(Alive.front(), clock(), std::mt19937_64(1), {}, hooks()),
        Maintainer_(
            World_.Store_, Members_, clock(), std::mt19937_64(2), {},
            {[this] { return World_.map(); }, [](const Json::Value &) {},
             [this] {
               return StartMs + (World_.Now_.time_since_epoch() / 1ms);
             },
             [](const std::string &) {}, [] { return std::int64_t(600'000); },
             [](const std::string &) {}}) {
    for (const Member &Each : Alive)
      hear(Each, Suspicion::None);
    for (const Member &Each : Dead) {
      hear(Each, Suspicion::None);
      hear(Each, Suspicion::Dead);
    }
  }

  request::Clock clock() {
    return [this] { return World_.Now_; };
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
  void hear(const Member &About, Suspicion What) {
    MembershipMessage Message;
    Message.From_.Member_ = member(99, 99, StartMs);
    Message.From_.Complete_ = false;
    MemberUpdate Update;
    Update.Member_ = About;
    Update.Suspicion_ = What;
    Message.Updates_ = {Update};
    (void)Members_.onProbe(Message);
  }

  World &World_;
  Membership Members_;
  MapMaintainer Maintainer_;
};

void run(World &Shared, const std::vector<Side *> &Sides,
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

/// Agents a0 to a9 in the map, cut into the first \p Size and the others; both
/// sides reach the service.
struct Cut {
  explicit Cut(int Size)
      : Near_(agents(0, Size, 0, StartMs)),
        Far_(agents(Size, 10 - Size, Size, StartMs)) {
    std::vector<Member> All = Near_;
    All.insert(All.end(), Far_.begin(), Far_.end());
    World_.put(All);
    NearSide_.emplace(World_, Near_, Far_);
    FarSide_.emplace(World_, Far_, Near_);
  }
  void run(std::chrono::seconds Time) {
    ::run(World_, {&*NearSide_, &*FarSide_}, Time);
  }

  World World_;
  std::vector<Member> Near_;
  std::vector<Member> Far_;
  std::optional<Side> NearSide_;
  std::optional<Side> FarSide_;
};

} // namespace

/// Neither half may remove the other for as long as regions lose each other.
BOOST_AUTO_TEST_CASE(halves_keep_each_other_for_an_hour) {
  Cut Test(5);
  Test.run(1h);
  BOOST_TEST(Test.World_.map()->Epoch_ == 1U);
  BOOST_TEST(Test.World_.present() == 10U);
}

/// After longer than any expected cut, each half may remove the other, but an
/// agent that its own side puts back stays: the map must not alternate.
BOOST_AUTO_TEST_CASE(halves_do_not_alternate_after_a_long_cut) {
  Cut Test(5);
  Test.run(4h);
  BOOST_TEST(Test.World_.present() == 10U);
  BOOST_TEST(Test.World_.map()->Epoch_ <= 12U);
}

/// The smaller side removes nobody, and its agents, which it puts back, are
/// not removed again and again.
BOOST_AUTO_TEST_CASE(smaller_side_removes_nobody) {
  Cut Test(6);
  const auto Keeps = [&] {
    const auto Map = Test.World_.map();
    return std::all_of(Test.Near_.begin(), Test.Near_.end(),
                       [&](const Member &Each) {
                         const auto *Agent = Map->findPresent(Each.Id_);
                         return Agent != nullptr && Agent->JoinedEpoch_ == 1;
                       });
  };
  Test.run(1h);
  BOOST_TEST(Keeps());
  const auto Epochs = Test.World_.map()->Epoch_;
  BOOST_TEST_MESSAGE("epochs in an hour of 60:40: " << Epochs);
  BOOST_TEST(Epochs > 1U);
  BOOST_TEST(Epochs <= 20U);
}

/// A fleet that is replaced under new ids must not leave dead agents in the
/// map, even if they are as many as the new ones or more.
BOOST_AUTO_TEST_CASE(replaced_fleet_leaves_the_map) {
  struct Case {
    const char *Name_;
    int New_;
    int FirstAddress_;
    /// When the old agents are still in the map, and when they are gone.
    std::chrono::seconds Still_;
    std::chrono::seconds Gone_;
  };
  const Case Cases[] = {
      {"as many on the same addresses", 10, 0, 0s, 20s},
      {"six of ten addresses taken", 6, 0, 0s, 30s},
      {"more on other addresses", 11, 50, 0s, 30s},
      {"as many on other addresses", 10, 50, 1h, 2h + 60s},
      {"fewer on other addresses", 4, 50, 1h, 2h + 60s},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.Name_) {
      World Shared;
      Shared.put(agents(0, 10, 0, StartMs));
      const auto New =
          agents(20, Each.New_, Each.FirstAddress_, StartMs + 60'000);
      Side Only(Shared, New, {});
      const auto Expected = static_cast<std::size_t>(Each.New_);
      run(Shared, {&Only}, Each.Still_);
      if (Each.Still_ > 0s)
        BOOST_TEST(Shared.present() == Expected + 10);
      run(Shared, {&Only}, Each.Gone_ - Each.Still_);
      BOOST_TEST(Shared.present() == Expected);
    }
  }
}
