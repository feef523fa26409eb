/// \file
/// \brief A run of the real programs with random faults from one seed.
#ifndef WIGEONWALL_SOAK_SOAK_RUN_H
#define WIGEONWALL_SOAK_SOAK_RUN_H

#include "invariant_checker.h"

#include <atomic>
#include <random>

namespace wigeonwall::soak {

/// Time from SIGTERM to the end of a process; `grace_period_s` in
/// PlatformCluster.
inline constexpr Time GracePeriod{3'500};

struct SoakResult {
  std::vector<std::string> Violations_;
  std::vector<Fault> Plan_;
  std::string Summary_;
};

/// \brief Generates load, injects faults and checks what callers and minions
/// observe.
class SoakRun {
public:
  explicit SoakRun(const SoakOptions &Options);

  [[nodiscard]] SoakResult run();

private:
  using Clock = std::chrono::steady_clock;
  struct ScheduledAction {
    Time StartsAt_;
    std::function<void()> Action_;
  };

  [[nodiscard]] Time now() const;
  void start();
  void observeMinions();
  /// Starts a fault and schedules its end.
  void inject(const Fault &Injected);
  void injectProcessFault(const Fault &Injected);
  void injectHopFault(const Fault &Injected);
  void injectStoreFault(const Fault &Injected);
  void injectMinionFault(const Fault &Injected);
  void schedule(Time Delay, std::function<void()> Action);
  void runDueActions();
  /// Measures LongestLoopGap_ from \p LastTurn on.
  void measureLoopGap(Time LastTurn);
  void submitNext();
  void submit(const std::string &Id, std::size_t Entry, bool DisconnectsEarly);
  void onAnswer(const std::string &Id, std::size_t Attempt,
                const connection::HttpResult &Result);
  /// Cancels a job until an entry acknowledges it.
  void cancel(const std::string &Id, std::size_t Entry, int TriesLeft);
  void publishNextVersion();
  /// Checks that an entry applies the configuration \p Version.
  void checkVersion(std::size_t Entry, int Version, Time WrittenAt);
  /// Reports processes that ended without a fault, and restarts them.
  void checkProcesses();
  void checkMinions();

  SoakOptions Options_;
  std::mt19937 Random_;
  standins::PlatformCluster Cluster_;
  std::vector<Fault> Plan_;
  InvariantChecker Checker_;
  /// Longest time between two turns of the loop that generates the load, and of
  /// the event loop of callers, minions, store and relays. A long one shows
  /// that the machine has not run that thread.
  Time LongestGap_{0};
  Time LongestLoopGap_{0};
  Clock::time_point StartedAt_;
  /// Numbers of active faults by process (whether it is an entry, and its
  /// index); faults may overlap.
  std::map<std::pair<bool, std::size_t>, int> DownCounts_;
  std::map<std::pair<bool, std::size_t>, int> PauseCounts_;
  std::vector<ScheduledAction> ScheduledActions_;
  int LastJobNumber_ = 0;
  int Version_ = 1;
  /// Jobs without a final answer; decremented on the event loop.
  std::atomic<int> OpenJobs_ = 0;
};

} // namespace wigeonwall::soak

#endif
