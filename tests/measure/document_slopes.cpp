#include "sections.h"

#include "standins/resource_usage.h"
#include "standins/target_size.h"
#include "standins/virtual_time.h"

#include "wigeonwall/process/roles/control_plane.h"
#include "wigeonwall/request/codec.h"
#include "wigeonwall/request/placement.h"

#include <cstdio>

namespace wigeonwall::measure {

namespace {

/// Returns the mean CPU time of one call of \p Action in microseconds.
template <typename Task> double meanMicroseconds(unsigned Count, Task Action) {
  const double Start = standins::threadCpuSeconds();
  for (unsigned I = 0; I < Count; ++I)
    Action(I);
  return (standins::threadCpuSeconds() - Start) / Count * 1e6;
}

/// Key-value service whose value never changes: a watch ends when its wait time
/// expires.
class UnchangingStore : public connection::KeyValueStore {
public:
  explicit UnchangingStore(standins::VirtualTime &Time) : Time_(Time) {}
  void read(const std::string &, ReadCallback) override { ++Calls_; }
  void watch(const std::string &, std::uint64_t Index,
             std::chrono::milliseconds Wait, ReadCallback Done) override {
    ++Calls_;
    Time_.after(Index == 1 ? Wait : std::chrono::milliseconds(2),
                [Done = std::move(Done)] {
                  Done(connection::StoreEntry{"{}", 1}, {});
                });
  }
  void compareAndSwap(const std::string &, std::string, std::uint64_t,
                      SwapCallback) override {
    ++Calls_;
  }
  std::size_t Calls_ = 0;

private:
  standins::VirtualTime &Time_;
};

template <typename Encode, typename Decode>
void measureCodec(const char *What, Encode MakeJson, Decode ReadJson) {
  constexpr unsigned Count = 100;
  const std::string Text = request::writeJson(MakeJson());
  const double Write = meanMicroseconds(
      Count, [&](unsigned) { (void)request::writeJson(MakeJson()); });
  const double Read = meanMicroseconds(Count, [&](unsigned) {
    request::CodecFault Why;
    ReadJson(request::parseJson(Text, Why).value());
  });
  std::printf("%s: %zu B, write %.0f us, read %.0f us\n", What, Text.size(),
              Write, Read);
}

} // namespace

void placementTimes() {
  for (const unsigned Size : {11U, 100U, 620U}) {
    const auto Members = standins::makeMembers(Size);
    const auto Map = standins::makeMap(Members);
    std::size_t Found = 0;
    const double Holders = meanMicroseconds(5'000, [&](unsigned I) {
      Found += Map.holders({"permit-desk", std::to_string(I)}).Copy_ != nullptr;
    });
    std::set<std::string> Ids;
    for (const process::Member &Each : Members)
      Ids.insert(Each.Id_);
    for (const auto &[Policy, Name] : request::PlacementPolicyNames) {
      request::Placer Placer(
          request::makePlacementFunction(Policy),
          [] { return std::chrono::steady_clock::now(); }, 1);
      Placer.setAgents(Ids);
      for (const std::string &Id : Ids)
        Placer.report(Id, {});
      const auto Choose = [&](unsigned Tasks) {
        return meanMicroseconds(1'000, [&](unsigned) {
          for (const std::string &Id : Placer.choose(Tasks))
            Placer.withdraw(Id, 1);
        });
      };
      std::printf("%u agents: %.*s places 1 task in %.2f us, 170 in %.1f us\n",
                  Size, int(Name.size()), Name.data(), Choose(1), Choose(170));
    }
    std::printf("%u agents: holders() %.2f us (%zu found)\n", Size, Holders,
                Found);
  }
}

void documentCosts() {
  const auto Map = standins::makeMap(standins::makeMembers(620));
  measureCodec(
      "map of 620 agents", [&] { return version::encodeMap(Map); },
      [](const Json::Value &Value) {
        version::MapFault Why;
        (void)version::decodeMap(Value, Why).value();
      });
  const auto Config = standins::makeConfig(300, 12);
  measureCodec(
      "configuration of 300 teams",
      [&] {
        return version::encodeStoredConfig({Config, {{"e1", 1}}});
      },
      [](const Json::Value &Value) {
        std::vector<version::ConfigFault> Faults;
        (void)version::decodeStoredConfig(Value, Faults).value();
      });
  standins::VirtualTime Time;
  UnchangingStore Store(Time);
  process::DocumentWatcher Watcher(
      Store, Time.clock(), process::ControlPlaneOptions{}.WatchWait_,
      [](const std::string &, const Json::Value &) {});
  Watcher.setActive(true);
  for (unsigned I = 0; I < 36'000; ++I) {
    Watcher.tick();
    Time.advance(std::chrono::milliseconds(100));
  }
  std::printf("one watcher: %zu calls of the key-value service per hour\n",
              Store.Calls_);
}

} // namespace wigeonwall::measure
