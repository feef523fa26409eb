/// \file
/// \brief One entry and one agent with lowered input limits, and checks of
/// their memory and descriptors while a crowd of clients is connected.
#ifndef WIGEONWALL_STANDINS_UNTRUSTED_FIXTURE_H
#define WIGEONWALL_STANDINS_UNTRUSTED_FIXTURE_H

#include "standins/client_crowd.h"
#include "standins/platform_cluster.h"
#include "standins/resource_usage.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <thread>

namespace wigeonwall::standins {

struct UntrustedFixture {
  /// The processes use 10 MB when idle. The share of unfinished requests is
  /// 12 MB with `memory_mb = 48`.
  static constexpr std::size_t MaxResidentBytes = 48'000'000;
  /// Of 1,024 descriptors 200 are reserved for files.
  static constexpr std::size_t MaxDescriptors = 824;
  /// Below the read timeout of 5 s, after which servers close slow senders.
  static constexpr std::chrono::milliseconds SendTime{4'000};
  /// The server may read what the clients have sent for some time after they
  /// are done.
  static constexpr std::chrono::milliseconds Pause{1'500};

  UntrustedFixture() : Cluster_(options()) {
    Cluster_.configure(1);
    Cluster_.startAgent(0);
    Cluster_.startEntry(0);
    BOOST_REQUIRE(Cluster_.waitReady(std::chrono::seconds(5)));
    BOOST_REQUIRE(serves());
  }

  /// WIGEONWALL_TEST_WITHOUT_LIMITS leaves the keys of the limits out, for
  /// builds that do not have them.
  static PlatformClusterOptions options() {
    PlatformClusterOptions Result;
    Result.Agents_ = 1;
    if (std::getenv("WIGEONWALL_TEST_WITHOUT_LIMITS") == nullptr)
      Result.ProcessSettings_ = "memory_mb = 48\nfile_descriptors = 1024\n";
    return Result;
  }

  static bool atEntry(Listener Which) {
    return Which == Listener::Callers || Which == Listener::Readiness ||
           Which == Listener::EntryPeers || Which == Listener::EntryMetrics;
  }

  /// Returns whether a job is completed within some attempts; a refusal of a
  /// single job is no failure.
  bool serves() {
    for (int I = 0; I < 100; ++I) {
      CallerJob Job;
      Job.Id_ = jobId(7, ++NextJob_);
      auto Result = std::make_shared<std::promise<int>>();
      Cluster_.submit(0, Job, [Result](const auto &Reply) {
        Result->set_value(PlatformCluster::statusOf(Reply));
      });
      if (Result->get_future().get() == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  /// Runs the crowd and checks the process that it connects to; all clients
  /// stay open while the last request is sent.
  void check(Listener Which, std::size_t Clients, const CrowdScript &Script) {
    ChildProcess &Process =
        atEntry(Which) ? Cluster_.entry(0) : Cluster_.agent(0);
    std::size_t PeakBytes = 0;
    std::size_t PeakDescriptors = 0;
    {
      ClientCrowd Crowd(Cluster_.port(Which, 0), Clients, Script);
      Crowd.run(SendTime, Pause, [&] {
        PeakBytes = std::max(PeakBytes, residentBytes(Process.id()));
        PeakDescriptors =
            std::max(PeakDescriptors, openDescriptors(Process.id()));
      });
      BOOST_TEST(Process.running());
      BOOST_TEST(serves());
    }
    std::this_thread::sleep_for(Pause);
    BOOST_TEST_MESSAGE("listener="
                       << request::findName(ListenerNames, Which)
                       << " clients=" << Clients << " peak_bytes=" << PeakBytes
                       << " peak_descriptors=" << PeakDescriptors
                       << " bytes_afterwards=" << residentBytes(Process.id()));
    BOOST_TEST(PeakBytes < MaxResidentBytes);
    BOOST_TEST(PeakDescriptors < MaxDescriptors);
  }

  /// Like check(), but the bound is on the peak of the process, and includes
  /// what the kernel holds for connections of the listener.
  void checkWithSockets(Listener Which, std::size_t Clients,
                        const CrowdScript &Script) {
    ChildProcess &Process =
        atEntry(Which) ? Cluster_.entry(0) : Cluster_.agent(0);
    std::size_t PeakSocketBytes = 0;
    std::size_t PeakDescriptors = 0;
    {
      ClientCrowd Crowd(Cluster_.port(Which, 0), Clients, Script);
      Crowd.run(SendTime, Pause, [&] {
        PeakSocketBytes =
            std::max(PeakSocketBytes, socketBytes(Cluster_.port(Which, 0)));
        PeakDescriptors =
            std::max(PeakDescriptors, openDescriptors(Process.id()));
      });
      BOOST_TEST(Process.running());
      BOOST_TEST(serves());
    }
    std::this_thread::sleep_for(Pause);
    const std::size_t PeakBytes = peakResidentBytes(Process.id());
    BOOST_TEST_MESSAGE("listener="
                       << request::findName(ListenerNames, Which)
                       << " clients=" << Clients << " peak_bytes=" << PeakBytes
                       << " peak_socket_bytes=" << PeakSocketBytes
                       << " peak_descriptors=" << PeakDescriptors
                       << " bytes_afterwards=" << residentBytes(Process.id()));
    BOOST_TEST(PeakBytes + PeakSocketBytes < MaxResidentBytes);
    BOOST_TEST(PeakDescriptors < MaxDescriptors);
  }

  PlatformCluster Cluster_;
  int NextJob_ = 0;
};

/// \brief A request of a caller with a whole body of known length.
inline std::string wholeRequest(const std::string &Target,
                                const std::string &Body) {
  return "POST " + Target + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// \brief Repeats \p Piece while the result is at most \p Bytes long.
inline std::string repeatText(const std::string &Piece, std::size_t Bytes) {
  std::string Result;
  while (Result.size() + Piece.size() <= Bytes)
    Result += Piece;
  return Result;
}

inline const std::string ChunkedHead =
    "POST /q/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n"
    "\r\n";

} // namespace wigeonwall::standins

#endif
