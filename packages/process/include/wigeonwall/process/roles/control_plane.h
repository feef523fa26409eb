/// \file
/// \brief Membership, configuration and map of one process, over the network.
#ifndef WIGEONWALL_PROCESS_ROLES_CONTROL_PLANE_H
#define WIGEONWALL_PROCESS_ROLES_CONTROL_PLANE_H

#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/process/configuration/document_replicator.h"
#include "wigeonwall/process/configuration/document_watcher.h"
#include "wigeonwall/process/configuration/map_maintainer.h"
#include "wigeonwall/process/membership/membership.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwall::process {

struct ControlPlaneDependencies {
  /// Run by the control thread alone.
  connection::asio::io_context &Context_;
  connection::KeyValueStore &Store_;
  ViewPublisher &Publisher_;
  request::Clock Clock_;
  /// Unix time in ms.
  std::function<std::int64_t()> WallClockMs_;
  std::uint64_t RandomSeed_ = 0;
  ConfigDecoder DecodeConfig_;
  /// Counts control messages; may be empty.
  connection::RpcObserver Observer_;
  /// A newer incarnation of the own id runs, and this process must stop; may
  /// be empty.
  std::function<void()> Superseded_;
  /// Takes one line for the log; may be empty.
  std::function<void(const std::string &Line)> Report_;
};

struct ControlPlaneOptions {
  /// ControlAddress_ is what others use. Without Listen_ it is bound, and a
  /// port of 0 is replaced by the one in use.
  Member Own_;
  /// Bound instead of ControlAddress_ when others use another address.
  std::optional<connection::Endpoint> Listen_;
  /// Control addresses of any processes, of this one, or of a balancer.
  std::vector<std::string> Seeds_;
  MembershipOptions Membership_;
  MapMaintainerOptions Map_;
  std::chrono::milliseconds TickPeriod_{100};
  std::chrono::milliseconds CallTimeout_{1'000};
  /// Longest wait of one blocking query on the key-value service.
  std::chrono::milliseconds WatchWait_{30'000};
  /// Between joins while no other process is known.
  std::chrono::milliseconds JoinPeriod_{1'000};
  /// After a join that reached this process itself.
  std::chrono::milliseconds SelfJoinPeriod_{200};
  /// Between probes of a seed, which merge groups that formed apart; every
  /// JoinPeriod_ in the first 10 s.
  std::chrono::milliseconds SeedProbePeriod_{10'000};
};

/// \brief Owns all control state of a process and publishes it.
///
/// All functions are called on the thread that runs the context.
/// \code
/// ControlPlane Control(Dependencies, Options);
/// if (!Control.start())
///   return reportAddressTaken();
/// // on a planned stop:
/// Control.beginLeaving();
/// // when drained:
/// Control.leave([&] { Control.stop(); });
/// \endcode
class ControlPlane {
public:
  ControlPlane(ControlPlaneDependencies Dependencies,
               ControlPlaneOptions Options);
  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  /// \brief Binds the control address and joins; false when it is taken or
  /// malformed.
  [[nodiscard]] bool start();
  /// \brief The own member, with the port in use after start().
  [[nodiscard]] const Member &own() const noexcept;
  /// \brief Tells the others of a planned stop; they send no new work, and the
  /// map names other homes. Call when this process accepts no job any more.
  void beginLeaving();
  /// \brief States that this process has left and, best effort, removes it
  /// from the map; call when it is drained.
  void leave(std::function<void()> Done);
  /// \brief Closes the control address and ends all timers.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace wigeonwall::process

#endif
