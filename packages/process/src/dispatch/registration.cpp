#include "wigeonwall/process/dispatch/registration.h"

namespace wigeonwall::process::dispatch {

using connection::LeaseState;
using connection::StoreFault;

void Registration::schedule(std::chrono::milliseconds Delay,
                            void (Registration::*Next)()) {
  Hooks_.After_(Delay, [Weak = weak_from_this(), Next] {
    const auto Self = Weak.lock();
    if (Self && !Self->Withdrawn_)
      (Self.get()->*Next)();
  });
}

void Registration::onFailure(const std::string &Cause,
                             void (Registration::*Next)()) {
  if (!Failing_)
    Hooks_.Log_("registration_failing", "detail=\"" + Cause + "\"");
  Failing_ = true;
  schedule(Options_.RetryDelay_, Next);
}

void Registration::grant() {
  Store_.grantLease(Options_.TimeToLive_, [Weak = weak_from_this()](
                                              std::optional<std::string> Lease,
                                              const StoreFault &Fault) {
    const auto Self = Weak.lock();
    if (!Self || Self->Withdrawn_)
      return;
    if (!Lease)
      return Self->onFailure(Fault.Message_, &Registration::grant);
    Self->Lease_ = *Lease;
    Self->putKey();
  });
}

void Registration::putKey() {
  Store_.putLeased(
      Options_.Key_, Options_.Value_, Lease_,
      [Weak = weak_from_this()](std::optional<LeaseState> State,
                                const StoreFault &Fault) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!State)
          return Self->onFailure(Fault.Message_, &Registration::putKey);
        if (*State == LeaseState::Ended)
          return Self->grant();
        Self->Failing_ = false;
        Self->Hooks_.Log_("registered", "key=" + Self->Options_.Key_ +
                                            " lease=" + Self->Lease_);
        Self->schedule(Self->Options_.RenewPeriod_, &Registration::renew);
      });
}

void Registration::renew() {
  Store_.renewLease(
      Lease_, [Weak = weak_from_this()](std::optional<LeaseState> State,
                                        const StoreFault &Fault) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!State)
          return Self->onFailure(Fault.Message_, &Registration::renew);
        if (*State == LeaseState::Ended) {
          Self->Hooks_.Log_("lease_ended", "lease=" + Self->Lease_);
          return Self->grant();
        }
        if (Self->Failing_)
          Self->Hooks_.Log_("registration_regained", "");
        Self->Failing_ = false;
        // Checks after every other renewal, because a list call costs ten times
        // as much as a renewal.
        Self->CheckKeyNext_ = !Self->CheckKeyNext_;
        if (Self->CheckKeyNext_)
          return Self->checkKey();
        Self->schedule(Self->Options_.RenewPeriod_, &Registration::renew);
      });
}

void Registration::checkKey() {
  Store_.list(
      Options_.Key_, connection::ReadMode::MayBeStale,
      [Weak = weak_from_this()](std::optional<connection::StoreListing> Listing,
                                const StoreFault &Fault) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!Listing)
          return Self->onFailure(Fault.Message_, &Registration::renew);
        for (const connection::StoredItem &Item : Listing->Items_)
          if (Item.Key_ == Self->Options_.Key_)
            return Self->schedule(Self->Options_.RenewPeriod_,
                                  &Registration::renew);
        Self->Hooks_.Log_("key_vanished", "key=" + Self->Options_.Key_);
        Self->putKey();
      });
}

void Registration::withdraw(std::function<void()> Done) {
  Withdrawn_ = true;
  if (Lease_.empty())
    return Done();
  Store_.revokeLease(
      Lease_, [Done = std::move(Done), Self = shared_from_this()](
                  std::optional<LeaseState> State, const StoreFault &Fault) {
        if (!State)
          Self->Hooks_.Log_("withdrawal_failed",
                            "detail=\"" + Fault.Message_ + "\"");
        Done();
      });
}

} // namespace wigeonwall::process::dispatch
