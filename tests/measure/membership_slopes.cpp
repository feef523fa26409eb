#include "sections.h"

#include "standins/resource_usage.h"
#include "standins/virtual_fleet.h"

#include <cstdio>

namespace wigeonwall::measure {

using standins::VirtualFleet;

void membershipCosts() {
  constexpr unsigned Seconds = 20;
  for (const unsigned Size : {50U, 150U, 310U, 620U}) {
    VirtualFleet Fleet(Size, VirtualFleet::Start::Known, 1);
    Fleet.run(std::chrono::seconds(5));
    const std::size_t Exchanges = Fleet.exchanges();
    const double Cpu = standins::threadCpuSeconds();
    Fleet.run(std::chrono::seconds(Seconds));
    const double PerMember =
        (standins::threadCpuSeconds() - Cpu) / Seconds / Size;
    const auto Rates = Fleet.rates(5, 5 + Seconds);
    std::printf("%u members: mean %.0f B/s, highest %.0f B/s, %.2f exchanges "
                "started/s, %.0f us CPU/s per member (JSON and state machine, "
                "no HTTP)\n",
                Size, Rates.Mean_, Rates.Highest_,
                double(Fleet.exchanges() - Exchanges) / Seconds / Size,
                PerMember * 1e6);
  }
}

void simultaneousStart() {
  constexpr unsigned MaxSeconds = 90;
  for (const unsigned Size : {150U, 620U}) {
    VirtualFleet Fleet(Size, VirtualFleet::Start::AtOnce, 1);
    unsigned Complete = 0;
    for (unsigned Second = 1; Second <= MaxSeconds; ++Second) {
      Fleet.run(std::chrono::seconds(1));
      if (Complete == 0 && Fleet.complete())
        Complete = Second;
    }
    const auto First = Fleet.rates(0, 10);
    std::printf("%u start at once: first 10 s mean %.0f B/s, highest %.0f B/s; "
                "highest over any 10 s of %u s %.0f B/s; complete after %u s "
                "(0: not within the time)\n",
                Size, First.Mean_, First.Highest_, MaxSeconds,
                Fleet.highestOver(10), Complete);
  }
}

} // namespace wigeonwall::measure
