#include "wigeonwall/request/wait_forecast.h"

#include <queue>

namespace wigeonwall::request {

namespace {

/// Wait reported for a run that never fits the minion.
constexpr Duration UnreachableWait = std::chrono::hours(1);

struct LaterEnd {
  bool operator()(const ExpectedEnd &Left,
                  const ExpectedEnd &Right) const noexcept {
    return Left.End_ > Right.End_;
  }
};

/// Simulates the CPU shares of one minion as its runs end.
class CpuSimulation {
public:
  CpuSimulation(const std::vector<ExpectedEnd> &Running, std::int64_t FreeCpu,
                TimePoint Now)
      : Ends_(LaterEnd{}, Running), FreeCpu_(FreeCpu), Now_(Now) {}

  /// Advances until \p Cpu is free; returns false if it never is.
  bool advanceUntilFree(std::int64_t Cpu) {
    while (FreeCpu_ < Cpu) {
      if (Ends_.empty())
        return false;
      Now_ = std::max(Now_, Ends_.top().End_);
      FreeCpu_ += Ends_.top().CpuMillicores_;
      Ends_.pop();
    }
    return true;
  }

  void start(std::int64_t Cpu, Duration Length) {
    if (!advanceUntilFree(Cpu))
      return;
    FreeCpu_ -= Cpu;
    Ends_.push({Now_ + Length, Cpu});
  }

  [[nodiscard]] TimePoint now() const noexcept { return Now_; }

private:
  std::priority_queue<ExpectedEnd, std::vector<ExpectedEnd>, LaterEnd> Ends_;
  std::int64_t FreeCpu_;
  TimePoint Now_;
};

} // namespace

Duration forecastWait(const std::vector<ExpectedEnd> &Running,
                      const RunQueue &Queue, std::int64_t FreeCpu,
                      std::int64_t Cpu, double Slowness, TimePoint Now,
                      Duration Slack) {
  CpuSimulation Simulation(Running, FreeCpu, Now);
  Queue.forEach([&](const WaitingRun &Waiting) {
    if (Waiting.LatestOnTimeStart_ >= Now &&
        Waiting.LatestOnTimeStart_ <= Now + Slack)
      Simulation.start(
          Waiting.Needs_.CpuMillicores_,
          std::chrono::duration_cast<Duration>(Waiting.Expected_ * Slowness));
  });
  return Simulation.advanceUntilFree(Cpu) ? Simulation.now() - Now
                                          : UnreachableWait;
}

std::array<Duration, SlackClasses.size()>
forecastWaits(const std::vector<ExpectedEnd> &Running, const RunQueue &Queue,
              std::int64_t FreeCpu, std::int64_t TypicalCpu, double Slowness,
              TimePoint Now) {
  std::array<Duration, SlackClasses.size()> Waits{};
  if (Queue.empty() && FreeCpu >= TypicalCpu)
    return Waits;
  for (std::size_t I = 0; I < Waits.size(); ++I)
    Waits[I] = forecastWait(Running, Queue, FreeCpu, TypicalCpu, Slowness, Now,
                            SlackClasses[I]);
  return Waits;
}

CapacityProfile forecastProfile(const std::vector<CapacityRelease> &Running,
                                const RunQueue &Queue, const Resources &Free,
                                double Slowness, TimePoint Now) {
  CapacityTimeline Timeline(Free, Running);
  Queue.forEach([&](const WaitingRun &Waiting) {
    // Late runs start after all others.
    if (Waiting.LatestOnTimeStart_ < Now)
      return;
    const auto Length =
        std::chrono::duration_cast<Duration>(Waiting.Expected_ * Slowness);
    if (const auto Start = Timeline.earliestStart(Waiting.Needs_, Length))
      Timeline.reserve(Waiting.Needs_, *Start, Length);
  });
  return Timeline.profile();
}

} // namespace wigeonwall::request
