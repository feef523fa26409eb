#include "sections.h"

#include "standins/membership_simulation.h"
#include "standins/resource_usage.h"

#include <cstdio>

namespace wigeonwall::measure {

using standins::MembershipSimulation;

void membershipCosts() {
  constexpr unsigned Seconds = 20;
  for (const unsigned Size : {50U, 150U, 310U, 620U}) {
    MembershipSimulation Simulation(
        Size, MembershipSimulation::StartMode::FullList, 1);
    Simulation.run(std::chrono::seconds(5));
    const std::size_t Exchanges = Simulation.exchanges();
    const double Cpu = standins::threadCpuSeconds();
    Simulation.run(std::chrono::seconds(Seconds));
    const double PerMember =
        (standins::threadCpuSeconds() - Cpu) / Seconds / Size;
    const auto Rates = Simulation.rates(5, 5 + Seconds);
    std::printf("%u members: mean %.0f B/s, highest %.0f B/s, %.2f exchanges "
                "started/s, %.0f us CPU/s per member (JSON and state machine, "
                "no HTTP)\n",
                Size, Rates.Mean_, Rates.Max_,
                double(Simulation.exchanges() - Exchanges) / Seconds / Size,
                PerMember * 1e6);
  }
}

void simultaneousStart() {
  constexpr unsigned MaxSeconds = 90;
  for (const unsigned Size : {150U, 620U}) {
    MembershipSimulation Simulation(
        Size, MembershipSimulation::StartMode::SimultaneousJoin, 1);
    unsigned Complete = 0;
    for (unsigned Second = 1; Second <= MaxSeconds; ++Second) {
      Simulation.run(std::chrono::seconds(1));
      if (Complete == 0 && Simulation.converged())
        Complete = Second;
    }
    const auto First = Simulation.rates(0, 10);
    std::printf("%u start at once: first 10 s mean %.0f B/s, highest %.0f B/s; "
                "highest over any 10 s of %u s %.0f B/s; complete after %u s "
                "(0: not within the time)\n",
                Size, First.Mean_, First.Max_, MaxSeconds,
                Simulation.peakRate(10), Complete);
  }
}

} // namespace wigeonwall::measure
