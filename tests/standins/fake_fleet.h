/// \file
/// \brief Simulates many processes that answer and probe a control plane.
#ifndef WIGEONWALL_STANDINS_FAKE_FLEET_H
#define WIGEONWALL_STANDINS_FAKE_FLEET_H

#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/process/membership/membership_message.h"
#include "wigeonwall/version/agent_map.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace wigeonwall::standins {

/// \brief Members "f0".."fN", each on its own loopback address, on one thread.
///
/// Each member has its own server and client, so that the process under test
/// holds as many connections as in a real deployment. The members agree with
/// each other and with that process: digests are equal and nothing changes.
class FakeFleet {
public:
  /// Documents that `document.fetch` returns, with their versions.
  struct Documents {
    Json::Value Config_;
    Json::Value Map_;
    process::DocumentVersions Versions_;
  };

  FakeFleet(std::size_t Size, std::size_t Domains);
  ~FakeFleet();
  FakeFleet(const FakeFleet &) = delete;
  FakeFleet &operator=(const FakeFleet &) = delete;

  /// \brief Binds all servers; returns false if an address is in use.
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::vector<process::MemberUpdate> &members() const {
    return Members_;
  }
  /// \brief Sets the documents that the members serve; call before start().
  void setDocuments(Documents Documents) { Documents_ = std::move(Documents); }
  /// \brief Starts the thread. The members probe the process under test once it
  /// has joined.
  void start();

  /// \brief Size of all JSON bodies exchanged so far, in both directions.
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes_; }
  /// \brief Number of calls so far, in both directions.
  [[nodiscard]] std::size_t exchanges() const noexcept { return Exchanges_; }
  /// \brief Number of probes that the process under test did not answer.
  [[nodiscard]] std::size_t failedProbes() const noexcept { return Failed_; }

private:
  void addMethods(std::size_t Index);
  [[nodiscard]] process::MembershipMessage messageOf(std::size_t Index) const;
  [[nodiscard]] Json::Value reply(Json::Value Value);
  [[nodiscard]] Json::Value onMembership(std::size_t Index,
                                         const Json::Value &Params, bool Join);
  void probe(std::size_t Index);
  void probeLater(std::chrono::duration<double> Delay, bool Random);

  connection::asio::io_context Context_;
  std::vector<process::MemberUpdate> Members_;
  std::vector<std::unique_ptr<connection::RpcServer>> Servers_;
  std::vector<std::unique_ptr<connection::RpcClient>> Clients_;
  std::mt19937_64 Random_{1};
  Documents Documents_;
  /// Last state announced by the process under test; empty until it joins.
  std::optional<process::MemberUpdate> Joined_;
  /// Digest of the simulated members.
  std::uint32_t Digest_ = 0;
  std::atomic<std::size_t> Bytes_ = 0;
  std::atomic<std::size_t> Exchanges_ = 0;
  std::atomic<std::size_t> Failed_ = 0;
  std::thread Thread_;
};

} // namespace wigeonwall::standins

#endif
