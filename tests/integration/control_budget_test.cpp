/// \file
/// \brief Tests the resource budget of the control thread at the target size:
/// 620 members, a map of 620 agents and a configuration of 300 teams.
#include "standins/fake_fleet.h"
#include "standins/resource_usage.h"
#include "standins/target_size.h"

#include "wigeonwall/process/roles/control_plane.h"
#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <iostream>

using namespace wigeonwall;
using namespace wigeonwall::process;
using namespace std::chrono_literals;
using connection::StoreEntry;
using connection::StoreError;

namespace {

constexpr double MaxCpuRatio = 0.013;
constexpr std::size_t MaxMemoryBytes = 256UL * 1024 * 1024;
constexpr double MaxBytesPerSecond = 6'000;
constexpr std::chrono::seconds WarmUpTime{6};
constexpr std::chrono::seconds MeasurementTime{20};
/// Size of the HTTP headers of one request and its response.
constexpr std::size_t HeaderBytes = 300;

/// Key-value service with constant documents that rejects writes.
class ConstantStore : public connection::KeyValueStore {
public:
  ConstantStore(connection::asio::io_context &Context,
                std::map<std::string, std::string> Values)
      : Context_(Context), Values_(std::move(Values)) {}
  void read(const std::string &Key, ReadCallback Done) override {
    reply(Key, 2ms, std::move(Done));
  }
  void watch(const std::string &Key, std::uint64_t Index,
             std::chrono::milliseconds Wait, ReadCallback Done) override {
    reply(Key, Index == 1 ? Wait : 2ms, std::move(Done));
  }
  void compareAndSwap(const std::string &, std::string, std::uint64_t,
                      SwapCallback Done) override {
    ++Writes_;
    connection::asio::post(Context_, [Done = std::move(Done)] {
      Done(std::nullopt, {StoreError::NotSent, "constant", ""});
    });
  }

  std::atomic<std::size_t> Writes_ = 0;

private:
  void reply(const std::string &Key, std::chrono::milliseconds Delay,
             ReadCallback Done) {
    auto Timer =
        std::make_shared<connection::asio::steady_timer>(Context_, Delay);
    Timer->async_wait([this, Timer, Key, Done = std::move(Done)](auto Error) {
      if (!Error)
        Done(StoreEntry{Values_.at(Key), 1}, {});
    });
  }

  connection::asio::io_context &Context_;
  std::map<std::string, std::string> Values_;
};

Member ownMember() {
  // The lowest id of its failure domain, which makes it a watcher of the
  // key-value service.
  return {"a0",          Role::Agent, 1'790'000'000'000, "127.0.0.1:0",
          "127.0.0.1:1", "domain-0",  "permit-desk"};
}

version::AgentMap makeAgentMap(const standins::FakeFleet &Fleet) {
  std::vector<Member> Members{ownMember()};
  for (const MemberUpdate &Each : Fleet.members())
    Members.push_back(Each.Member_);
  return standins::makeMap(Members);
}

/// Returns the CPU time of the thread that runs \p Context.
double threadCpuSeconds(connection::asio::io_context &Context) {
  std::promise<double> Used;
  connection::asio::post(
      Context, [&Used] { Used.set_value(standins::threadCpuSeconds()); });
  return Used.get_future().get();
}

std::shared_ptr<const version::Config> decode(const Json::Value &Source) {
  std::vector<version::ConfigFault> Faults;
  auto Stored = version::decodeStoredConfig(Source, Faults);
  return Stored ? std::make_shared<const version::Config>(
                      std::move(Stored->Config_))
                : nullptr;
}

/// Runs a control plane on a separate thread.
class Process {
public:
  Process(std::map<std::string, std::string> Documents, std::string Seed)
      : Store_(Context_, std::move(Documents)),
        Control_({Context_,
                  Store_,
                  Publisher_,
                  [] { return std::chrono::steady_clock::now(); },
                  [] { return ownMember().Incarnation_ + 1'000; },
                  1,
                  decode,
                  {},
                  {},
                  [](const std::string &Line) { BOOST_ERROR(Line); }},
                 options(std::move(Seed))) {}
  ~Process() {
    connection::asio::post(Context_, [this] {
      Control_.stop();
      Context_.stop();
    });
    if (Thread_.joinable())
      Thread_.join();
  }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start() {
    BOOST_REQUIRE(Control_.start());
    Thread_ = std::thread([this] { Context_.run(); });
  }

  connection::asio::io_context Context_;
  ConstantStore Store_;
  ViewPublisher Publisher_;

private:
  static ControlPlaneOptions options(std::string Seed) {
    ControlPlaneOptions Options;
    Options.Own_ = ownMember();
    Options.Seeds_ = {std::move(Seed)};
    return Options;
  }

  ControlPlane Control_;
  std::thread Thread_;
};

} // namespace

/// Costs that grow with the number of members must stay within the budget per
/// node. The test measures a watcher, which costs the most.
BOOST_AUTO_TEST_CASE(control_thread_keeps_its_budget_at_620_members) {
  standins::FakeFleet Fleet(619, 10);
  BOOST_REQUIRE(Fleet.listen());
  const Json::Value Map = version::encodeMap(makeAgentMap(Fleet));
  const Json::Value Config =
      version::encodeStoredConfig({standins::makeConfig(300, 12), {{"e1", 1}}});
  Fleet.setDocuments({Config, Map, {1, 1}});
  Fleet.start();

  const std::size_t MemoryBefore = standins::residentBytes();
  Process Own({{ConfigKey, request::writeJson(Config)},
               {MapKey, request::writeJson(Map)}},
              Fleet.members()[0].Member_.ControlAddress_);
  Own.start();
  std::this_thread::sleep_for(WarmUpTime);
  const auto View = Own.Publisher_.current();
  BOOST_REQUIRE(View->ready());
  BOOST_TEST(View->Members_.size() == 620U);
  const double JoinCpu = threadCpuSeconds(Own.Context_);
  std::cout << "join: " << JoinCpu << " s CPU, " << Fleet.bytes()
            << " B of bodies\n";

  const std::size_t Bytes = Fleet.bytes();
  const std::size_t Exchanges = Fleet.exchanges();
  std::this_thread::sleep_for(MeasurementTime);
  const double Seconds = std::chrono::duration<double>(MeasurementTime).count();
  const double CpuRatio = (threadCpuSeconds(Own.Context_) - JoinCpu) / Seconds;
  const auto Exchanged = static_cast<double>(Fleet.exchanges() - Exchanges);
  const double Rate =
      (static_cast<double>(Fleet.bytes() - Bytes) + Exchanged * HeaderBytes) /
      Seconds;
  const std::size_t Memory = standins::residentBytes() - MemoryBefore;
  std::cout << "steady: " << CpuRatio * 100 << "% of a core, " << Rate
            << " B/s in " << Exchanged / Seconds << " exchanges/s, "
            << Memory / 1024 << " KB of memory\n";

  BOOST_TEST(Exchanged / Seconds > 3.0);
  BOOST_TEST(Fleet.failedProbes() == 0U);
  BOOST_TEST(Own.Store_.Writes_ == 0U);
  BOOST_TEST(CpuRatio < MaxCpuRatio);
  BOOST_TEST(Rate < MaxBytesPerSecond);
  BOOST_TEST(Memory < MaxMemoryBytes);
}
