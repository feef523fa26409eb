/// \file
/// \brief Cluster state that the control thread publishes to the traffic
/// threads.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_CLUSTER_VIEW_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_CLUSTER_VIEW_H

#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/version/agent_map.h"
#include "wigeonwall/version/config.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wigeonwall::process {

enum class Role : std::uint8_t { Entry, Agent };

inline constexpr std::array<request::EnumName<Role>, 2> RoleNames{{
    {Role::Entry, "entry"},
    {Role::Agent, "agent"},
}};

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead, Left };

inline constexpr std::array<request::EnumName<MemberState>, 5> MemberStateNames{
    {
        {MemberState::Alive, "alive"},
        {MemberState::Suspect, "suspect"},
        {MemberState::Leaving, "leaving"},
        {MemberState::Dead, "dead"},
        {MemberState::Left, "left"},
    }};

/// \brief One process of the cluster, as it announces itself.
struct Member {
  std::string Id_;
  Role Role_ = Role::Agent;
  /// Unix time in ms of the process start.
  std::int64_t Incarnation_ = 0;
  std::string ControlAddress_;
  std::string TrafficAddress_;
  std::string FailureDomain_;
  /// Empty for an entry.
  std::string Service_;
  MemberState State_ = MemberState::Alive;
};

/// \brief Highest map epoch that a member has reported, and when this process
/// first received that report.
struct ObservedEpoch {
  std::int64_t Incarnation_ = 0;
  version::Epoch Epoch_ = 0;
  /// Unix time in ms on the local clock.
  std::int64_t ObservedAtMs_ = 0;

  /// \brief Adopts a newer incarnation or a higher epoch; returns false for
  /// anything else.
  bool advance(std::int64_t Incarnation, version::Epoch Epoch,
               std::int64_t NowMs) noexcept {
    if (Incarnation < Incarnation_ ||
        (Incarnation == Incarnation_ && Epoch <= Epoch_))
      return false;
    *this = {Incarnation, Epoch, NowMs};
    return true;
  }
};

using ObservedEpochs = std::map<std::string, ObservedEpoch>;

/// \brief Immutable snapshot of all control state.
struct ClusterView {
  /// Null until received; the process is ready once it has both.
  std::shared_ptr<const version::AgentMap> Map_;
  std::shared_ptr<const version::Config> Config_;
  /// Includes this process.
  std::vector<Member> Members_;
  /// By member id.
  ObservedEpochs ObservedEpochs_;

  [[nodiscard]] bool ready() const noexcept { return Map_ && Config_; }
  [[nodiscard]] const Member *findMember(const std::string &Id) const {
    for (const Member &Each : Members_)
      if (Each.Id_ == Id)
        return &Each;
    return nullptr;
  }
};

/// \brief Thread-safe holder of the current view; one writer, many readers.
class ViewPublisher {
public:
  using Observer = std::function<void(std::shared_ptr<const ClusterView>)>;

  [[nodiscard]] std::shared_ptr<const ClusterView> current() const {
    const std::scoped_lock Lock(Mutex_);
    return View_;
  }
  /// \brief Replaces the view and calls the observers on this thread.
  void publish(std::shared_ptr<const ClusterView> View);
  /// \brief Adds an observer; call before the first publish().
  void observe(Observer Each) { Observers_.push_back(std::move(Each)); }

private:
  // Not std::atomic: its load() in libstdc++ 12 unlocks without release
  // ordering, which ThreadSanitizer reports as a race with store().
  mutable std::mutex Mutex_;
  std::shared_ptr<const ClusterView> View_ =
      std::make_shared<const ClusterView>();
  std::vector<Observer> Observers_;
};

} // namespace wigeonwall::process

#endif
