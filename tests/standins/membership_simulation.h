/// \file
/// \brief Simulation of the membership protocol in virtual time, for
/// measurements.
#ifndef WIGEONWALL_STANDINS_MEMBERSHIP_SIMULATION_H
#define WIGEONWALL_STANDINS_MEMBERSHIP_SIMULATION_H

#include "standins/virtual_time.h"

#include "wigeonwall/process/membership/membership.h"
#include "wigeonwall/process/membership/seed_joiner.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwall::standins {

/// \brief Processes that probe each other. Every message is encoded and decoded
/// as JSON, and its size counts at the sender and at the receiver.
class MembershipSimulation {
public:
  /// How the processes discover each other.
  enum class StartMode : std::uint8_t {
    /// Each process starts with the full member list.
    FullList,
    /// All processes join at the same time through a load balancer that selects
    /// one of them at random.
    SimultaneousJoin,
  };

  MembershipSimulation(unsigned Size, StartMode Mode, std::uint64_t Seed);

  void run(request::Duration Time);
  /// \brief Whether every process lists all others as alive.
  [[nodiscard]] bool converged() const;

  /// \brief Bytes per second that a process sends and receives: mean and
  /// maximum over all processes.
  struct Rates {
    double Mean_ = 0;
    double Max_ = 0;
  };
  /// \brief Rates from second \p From to second \p To after the start.
  [[nodiscard]] Rates rates(std::size_t From, std::size_t To) const;
  /// \brief Maximum rate of any process over any \p Seconds consecutive
  /// seconds.
  [[nodiscard]] double peakRate(std::size_t Seconds) const;
  [[nodiscard]] std::size_t exchanges() const noexcept { return Exchanges_; }

private:
  struct Node {
    std::unique_ptr<process::Membership> Members_;
    std::unique_ptr<process::SeedJoiner> Seeds_;
    /// Bytes sent and received in each second since the start.
    std::vector<double> BytesPerSecond_;
  };
  using Handler = process::MembershipMessage (process::Membership::*)(
      const process::MembershipMessage &);
  using Reply = std::function<void(const process::MembershipMessage &)>;

  void add(const process::Member &Own, StartMode Mode, std::uint64_t Seed);
  [[nodiscard]] process::MembershipHooks hooks(std::size_t Index);
  void tick(std::size_t Index);
  /// Follows ControlPlane, which sends to a seed address without knowing which
  /// process answers.
  void contactSeed(std::size_t Index);
  void send(std::size_t From, std::size_t To, Handler Handle,
            const process::MembershipMessage &Message, Reply Done);
  void sendTo(std::size_t From, const process::Member &To, Handler Handle,
              const process::MembershipMessage &Message);
  void addBytes(std::size_t A, std::size_t B, std::size_t Bytes);

  VirtualTime Time_;
  request::TimePoint StartedAt_ = Time_.now();
  std::mt19937_64 Random_;
  std::vector<Node> Nodes_;
  std::map<std::string, std::size_t> IndexByAddress_;
  std::size_t Exchanges_ = 0;
};

} // namespace wigeonwall::standins

#endif
