/// \file
/// \brief The system on the platform: its programs as separate processes on
/// loopback, a store and minions, and a relay on every hop between them.
#ifndef WIGEONWALL_STANDINS_PLATFORM_CLUSTER_H
#define WIGEONWALL_STANDINS_PLATFORM_CLUSTER_H

#include "standins/child_process.h"
#include "standins/delay_relay.h"
#include "standins/platform_minion_server.h"
#include "standins/platform_store_server.h"
#include "standins/temporary_directory.h"
#include "wigeonwall/process/runtime/event_loop.h"
#include "wigeonwall/request/enum_names.h"

#include <future>

namespace wigeonwall::standins {

struct PlatformClusterOptions {
  std::size_t Entries_ = 1;
  std::size_t Agents_ = 3;
  /// First of the 960 ports that a cluster may take.
  std::uint16_t FirstPort_ = 30'000;
  /// Directory that keeps the processes' output; empty for none.
  std::string LogDirectory_;
};

/// \brief Connections that pass a relay.
enum class Hop : std::uint8_t {
  CallerToEntry,
  EntryToStore,
  EntryToAgent,
  AgentToStore,
  AgentToMinion,
  MinionToAgent,
};

inline constexpr std::array<request::EnumName<Hop>, 6> HopNames{{
    {Hop::CallerToEntry, "caller_to_entry"},
    {Hop::EntryToStore, "entry_to_store"},
    {Hop::EntryToAgent, "entry_to_agent"},
    {Hop::AgentToStore, "agent_to_store"},
    {Hop::AgentToMinion, "agent_to_minion"},
    {Hop::MinionToAgent, "minion_to_agent"},
}};

/// \brief Id of the job \p Number of a run.
[[nodiscard]] std::string jobId(std::uint32_t Run, int Number);

/// \brief A job as callers submit it.
struct CallerJob {
  std::string Id_;
  int Tasks_ = 1;
  std::chrono::milliseconds Deadline_{4'000};
  /// Time after which the caller closes its connection.
  std::chrono::milliseconds Patience_{6'000};
};

/// \brief Starts and ends the processes; every wait is bounded.
///
/// Store, minions and relays run on one loop: touch them by run() only.
class PlatformCluster {
public:
  explicit PlatformCluster(PlatformClusterOptions Options);
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  void startEntry(std::size_t Index);
  void startAgent(std::size_t Index);
  [[nodiscard]] ChildProcess &entry(std::size_t Index) {
    return *Entries_.at(Index);
  }
  [[nodiscard]] ChildProcess &agent(std::size_t Index) {
    return *Agents_.at(Index);
  }

  /// \brief Runs \p Task on the loop and waits for it.
  void run(const std::function<void()> &Task) { Loop_.run(Task); }
  void post(std::function<void()> Task) { Loop_.post(std::move(Task)); }
  void after(std::chrono::milliseconds Delay, std::function<void()> Task) {
    process::makeSchedule(Loop_.context())(Delay, std::move(Task));
  }
  [[nodiscard]] PlatformStoreServer &store() noexcept { return Store_; }
  [[nodiscard]] PlatformMinionServer &server(std::size_t Index) {
    return *Minions_.at(Index);
  }
  [[nodiscard]] FakeRunMinion &minion(std::size_t Index) {
    return server(Index).minion();
  }
  /// \brief Relay of the process that calls, or that is called by callers.
  [[nodiscard]] DelayRelay &relay(Hop Which, std::size_t Index) {
    return *Relays_.at({Which, Index});
  }

  /// \brief Writes a configuration with one queue at \p Prefix, and one more
  /// at "/v/VERSION/".
  void configure(int Version, const std::string &Prefix = "/q/");
  void send(std::size_t Entry, const std::string &Method,
            const std::string &Target, const std::string &Body,
            std::chrono::milliseconds Deadline,
            std::chrono::milliseconds Patience, connection::HttpCallback Done);
  void submit(std::size_t Entry, const CallerJob &Job,
              connection::HttpCallback Done);
  /// \brief Sends and waits; status of the answer, 0 without one.
  int ask(std::size_t Entry, const std::string &Method,
          const std::string &Target, const std::string &Body = "");
  /// \brief True once all entries say that they are ready.
  [[nodiscard]] bool waitReady(std::chrono::milliseconds Most);

  /// \brief Status of an answer; 0 without one.
  [[nodiscard]] static int statusOf(const connection::HttpResult &Result);

private:
  [[nodiscard]] connection::Endpoint endpoint(int Kind,
                                              std::size_t Index) const;
  [[nodiscard]] std::string address(int Kind, std::size_t Index) const;
  void addRelay(Hop Which, std::size_t Index, int Kind,
                const connection::Endpoint &Target);
  [[nodiscard]] std::unique_ptr<ChildProcess>
  launch(const std::string &Name, const std::string &Settings);

  PlatformClusterOptions Options_;
  TemporaryDirectory Directory_;
  std::string LogsIn_;
  process::EventLoop Loop_;
  PlatformStoreServer Store_;
  std::vector<std::unique_ptr<PlatformMinionServer>> Minions_;
  std::map<std::pair<Hop, std::size_t>, std::unique_ptr<DelayRelay>> Relays_;
  connection::HttpClient Client_;
  std::vector<std::unique_ptr<ChildProcess>> Entries_;
  std::vector<std::unique_ptr<ChildProcess>> Agents_;
};

} // namespace wigeonwall::standins

#endif
