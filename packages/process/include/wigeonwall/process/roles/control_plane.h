/// \file
/// \brief Connects membership, configuration and map of a process to the
/// network.
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

/// \brief Objects and callbacks that a ControlPlane uses.
struct ControlPlaneDependencies {
  /// Run by the control thread only.
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
  /// Called when a newer incarnation of the same id is running and this process
  /// must stop; may be empty.
  std::function<void()> Superseded_;
  /// Writes one line to the log; may be empty.
  std::function<void(const std::string &Line)> Report_;
};

/// \brief Addresses, seeds and intervals of a ControlPlane.
struct ControlPlaneOptions {
  /// The local member. Other processes connect to its ControlAddress_. Without
  /// Listen_ this address is bound too, and port 0 is replaced by the port
  /// in use.
  Member Own_;
  /// Bound instead of ControlAddress_ if the announced address differs.
  std::optional<connection::Endpoint> Listen_;
  /// Control addresses of other processes, of this one, or of a load balancer.
  std::vector<std::string> Seeds_;
  MembershipOptions Membership_;
  MapMaintainerOptions Map_;
  std::chrono::milliseconds TickPeriod_{100};
  std::chrono::milliseconds CallTimeout_{1'000};
  /// Maximum duration of one blocking query on the key-value service.
  std::chrono::milliseconds WatchWait_{30'000};
  /// Interval between joins while no other process is known.
  std::chrono::milliseconds JoinPeriod_{1'000};
  /// Delay after a join that reached this process itself.
  std::chrono::milliseconds SelfJoinPeriod_{200};
  /// Interval between probes of a seed, which merge groups that formed
  /// separately; JoinPeriod_ applies in the first 10 s.
  std::chrono::milliseconds SeedProbePeriod_{10'000};
};

/// \brief Owns all control state of a process and publishes it as cluster
/// views.
///
/// All functions must be called on the thread that runs the context.
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

  /// \brief Binds the control address and joins the cluster. Returns false if
  /// the address is in use or malformed.
  [[nodiscard]] bool start();
  /// \brief Returns the local member, with the port in use after start().
  [[nodiscard]] const Member &own() const noexcept;
  /// \brief Announces a planned stop, so that other processes send no new work
  /// and the map assigns other homes. Call when this process no longer accepts
  /// jobs.
  void beginLeaving();
  /// \brief Announces that this process has left and tries to remove it from
  /// the map. Call when it is drained.
  void leave(std::function<void()> Done);
  /// \brief Closes the control port and cancels all timers.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace wigeonwall::process

#endif
