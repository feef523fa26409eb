/// \file
/// \brief Base of the entry and agent processes of the batch dispatcher: event
/// loops, store, metrics, signals and planned stop.
#ifndef WIGEONWALL_PROCESS_ROLES_DISPATCH_PROCESS_H
#define WIGEONWALL_PROCESS_ROLES_DISPATCH_PROCESS_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/connection/lease_store.h"
#include "wigeonwall/process/dispatch/dispatch_settings.h"
#include "wigeonwall/process/dispatch/input_limits.h"
#include "wigeonwall/process/dispatch/prefix_follower.h"
#include "wigeonwall/process/dispatch/registration.h"
#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/process/observation/log.h"
#include "wigeonwall/process/roles/process_host.h"
#include "wigeonwall/process/runtime/event_loop.h"

namespace wigeonwall::process {

/// \brief Creates a store client that runs on the given event loop.
using MakeLeaseStore = std::function<std::unique_ptr<connection::LeaseStore>(
    connection::asio::io_context &)>;

/// \brief Runs the control state on the calling thread and the traffic on a
/// second thread.
class DispatchProcess {
public:
  /// \p SettingsFile is validated again on SIGHUP.
  DispatchProcess(dispatch::DispatchSettings Options, std::string SettingsFile,
                  const MakeLeaseStore &MakeStore);
  virtual ~DispatchProcess() = default;
  DispatchProcess(const DispatchProcess &) = delete;
  DispatchProcess &operator=(const DispatchProcess &) = delete;

  [[nodiscard]] ExitCode run();

protected:
  /// \brief Opens the listeners. Called on the control thread before the
  /// traffic thread starts.
  virtual bool start() = 0;
  /// \brief Begins the planned stop. Called on the traffic thread.
  virtual void beginStop() = 0;
  /// \brief Returns true if no work is left. Called on the traffic thread.
  virtual bool drained() = 0;

  [[nodiscard]] connection::asio::io_context &control() noexcept {
    return Control_;
  }
  [[nodiscard]] connection::asio::io_context &traffic() noexcept {
    return Traffic_.context();
  }
  /// \brief Registers the address of this process in the store and keeps it
  /// registered.
  void registerSelf(const std::string &KeyPrefix);
  /// \brief Follows the keys under a prefix of the store. \p OnStore is called
  /// when the store becomes unreachable for this watch, and when it is
  /// reachable again.
  std::shared_ptr<dispatch::PrefixFollower>
  follow(const dispatch::PrefixFollowerOptions &Options,
         std::function<void(const dispatch::PrefixFollower::Values &Values,
                            std::uint64_t Revision)>
             Apply,
         std::function<void(bool Lost)> OnStore);
  /// \brief Returns how long a planned stop may wait for remaining work.
  [[nodiscard]] std::chrono::milliseconds drainTimeout() const;
  /// \brief Removes the address of this process from the store before the
  /// process has drained; otherwise it is removed afterwards.
  void withdrawSelf();
  /// \brief Returns true if the deployment evacuates failure domains.
  [[nodiscard]] bool evacuationsEnabled() const noexcept {
    return Options_.EvacuationBound_ > std::chrono::milliseconds::zero();
  }
  /// \brief Maximum wait of a watch of the evacuated failure domains.
  [[nodiscard]] std::chrono::milliseconds evacuationWatchWait() const;
  void postToTraffic(std::function<void()> Task) {
    Traffic_.post(std::move(Task));
  }

  dispatch::DispatchSettings Options_;
  Counters Counters_;
  dispatch::InputLimits InputLimits_;

private:
  void awaitSignal();
  void checkSettingsFile();
  void stop(int Signal);
  void checkDrained();
  void beginWithdrawal();

  std::string SettingsFile_;
  // Declared first, because the event loops must outlive their users.
  connection::asio::io_context Control_{1};
  EventLoop Traffic_{logHandlerError};
  connection::asio::signal_set Signals_;
  connection::HttpServer Metrics_;
  ExitCode ExitCode_ = ExitCode::Done;
  bool Stopping_ = false;
  bool Withdrawing_ = false;
  /// The withdrawal has completed or failed.
  bool Withdrawn_ = false;
  request::TimePoint StopDeadline_;

protected:
  std::unique_ptr<connection::LeaseStore> Store_;

private:
  std::shared_ptr<dispatch::Registration> Registration_;
  std::vector<std::shared_ptr<dispatch::PrefixFollower>> Followers_;
};

} // namespace wigeonwall::process

#endif
