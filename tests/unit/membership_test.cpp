/// \file
/// \brief Tests membership: failures are detected in time, false suspicions are
/// refuted, and the traffic stays within its limit.
#include "wigeonwall/process/membership/membership.h"

#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace wigeonwall::process;
using namespace std::chrono_literals;
using wigeonwall::request::TimePoint;
using wigeonwall::request::writeJson;

namespace {

constexpr std::size_t HeaderBytes = 300;
/// Size of the JSON-RPC envelopes of a request and its reply.
constexpr std::size_t EnvelopeBytes = 120;

/// Simulated processes and network in virtual time; a round trip takes 2 ms.
class FakeNetwork {
public:
  struct Node {
    std::unique_ptr<Membership> Members_;
    bool Up_ = true;
    bool Frozen_ = false;
    bool Superseded_ = false;
    std::vector<std::function<void()>> DelayedMessages_;
  };

  explicit FakeNetwork(std::uint64_t Seed, std::size_t Size = 0)
      : Random_(Seed) {
    for (std::size_t I = 0; I < Size; ++I)
      add("a" + std::to_string(I), "d" + std::to_string(I % 3), 1);
  }

  Node &add(const std::string &Id, const std::string &Domain,
            std::int64_t Incarnation, Role What = Role::Agent) {
    const std::string Address =
        "10.20.30." + std::to_string(Nodes_.size()) + ":7400";
    Member Own{Id,           What,    1'790'000'000'000 + Incarnation,
               Address,      Address, Domain,
               "permit-desk"};
    MembershipHooks Hooks;
    Hooks.SendProbe_ = [this, Address](const Member &To) {
      send(Address, To, &Membership::onProbe, message(Address, To));
    };
    Hooks.SendProbeVia_ = [this, Address](const Member &To,
                                          const MemberUpdate &Target) {
      auto Message = message(Address, To);
      Message.Target_ = Target;
      send(Address, To, &Membership::onProbeVia, Message);
    };
    Hooks.SendIndirectAck_ = [this, Address](const Member &To,
                                             const MemberUpdate &Target) {
      auto Message = message(Address, To);
      Message.Target_ = Target;
      send(Address, To, &Membership::onProbe, Message);
    };
    Hooks.SendJoin_ = [this, Address](const Member &To) {
      send(Address, To, &Membership::onJoin,
           Nodes_[Address].Members_->joinMessage());
    };
    Hooks.Changed_ = [] {};
    Hooks.Superseded_ = [this, Address] { Nodes_[Address].Superseded_ = true; };
    Node &Added = Nodes_[Address];
    Added.Members_ = std::make_unique<Membership>(
        Own, [this] { return Now_; }, std::mt19937_64(Random_()),
        MembershipOptions{}, Hooks);
    for (auto &[Other, Each] : Nodes_)
      if (Other != Address && Each.Up_) {
        const auto Reply = Each.Members_->onJoin(Added.Members_->joinMessage());
        if (JoinReplies_)
          Added.Members_->onReply(Reply);
        break;
      }
    return Added;
  }

  void run(std::chrono::milliseconds Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += 1ms) {
      while (!Events_.empty() && Events_.begin()->first <= Now_) {
        const auto Event = Events_.extract(Events_.begin());
        Event.mapped()();
      }
      if ((Now_.time_since_epoch() / 1ms) % 100 == 0)
        for (auto &[Address, Each] : Nodes_)
          if (Each.Up_ && !Each.Frozen_)
            Each.Members_->tick();
    }
  }

  void thaw(Node &Each) {
    Each.Frozen_ = false;
    for (const auto &Late : std::exchange(Each.DelayedMessages_, {}))
      Late();
  }

  Node &node(const std::string &Id) {
    for (auto &[Address, Each] : Nodes_)
      if (Each.Up_ && Each.Members_->own().Id_ == Id)
        return Each;
    throw std::out_of_range(Id);
  }

  /// Number of running processes that see \p Id in another state.
  int disagreeing(const std::string &Id, MemberState State) {
    int Count = 0;
    for (auto &[Address, Each] : Nodes_) {
      if (!Each.Up_ || Each.Frozen_)
        continue;
      for (const Member &Seen : Each.Members_->members())
        Count += Seen.Id_ == Id && Seen.State_ != State ? 1 : 0;
    }
    return Count;
  }

  /// Every running process sees every other as alive.
  bool allAlive() {
    std::size_t Up = 0;
    for (auto &[Address, Each] : Nodes_)
      Up += Each.Up_ ? 1 : 0;
    for (auto &[Address, Each] : Nodes_) {
      std::size_t Alive = 0;
      for (const Member &Seen : Each.Members_->members())
        Alive += Seen.State_ == MemberState::Alive ? 1 : 0;
      if (Each.Up_ && Alive != Up)
        return false;
    }
    return true;
  }

  std::map<std::string, Node> Nodes_;
  /// When false, processes that are added get no member list.
  bool JoinReplies_ = true;
  std::string PartitionedDomain_;
  double Loss_ = 0;
  /// Address whose traffic is counted; the counters include both directions.
  std::string Counted_;
  std::size_t Bytes_ = 0;
  std::size_t Exchanges_ = 0;

private:
  using Handler = MembershipMessage (Membership::*)(const MembershipMessage &);

  MembershipMessage message(const std::string &From, const Member &To) {
    return Nodes_[From].Members_->messageFor(To.Id_);
  }
  void count(const std::string &A, const std::string &B,
             const MembershipMessage &Message, std::size_t Extra) {
    if (A == Counted_ || B == Counted_)
      Bytes_ += writeJson(encodeMessage(Message)).size() + Extra;
  }
  bool passes(const Node &From, const Node &To) {
    const bool Partitioned =
        !PartitionedDomain_.empty() &&
        (From.Members_->own().FailureDomain_ == PartitionedDomain_) !=
            (To.Members_->own().FailureDomain_ == PartitionedDomain_);
    return From.Up_ && To.Up_ && !Partitioned &&
           std::uniform_real_distribution<>(0, 1)(Random_) >= Loss_;
  }
  void deliver(const std::string &From, const std::string &To,
               std::function<void()> Action) {
    Events_.emplace(Now_ + 1ms, [this, From, To, Action] {
      Node &Receiver = Nodes_[To];
      if (!passes(Nodes_[From], Receiver))
        return;
      if (Receiver.Frozen_)
        Receiver.DelayedMessages_.push_back(Action);
      else
        Action();
    });
  }
  void send(const std::string &From, const Member &To, Handler Handle,
            const MembershipMessage &Request) {
    const std::string Target = To.ControlAddress_;
    count(From, Target, Request, EnvelopeBytes + HeaderBytes);
    Exchanges_ += From == Counted_ || Target == Counted_ ? 1 : 0;
    deliver(From, Target, [this, From, Target, Handle, Request] {
      const MembershipMessage Reply =
          (Nodes_[Target].Members_.get()->*Handle)(Request);
      count(Target, From, Reply, 0);
      deliver(Target, From,
              [this, From, Reply] { Nodes_[From].Members_->onReply(Reply); });
    });
  }

  std::mt19937_64 Random_;
  TimePoint Now_{1h};
  std::multimap<TimePoint, std::function<void()>> Events_;
};

struct Case {
  const char *Name_;
  double Loss_;
  std::function<void(FakeNetwork &)> Run_;
};

void killOne(FakeNetwork &Net) {
  Net.node("a7").Up_ = false;
  Net.run(6s);
  BOOST_TEST(Net.disagreeing("a7", MemberState::Dead) == 0);
}

void killThree(FakeNetwork &Net) {
  for (const char *Id : {"a7", "a8", "a9"})
    Net.node(Id).Up_ = false;
  Net.run(6s);
  for (const char *Id : {"a7", "a8", "a9"})
    BOOST_TEST(Net.disagreeing(Id, MemberState::Dead) == 0);
}

void leaveOne(FakeNetwork &Net) {
  auto &Node = Net.node("a4");
  Node.Members_->beginLeaving();
  Net.run(2s);
  BOOST_TEST(Net.disagreeing("a4", MemberState::Leaving) == 0);
  Node.Members_->leave(1234);
  Net.run(10ms);
  Node.Up_ = false;
  Net.run(2s);
  BOOST_TEST(Net.disagreeing("a4", MemberState::Left) == 0);
  BOOST_TEST(
      Net.node("a1").Members_->table().find("a4")->Update_.StoppedAtMs_ ==
      1234);
}

void freeze(FakeNetwork &Net) {
  auto &Node = Net.node("a3");
  Node.Frozen_ = true;
  Net.run(30s);
  BOOST_TEST(Net.disagreeing("a3", MemberState::Dead) == 0);
  Net.thaw(Node);
  for (int I = 0; I < 100; ++I) {
    Net.run(100ms);
    for (const Member &Seen : Node.Members_->members())
      BOOST_REQUIRE(Seen.State_ != MemberState::Dead);
  }
  BOOST_TEST(Net.allAlive());
}

void partitionAndHeal(FakeNetwork &Net) {
  Net.PartitionedDomain_ = "d1";
  Net.run(20s);
  BOOST_TEST(Net.node("a0").Members_->table().presentCount() == 9);
  Net.PartitionedDomain_.clear();
  Net.run(20s);
  BOOST_TEST(Net.allAlive());
}

void replaceEntries(FakeNetwork &Net) {
  for (int I = 0; I < 3; ++I)
    Net.add("e" + std::to_string(I), "d0", 1, Role::Entry);
  Net.run(3s);
  for (int I = 0; I < 3; ++I) {
    Net.node("e" + std::to_string(I)).Up_ = false;
    Net.add("e" + std::to_string(I), "d0", 2, Role::Entry);
  }
  Net.run(10s);
  BOOST_TEST(Net.allAlive());
}

/// Without refutation, lost messages would mark members as dead permanently.
void stayAlive(FakeNetwork &Net) {
  for (int I = 0; I < 600; ++I) {
    Net.run(100ms);
    for (int Id = 0; Id < 15; ++Id)
      for (const Member &Seen :
           Net.node("a" + std::to_string(Id)).Members_->members())
        BOOST_REQUIRE(Seen.State_ != MemberState::Dead);
  }
}

const std::vector<Case> Cases{
    {"killed member is dead within 6 s", 0, killOne},
    {"killed rack is dead within 6 s", 0, killThree},
    {"leaving member is known within 2 s", 0, leaveOne},
    {"frozen member returns and marks none dead", 0, freeze},
    {"partitioned failure domain returns", 0, partitionAndHeal},
    {"replaced entries are alive", 0, replaceEntries},
    {"lost messages mark none dead", 0.1, stayAlive},
};

} // namespace

/// Runs each case with several seeds, because detection depends on the random
/// order of probes.
BOOST_AUTO_TEST_CASE(failures_are_detected_and_false_suspicions_refuted) {
  for (const Case &Each : Cases)
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      BOOST_TEST_CONTEXT(Each.Name_ << ", seed " << Seed) {
        FakeNetwork Net(Seed, 15);
        Net.Loss_ = Each.Loss_;
        Net.run(5s);
        Each.Run_(Net);
      }
    }
}

/// A delayed message of an old incarnation must not restore it, and the old
/// process must learn that it was replaced.
BOOST_AUTO_TEST_CASE(old_incarnation_is_never_restored) {
  FakeNetwork Net(1, 5);
  Net.run(3s);
  auto &Old = Net.node("a2");
  Net.add("a2", "d0", 9);
  Net.run(3s);
  BOOST_TEST(Old.Superseded_);
  MembershipMessage Late = Old.Members_->joinMessage();
  Late.From_.Revision_ = 50;
  (void)Net.node("a0").Members_->onJoin(Late);
  BOOST_TEST(Net.node("a0")
                 .Members_->table()
                 .find("a2")
                 ->Update_.Member_.Incarnation_ == 1'790'000'000'009);
}

/// A malformed message must be rejected with an error, not crash.
BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected) {
  for (const char *Text :
       {R"({"f":["a",1,0,0],"h":1,"v":[1]})", R"({"f":["a",1,0,9],"h":1})",
        R"({"f":["a",1,0,0],"h":1,"v":[0,0],"u":[["b"]]})",
        R"({"f":["a",1,0,0],"h":1,"v":[0,0],"t":[1,2,3,4]})", "[]"}) {
    MembershipFault Why;
    wigeonwall::request::CodecFault Parse;
    BOOST_TEST(
        !decodeMessage(*wigeonwall::request::parseJson(Text, Parse), Why));
    BOOST_TEST(!Why.Message_.empty());
  }
}

/// Control traffic must stay under 6 KB/s per process at the target size.
BOOST_AUTO_TEST_CASE(traffic_of_620_members_is_bounded) {
  FakeNetwork Net(1);
  Net.JoinReplies_ = false;
  for (int I = 0; I < 620; ++I)
    Net.add("a" + std::to_string(I), "d" + std::to_string(I % 10), 1);
  Net.JoinReplies_ = true;
  const auto List = Net.Nodes_.begin()->second.Members_->joinMessage();
  for (auto &[Address, Each] : Net.Nodes_)
    Each.Members_->onReply(List);
  Net.run(15s);
  BOOST_TEST(Net.allAlive());
  Net.Counted_ = Net.node("a300").Members_->own().ControlAddress_;
  const auto Measure = [&](const char *What) {
    Net.Bytes_ = Net.Exchanges_ = 0;
    Net.run(30s);
    std::cout << What << ": " << Net.Bytes_ / 30 << " B/s, "
              << Net.Exchanges_ / 30.0 << " exchanges/s\n";
    BOOST_TEST(Net.Bytes_ / 30 < 6'000);
  };
  Measure("steady");
  Net.node("a5").Up_ = false;
  Net.add("a6", "d0", 2);
  Measure("one killed and one replaced in 30 s");
}
