/// \file
/// \brief All kinds of clients at once, each up to its limit: the processes
/// stay within the memory and the descriptors of a small machine.
#include "standins/untrusted_fixture.h"

using namespace std::chrono_literals;
using namespace wigeonwall::standins;

namespace {

constexpr std::chrono::milliseconds Turn{20};

std::string chunk(std::size_t Bytes) {
  std::ostringstream Out;
  Out << std::hex << Bytes << "\r\n" << std::string(Bytes, 'x') << "\r\n";
  return Out.str();
}

struct CrowdPlan {
  Listener Which_;
  std::size_t Clients_;
  CrowdScript Script_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_limits, UntrustedFixture)

// Each limit alone fits into the memory of the machine; so must their sum.
BOOST_AUTO_TEST_CASE(all_limits_at_once) {
  Cluster_.run([this] {
    Cluster_.minion(0).RunTimeOf_ = [](const std::string &Task) {
      return Task.starts_with(jobId(8, 0).substr(0, 8)) ? 5s : 100ms;
    };
    Cluster_.minion(0).Needs_ = {1, 1, 0};
  });
  CrowdScript Waiting{"", "x", 1 << 20};
  Waiting.HeadOf_ = [](std::size_t Client) {
    return wholeRequest("/q/" + jobId(8, static_cast<int>(Client)),
                        R"({"spec":")" + std::string(4'000, 's') +
                            R"(","best_effort":true,"steps":[{"count":1,)"
                            R"("cpu":1,"ram_mb":1,"estimated_ms":5000}]})");
  };
  const CrowdScript Unfinished{ChunkedHead, chunk(16'000), 980'000};
  const CrowdScript Trailers{ChunkedHead + "0\r\n", "a: b\r\n", 1 << 20};
  const CrowdScript Silent{"", "", 0};
  const CrowdPlan Plans[] = {
      {Listener::Callers, 120, Waiting},
      {Listener::Callers, 120, Unfinished},
      {Listener::Callers, 300, Silent},
      {Listener::Readiness, 80, Trailers},
      {Listener::EntryPeers,
       140,
       {"", "GET /config?after=0 HTTP/1.1\r\nHost: h.example\r\n\r\n",
        1 << 20}},
      {Listener::EntryMetrics,
       80,
       {"", "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n", 1 << 20}},
      {Listener::Reports, 80, Unfinished},
      {Listener::AgentPeers, 260, Silent},
      {Listener::AgentMetrics, 80, Trailers},
  };
  ChildProcess &Entry = Cluster_.entry(0);
  ChildProcess &Agent = Cluster_.agent(0);
  std::size_t EntrySockets = 0;
  std::size_t AgentSockets = 0;
  std::size_t Descriptors = 0;
  const auto SumOf = [this](bool AtEntry) {
    std::size_t Result = 0;
    for (const auto &[Which, Name] : ListenerNames)
      Result +=
          atEntry(Which) == AtEntry ? socketBytes(Cluster_.port(Which, 0)) : 0;
    return Result;
  };
  {
    std::vector<std::unique_ptr<ClientCrowd>> Crowds;
    for (const CrowdPlan &Each : Plans)
      Crowds.push_back(std::make_unique<ClientCrowd>(
          Cluster_.port(Each.Which_, 0), Each.Clients_, Each.Script_));
    const auto End = std::chrono::steady_clock::now() + SendTime;
    while (std::chrono::steady_clock::now() < End) {
      for (const auto &Each : Crowds)
        Each->run(Turn, 0ms, [] {});
      EntrySockets = std::max(EntrySockets, SumOf(true));
      AgentSockets = std::max(AgentSockets, SumOf(false));
      for (const ChildProcess *Each : {&Entry, &Agent})
        Descriptors = std::max(Descriptors, openDescriptors(Each->id()));
    }
    BOOST_TEST(Entry.running());
    BOOST_TEST(Agent.running());
    BOOST_TEST(serves());
  }
  BOOST_TEST_MESSAGE("entry_bytes=" << peakResidentBytes(Entry.id())
                                    << " entry_socket_bytes=" << EntrySockets
                                    << " agent_bytes="
                                    << peakResidentBytes(Agent.id())
                                    << " agent_socket_bytes=" << AgentSockets
                                    << " descriptors=" << Descriptors);
  BOOST_TEST(peakResidentBytes(Entry.id()) + EntrySockets < MaxResidentBytes);
  BOOST_TEST(peakResidentBytes(Agent.id()) + AgentSockets < MaxResidentBytes);
  BOOST_TEST(Descriptors < MaxDescriptors);
}

BOOST_AUTO_TEST_SUITE_END()
