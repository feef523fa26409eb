/// \file
/// \brief Keeps a key of this process registered in the store under a lease.
#ifndef WIGEONWALL_PROCESS_DISPATCH_REGISTRATION_H
#define WIGEONWALL_PROCESS_DISPATCH_REGISTRATION_H

#include "wigeonwall/connection/lease_store.h"
#include "wigeonwall/process/runtime/peer_call.h"

#include <functional>
#include <memory>
#include <string>

namespace wigeonwall::process::dispatch {

struct RegistrationOptions {
  std::string Key_;
  std::string Value_;
  /// Long enough for the key to survive short outages.
  std::chrono::milliseconds TimeToLive_{6'000};
  /// A key whose lease expired during an outage has to be registered again
  /// within 2 s of its end.
  std::chrono::milliseconds RenewPeriod_{1'000};
  std::chrono::milliseconds RetryDelay_{400};
};

/// \brief Registers a key, renews its lease, and registers it again after the
/// lease has expired.
class Registration : public std::enable_shared_from_this<Registration> {
public:
  struct Hooks {
    Schedule After_;
    std::function<void(const std::string &Event, const std::string &Detail)>
        Log_;
  };

  Registration(connection::LeaseStore &Store, RegistrationOptions Options,
               Hooks Callbacks)
      : Store_(Store), Options_(std::move(Options)),
        Hooks_(std::move(Callbacks)) {}

  void start() { grant(); }
  /// \brief Removes the key. \p Done is called once, even if the store is
  /// unreachable.
  void withdraw(std::function<void()> Done);

private:
  void grant();
  void putKey();
  void renew();
  /// Checks that the key still exists: a partial outage may remove it while the
  /// lease is still valid.
  void checkKey();
  void schedule(std::chrono::milliseconds Delay, void (Registration::*Next)());
  void onFailure(const std::string &Cause, void (Registration::*Next)());

  connection::LeaseStore &Store_;
  RegistrationOptions Options_;
  Hooks Hooks_;
  std::string Lease_;
  bool Withdrawn_ = false;
  bool CheckKeyNext_ = false;
  bool Failing_ = false;
};

} // namespace wigeonwall::process::dispatch

#endif
