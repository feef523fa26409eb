/// \file
/// \brief Adds joined agents to the map and removes departed ones.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_MAP_MAINTAINER_H
#define WIGEONWALL_PROCESS_CONFIGURATION_MAP_MAINTAINER_H

#include "wigeonwall/connection/key_value_store.h"
#include "wigeonwall/process/membership/membership.h"
#include "wigeonwall/process/runtime/lifetime_token.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace wigeonwall::process {

/// \brief Delays and timeouts of MapMaintainer.
struct MapMaintainerOptions {
  /// Joins and departures are batched for this long.
  request::Duration BatchDelay_ = std::chrono::milliseconds(500);
  /// Additional delay per rank in the order of proposers.
  request::Duration ProposerStagger_ = std::chrono::seconds(1);
  /// Delay after a failed call of the key-value service; jitter adds up to the
  /// same time again.
  request::Duration RetryDelay_ = std::chrono::seconds(1);
  /// Time after which an agent in the map that is unknown to membership counts
  /// as dead.
  request::Duration UnknownAgentTimeout_ = std::chrono::seconds(15);
  /// Time after which an absent agent is removed without a majority; twice the
  /// longest expected network partition between regions.
  request::Duration MinorityRemovalTimeout_ = std::chrono::hours(2);
  /// Time after which an absent agent that another process added to the map
  /// again is removed again. Each further return doubles it, up to 64 times:
  /// the other side of a network partition adds its agents again at once.
  request::Duration RejoinRemovalTimeout_ = std::chrono::seconds(15);
  /// Interval between reviews of the map while no member changes; unknown
  /// agents are contacted at the same interval.
  request::Duration ReviewInterval_ = std::chrono::seconds(5);
  /// Time after the start in which a process without peers writes no map: the
  /// seeds may not have answered yet.
  request::Duration StartupIsolationTime_ = std::chrono::seconds(3);
};

/// \brief Dependencies of MapMaintainer.
struct MapMaintainerHooks {
  /// Returns the current map, or null.
  std::function<std::shared_ptr<const version::AgentMap>()> Map_;
  /// Receives a map read from or written to the key-value service.
  std::function<void(const Json::Value &Source)> OnMap_;
  std::function<std::int64_t()> WallClockMs_;
  /// Sends a membership message to the process at a control address.
  std::function<void(const std::string &Address)> Contact_;
  /// Returns how long departed agents stay in the map.
  std::function<std::int64_t()> RetentionMs_;
  std::function<void(const std::string &Line)> Report_;
};

/// \brief Proposes map changes by compare-and-swap.
///
/// Agents propose in the order of a rank that changes with each epoch, so that
/// normally one of them writes. Entries never propose.
class MapMaintainer {
public:
  MapMaintainer(connection::KeyValueStore &Store, const Membership &Members,
                request::Clock Clock, std::mt19937_64 Random,
                MapMaintainerOptions Options, MapMaintainerHooks Hooks);

  /// \brief Reviews the map and writes a change that is due. Call about every
  /// 100 ms.
  void tick();
  /// \brief Removes this process from the map; \p Done is called when the map
  /// has been written or 3 attempts have failed.
  void removeSelf(std::int64_t StoppedAtMs, std::function<void()> Done);

private:
  using ChangeSource =
      std::function<version::MapChange(const version::AgentMap &)>;
  enum class Outcome : std::uint8_t { Written, NothingToDo, Failed };
  using AttemptCallback = std::function<void(Outcome)>;

  void review(request::TimePoint Now);
  [[nodiscard]] version::MapChange pendingChange(const version::AgentMap &Map);
  void addJoins(const version::AgentMap &Map, version::MapChange &Change) const;
  void addRemovals(const version::AgentMap &Map, version::MapChange &Change);
  [[nodiscard]] bool seesMajority(const version::AgentMap &Map) const;
  /// Unix time in ms by which an agent has provably ended, if it has.
  [[nodiscard]] std::optional<std::int64_t>
  endedAt(const version::MapAgent &Agent) const;
  [[nodiscard]] bool isPresent(const version::MapAgent &Agent) const;
  [[nodiscard]] bool checkRemovable(const version::MapAgent &Agent,
                                    bool Majority);
  void updateAddressOwners();
  [[nodiscard]] std::size_t proposerRank(version::Epoch Current) const;
  [[nodiscard]] version::AgentMap currentMap() const;

  void attempt(ChangeSource Change, AttemptCallback Done);
  void write(const std::optional<connection::StoreEntry> &Entry,
             const ChangeSource &Change, const AttemptCallback &Done);
  void retryRemoval(const version::MapChange::Removal &Own, unsigned Attempts,
                    const std::function<void()> &Done);
  [[nodiscard]] request::Duration retryDelay();

  connection::KeyValueStore &Store_;
  const Membership &Members_;
  request::Clock Clock_;
  std::mt19937_64 Random_;
  MapMaintainerOptions Options_;
  MapMaintainerHooks Hooks_;
  request::TimePoint Start_;
  /// When the pending change was first found, and in which epoch.
  std::optional<request::TimePoint> ChangePendingSince_;
  version::Epoch PendingChangeEpoch_ = 0;
  std::size_t ProposerRank_ = 0;
  /// State at the last review. With 620 agents a review compares about 400,000
  /// ids, which is too expensive for every tick.
  std::uint64_t ReviewedGeneration_ = 0;
  version::Epoch ReviewedEpoch_ = 0;
  request::TimePoint NextReview_;
  request::TimePoint NextAttempt_;
  bool Writing_ = false;
  struct Absence {
    request::TimePoint Since_;
    request::TimePoint NextContact_;
    /// Epoch in which the agent joined the map, and how often that has changed
    /// since this process lost contact with it.
    version::Epoch JoinedEpoch_ = 0;
    unsigned Rejoins_ = 0;
  };
  std::map<std::string, Absence> Absences_;
  /// Highest incarnation of a present process by control address.
  std::map<std::string, std::int64_t> AddressOwners_;
  LifetimeToken Lifetime_;
};

} // namespace wigeonwall::process

#endif
