#include "wigeonwall/process/dispatch/registration.h"

namespace wigeonwall::process::dispatch {

using connection::LeaseState;
using connection::StoreFault;

void Registration::later(std::chrono::milliseconds Delay,
                         void (Registration::*Next)()) {
  Hooks_.After_(Delay, [Weak = weak_from_this(), Next] {
    const auto Self = Weak.lock();
    if (Self && !Self->Withdrawn_)
      (Self.get()->*Next)();
  });
}

void Registration::failed(const std::string &Cause,
                          void (Registration::*Next)()) {
  if (!Failing_)
    Hooks_.Log_("registration_failing", "detail=\"" + Cause + "\"");
  Failing_ = true;
  later(Options_.RetryDelay_, Next);
}

void Registration::grant() {
  Store_.grantLease(Options_.TimeToLive_,
                    [Weak = weak_from_this()](std::optional<std::string> Lease,
                                              const StoreFault &Why) {
                      const auto Self = Weak.lock();
                      if (!Self || Self->Withdrawn_)
                        return;
                      if (!Lease)
                        return Self->failed(Why.Message_, &Registration::grant);
                      Self->Lease_ = *Lease;
                      Self->put();
                    });
}

void Registration::put() {
  Store_.putLeased(
      Options_.Key_, Options_.Value_, Lease_,
      [Weak = weak_from_this()](std::optional<LeaseState> State,
                                const StoreFault &Why) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!State)
          return Self->failed(Why.Message_, &Registration::put);
        if (*State == LeaseState::Ended)
          return Self->grant();
        Self->Failing_ = false;
        Self->Hooks_.Log_("registered", "key=" + Self->Options_.Key_ +
                                            " lease=" + Self->Lease_);
        Self->later(Self->Options_.RenewPeriod_, &Registration::renew);
      });
}

void Registration::renew() {
  Store_.renewLease(
      Lease_, [Weak = weak_from_this()](std::optional<LeaseState> State,
                                        const StoreFault &Why) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!State)
          return Self->failed(Why.Message_, &Registration::renew);
        if (*State == LeaseState::Ended) {
          Self->Hooks_.Log_("lease_ended", "lease=" + Self->Lease_);
          return Self->grant();
        }
        if (Self->Failing_)
          Self->Hooks_.Log_("registration_regained", "");
        Self->Failing_ = false;
        // Every other time; a list costs ten times as much as a renewal.
        Self->CheckDue_ = !Self->CheckDue_;
        if (Self->CheckDue_)
          return Self->checkKey();
        Self->later(Self->Options_.RenewPeriod_, &Registration::renew);
      });
}

void Registration::checkKey() {
  Store_.list(
      Options_.Key_,
      [Weak = weak_from_this()](std::optional<connection::StoreListing> Listing,
                                const StoreFault &Why) {
        const auto Self = Weak.lock();
        if (!Self || Self->Withdrawn_)
          return;
        if (!Listing)
          return Self->failed(Why.Message_, &Registration::renew);
        for (const connection::StoredItem &Item : Listing->Items_)
          if (Item.Key_ == Self->Options_.Key_)
            return Self->later(Self->Options_.RenewPeriod_,
                               &Registration::renew);
        Self->Hooks_.Log_("key_vanished", "key=" + Self->Options_.Key_);
        Self->put();
      });
}

void Registration::withdraw(std::function<void()> Done) {
  Withdrawn_ = true;
  if (Lease_.empty())
    return Done();
  Store_.revokeLease(
      Lease_, [Done = std::move(Done), Self = shared_from_this()](
                  std::optional<LeaseState> State, const StoreFault &Why) {
        if (!State)
          Self->Hooks_.Log_("withdrawal_failed",
                            "detail=\"" + Why.Message_ + "\"");
        Done();
      });
}

} // namespace wigeonwall::process::dispatch
