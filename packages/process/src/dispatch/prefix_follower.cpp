#include "wigeonwall/process/dispatch/prefix_follower.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using connection::StoreFault;

namespace {

/// Time for the call that follows a watch without a reply: a slow store takes
/// 400 ms.
constexpr std::chrono::milliseconds RepeatedCallTime{450};
constexpr std::chrono::milliseconds MinWatchWait{500};
/// Longer waits save few calls.
constexpr std::chrono::milliseconds MaxWatchWait{2'000};

} // namespace

std::chrono::milliseconds watchWait(std::chrono::milliseconds ContactTime) {
  return std::clamp(ContactTime - connection::WatchGrace - StoreRetryDelay -
                        RepeatedCallTime,
                    MinWatchWait, MaxWatchWait);
}

void PrefixFollower::retry(const std::string &Cause,
                           void (PrefixFollower::*Next)()) {
  if (!Failing_)
    Hooks_.OnStoreStateChanged_(Cause);
  Failing_ = true;
  Hooks_.After_(Options_.RetryDelay_, [Weak = weak_from_this(), Next] {
    if (const auto Self = Weak.lock())
      (Self.get()->*Next)();
  });
}

void PrefixFollower::onSuccess() {
  if (Failing_)
    Hooks_.OnStoreStateChanged_("");
  Failing_ = false;
}

void PrefixFollower::list() {
  Store_.list(
      Options_.Prefix_, connection::ReadMode::Current,
      [Weak = weak_from_this()](std::optional<connection::StoreListing> Listing,
                                const StoreFault &Fault) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        if (!Listing)
          return Self->retry(Fault.Message_, &PrefixFollower::list);
        Self->onSuccess();
        if (Listing->UnreadableItems_ > 0)
          Self->Hooks_.OnUnreadableItems_(Listing->UnreadableItems_);
        Self->Values_.clear();
        for (connection::StoredItem &Item : Listing->Items_)
          Self->Values_[Item.Key_] = std::move(Item.Value_);
        Self->Revision_ = Listing->Revision_;
        Self->Listed_ = true;
        // Watches first, so that a hook that throws does not end the watch.
        Self->watch();
        Self->Hooks_.OnValuesChanged_(Self->Values_, Self->Revision_);
      });
}

void PrefixFollower::watchAfterBatchDelay() {
  if (Options_.BatchDelay_ == std::chrono::milliseconds::zero())
    return watch();
  Hooks_.After_(Options_.BatchDelay_, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->watch();
  });
}

void PrefixFollower::watchAgain() {
  if (WatchPending_)
    watch();
}

void PrefixFollower::watch() {
  WatchPending_ = true;
  Store_.watch(
      Options_.Prefix_, Revision_, Options_.WatchWait_,
      [Weak = weak_from_this(),
       Number = ++WatchNumber_](std::optional<connection::StoreChanges> Changes,
                                const StoreFault &Fault) {
        const auto Self = Weak.lock();
        if (!Self || Number != Self->WatchNumber_)
          return;
        Self->WatchPending_ = false;
        if (!Changes)
          return Self->retry(Fault.Message_, &PrefixFollower::watch);
        Self->onSuccess();
        if (Changes->HistoryLost_)
          return Self->list();
        if (Changes->UnreadableItems_ > 0)
          Self->Hooks_.OnUnreadableItems_(Changes->UnreadableItems_);
        for (connection::StoreChange &Each : Changes->Changes_) {
          if (Each.Deleted_)
            Self->Values_.erase(Each.Item_.Key_);
          else
            Self->Values_[Each.Item_.Key_] = std::move(Each.Item_.Value_);
        }
        Self->Revision_ = std::max(Self->Revision_, Changes->Revision_);
        if (Changes->Changes_.empty())
          return Self->watch();
        Self->watchAfterBatchDelay();
        Self->Hooks_.OnValuesChanged_(Self->Values_, Self->Revision_);
      });
}

} // namespace wigeonwall::process::dispatch
