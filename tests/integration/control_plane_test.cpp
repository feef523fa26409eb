/// \file
/// \brief Tests control planes of several processes on loopback: discovery,
/// agreement on the agent map and propagation of documents, also with outages
/// of the key-value service.
#include "wigeonwall/process/roles/control_plane.h"

#include "wigeonwall/request/codec.h"

#include "standins/delay_relay.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;
using connection::StoreEntry;
using connection::StoreError;

namespace {

/// In-memory key-value service shared by all processes of a test.
class FakeStore : public connection::KeyValueStore {
public:
  explicit FakeStore(connection::asio::io_context &Context)
      : Context_(Context) {}

  void read(const std::string &Key, ReadCallback Done) override {
    post([this, Key, Done] {
      if (Down_)
        return Done(std::nullopt, {StoreError::NotSent, "down", ""});
      Done(Stale_ ? StaleEntries_[Key] : Entries_[Key], {});
    });
  }
  void watch(const std::string &Key, std::uint64_t Index,
             std::chrono::milliseconds Wait, ReadCallback Done) override {
    const auto End = std::chrono::steady_clock::now() + Wait;
    poll(Key, Index, End, std::move(Done));
  }
  void compareAndSwap(const std::string &Key, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override {
    post([this, Key, Value, Index, Done] {
      if (Down_)
        return Done(std::nullopt, {StoreError::NotSent, "down", ""});
      const bool Swapped = Entries_[Key].Index_ == Index;
      if (Swapped)
        put(Key, Value);
      if (std::exchange(LoseReply_, false))
        return Done(std::nullopt, {StoreError::Unknown, "lost", ""});
      Done(Swapped, {});
    });
  }
  void put(const std::string &Key, const std::string &Value) {
    StaleEntries_[Key] = Entries_[Key];
    Entries_[Key] = {Value, ++LastIndex_};
    ++Writes_[Key];
  }

  bool Down_ = false;
  /// If set, reads return the value before the last write.
  bool Stale_ = false;
  /// If set, the next swap takes effect but its reply is lost.
  bool LoseReply_ = false;
  std::map<std::string, int> Writes_;

private:
  void post(std::function<void()> Action) {
    auto Timer =
        std::make_shared<connection::asio::steady_timer>(Context_, 2ms);
    Timer->async_wait([Timer, Action](auto) { Action(); });
  }
  void poll(const std::string &Key, std::uint64_t Index,
            std::chrono::steady_clock::time_point End, ReadCallback Done) {
    post([this, Key, Index, End, Done] {
      if (Down_)
        return Done(std::nullopt, {StoreError::NotSent, "down", ""});
      const StoreEntry &Entry = Stale_ ? StaleEntries_[Key] : Entries_[Key];
      if (Entry.Index_ != Index || std::chrono::steady_clock::now() >= End)
        return Done(Entry, {});
      poll(Key, Index, End, Done);
    });
  }

  connection::asio::io_context &Context_;
  std::map<std::string, StoreEntry> Entries_;
  std::map<std::string, StoreEntry> StaleEntries_;
  std::uint64_t LastIndex_ = 0;
};

std::shared_ptr<const version::Config> decode(const Json::Value &Value) {
  if (!Value.isObject() || !Value["version"].isUInt64())
    return nullptr;
  version::Config Config;
  Config.Version_ = Value["version"].asUInt64();
  return std::make_shared<const version::Config>(Config);
}

std::int64_t unixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Fixture {
  Fixture() { BOOST_REQUIRE(Balancer_.listen()); }

  struct Process {
    ViewPublisher Publisher_;
    std::unique_ptr<ControlPlane> Control_;

    [[nodiscard]] version::Epoch epoch() const {
      const auto Map = Publisher_.current()->Map_;
      return Map ? Map->Epoch_ : 0;
    }
    [[nodiscard]] std::size_t presentAgents() const {
      const auto Map = Publisher_.current()->Map_;
      return Map ? Map->presentAgents("permit-desk").size() : 0;
    }
    [[nodiscard]] std::uint64_t config() const {
      const auto Config = Publisher_.current()->Config_;
      return Config ? Config->Version_ : 0;
    }
  };

  void add(const std::string &Id, const std::string &Domain,
           Role What = Role::Agent,
           const std::optional<connection::Endpoint> &Listen = {},
           const std::string &Control = "127.0.0.1:0") {
    ControlPlaneOptions Options;
    Options.Own_ = {Id,     What,         unixTimeMs(), Control, "127.0.0.1:1",
                    Domain, "permit-desk"};
    Options.Listen_ = Listen;
    Options.WatchWait_ = 2s;
    Options.Seeds_ = {"127.0.0.1:" + std::to_string(Balancer_.port())};
    auto Added = std::make_unique<Process>();
    ControlPlaneDependencies Dependencies{
        Context_,
        Store_,
        Added->Publisher_,
        [] { return std::chrono::steady_clock::now(); },
        unixTimeMs,
        NextSeed_++,
        decode,
        [this](const std::string &, std::size_t Bytes, bool) {
          ++Messages_;
          Bytes_ += Bytes;
        },
        {},
        {}};
    Added->Control_ =
        std::make_unique<ControlPlane>(std::move(Dependencies), Options);
    BOOST_REQUIRE(Added->Control_->start());
    Processes_.push_back(std::move(Added));
  }
  void addFiveProcesses() {
    add("a1", "north");
    add("a2", "north");
    add("a3", "south");
    add("a4", "south");
    add("e1", "east", Role::Entry);
  }

  /// Runs until \p Done returns true or \p Timeout expires; returns the elapsed
  /// time in ms.
  std::int64_t runUntil(std::chrono::milliseconds Timeout,
                        const std::function<bool()> &Done) {
    const auto Start = std::chrono::steady_clock::now();
    while (!Done() && std::chrono::steady_clock::now() - Start < Timeout)
      Context_.run_for(5ms);
    return (std::chrono::steady_clock::now() - Start) / 1ms;
  }
  bool all(const std::function<bool(const Process &)> &Holds) {
    return std::all_of(Processes_.begin(), Processes_.end(),
                       [&](const auto &Each) { return Holds(*Each); });
  }
  bool agreeOnMap(std::size_t Agents) {
    const auto Epoch = Processes_.front()->epoch();
    return all([&](const Process &Each) {
      return Each.epoch() == Epoch && Each.presentAgents() == Agents &&
             Each.Publisher_.current()->Members_.size() >= Agents;
    });
  }
  bool allHaveConfig(std::uint64_t Version) {
    return all([&](const Process &Each) { return Each.config() == Version; });
  }
  void putConfig(int Version) {
    Store_.put(ConfigKey, "{\"version\":" + std::to_string(Version) + "}");
  }

  connection::asio::io_context Context_;
  FakeStore Store_{Context_};
  std::uint64_t NextSeed_ = 1;
  connection::HttpClient Forward_{Context_, {}};
  /// The only seed address; forwards to the processes in round-robin order,
  /// including the sender.
  connection::HttpServer Balancer_{
      Context_,
      {"127.0.0.1", 0},
      {},
      [this](connection::HttpRequest Request,
             const connection::HttpRespond &Respond) {
        const auto Peer = connection::parseEndpoint(
            Processes_[++NextPeer_ % Processes_.size()]
                ->Control_->own()
                .ControlAddress_);
        Forward_.send(*Peer, std::move(Request), 1s,
                      [Respond](connection::HttpResult Result) {
                        Respond(std::move(Result.Response_));
                      });
      }};
  std::size_t NextPeer_ = 0;
  std::vector<std::unique_ptr<Process>> Processes_;
  std::size_t Messages_ = 0;
  std::size_t Bytes_ = 0;
};

} // namespace

/// A process behind a relay must bind its listen address and be reached at its
/// announced address, which is in use by the relay.
BOOST_FIXTURE_TEST_CASE(announced_address_is_not_bound, Fixture) {
  // Below the ephemeral ports and the ports of the process tests.
  const connection::Endpoint Listen{"127.0.0.1", 11'811};
  standins::DelayRelay Relay(Context_, {"127.0.0.1", 0}, Listen, 1ms);
  BOOST_REQUIRE(Relay.listen());
  const std::string Announced = "127.0.0.1:" + std::to_string(Relay.port());
  add("a1", "north", Role::Agent, Listen, Announced);
  add("a2", "south");
  runUntil(10s, [&] { return agreeOnMap(2) && Processes_[0]->epoch() != 0; });
  BOOST_TEST(agreeOnMap(2));
  const Member *Found = Processes_[1]->Publisher_.current()->findMember("a1");
  BOOST_REQUIRE(Found != nullptr);
  BOOST_TEST(Found->ControlAddress_ == Announced);
}

/// Processes that start together must agree on one map with few writes.
BOOST_FIXTURE_TEST_CASE(map_converges, Fixture) {
  addFiveProcesses();
  const auto Time = runUntil(15s, [&] { return agreeOnMap(4); });
  BOOST_TEST(agreeOnMap(4));
  std::cout << "map agreed after " << Time << " ms, " << Store_.Writes_[MapKey]
            << " writes\n";
  BOOST_TEST(Store_.Writes_[MapKey] <= 4);
}

/// All processes must use a new configuration within 2 s and never revert to an
/// older one, including an entry that does not watch the key-value service.
BOOST_FIXTURE_TEST_CASE(config_propagates_and_never_reverts, Fixture) {
  addFiveProcesses();
  add("e2", "south", Role::Entry);
  runUntil(15s, [&] { return agreeOnMap(4); });
  putConfig(1);
  runUntil(2s, [&] { return allHaveConfig(1); });
  BOOST_TEST(allHaveConfig(1));
  putConfig(2);
  const auto Time = runUntil(2s, [&] { return allHaveConfig(2); });
  BOOST_TEST(allHaveConfig(2));
  std::cout << "config applied by all processes after " << Time << " ms\n";
  Store_.Stale_ = true;
  runUntil(3s, [&] { return !allHaveConfig(2); });
  BOOST_TEST(allHaveConfig(2));
  Store_.Stale_ = false;
  putConfig(3);
  runUntil(2s, [&] { return allHaveConfig(3); });
  BOOST_TEST(allHaveConfig(3));
}

/// Processes that start while the key-value service is unavailable must
/// discover each other and create the map once it is available. A process that
/// joins in a later outage must fetch the documents from a peer.
BOOST_FIXTURE_TEST_CASE(service_down_at_start, Fixture) {
  Store_.Down_ = true;
  addFiveProcesses();
  runUntil(5s, [] { return false; });
  BOOST_TEST(all([](const Process &Each) {
    return Each.Publisher_.current()->Members_.size() == 5 &&
           !Each.Publisher_.current()->ready();
  }));
  Store_.Down_ = false;
  putConfig(1);
  runUntil(12s, [&] { return agreeOnMap(4) && allHaveConfig(1); });
  BOOST_TEST(agreeOnMap(4));
  BOOST_TEST(allHaveConfig(1));
  Store_.Down_ = true;
  add("e3", "west", Role::Entry);
  runUntil(3s,
           [&] { return Processes_.back()->Publisher_.current()->ready(); });
  BOOST_TEST(Processes_.back()->Publisher_.current()->ready());
}

/// A planned stop must be recorded in the map with its stop time. A killed
/// agent must be removed from the map, even if the reply of the write is lost.
BOOST_FIXTURE_TEST_CASE(departures_reach_the_map, Fixture) {
  addFiveProcesses();
  runUntil(15s, [&] { return agreeOnMap(4); });
  ControlPlane &Leaving = *Processes_[3]->Control_;
  Leaving.beginLeaving();
  const auto Known = [&] {
    return all([](const Process &Each) {
      const Member *Seen = Each.Publisher_.current()->findMember("a4");
      return Seen != nullptr && Seen->State_ == MemberState::Leaving;
    });
  };
  runUntil(2s, Known);
  BOOST_TEST(Known());
  bool Left = false;
  Leaving.leave([&] { Left = true; });
  runUntil(2s, [&] { return Left; });
  BOOST_TEST(Left);
  Leaving.stop();
  Processes_.erase(Processes_.begin() + 3);
  runUntil(3s, [&] { return agreeOnMap(3); });
  BOOST_TEST(agreeOnMap(3));
  for (const version::MapAgent &Agent :
       Processes_.front()->Publisher_.current()->Map_->Agents_)
    BOOST_TEST((Agent.StoppedAtMs_ != 0) == (Agent.Id_ == "a4"));

  Store_.LoseReply_ = true;
  Processes_[2]->Control_->stop();
  Processes_.erase(Processes_.begin() + 2);
  const auto Time = runUntil(15s, [&] { return agreeOnMap(2); });
  BOOST_TEST(agreeOnMap(2));
  std::cout << "killed agent removed from the map after " << Time << " ms\n";
}
