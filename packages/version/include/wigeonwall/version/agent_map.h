/// \file
/// \brief Versioned list of agents, and the agents that hold a job's record.
#ifndef WIGEONWALL_VERSION_AGENT_MAP_H
#define WIGEONWALL_VERSION_AGENT_MAP_H

#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/types.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::version {

/// \brief Version number of an agent map; incremented by each change.
using Epoch = std::uint64_t;

/// \brief One agent incarnation, present or departed.
struct MapAgent {
  std::string Id_;
  /// Unix time in ms of the process start.
  std::int64_t Incarnation_ = 0;
  /// "IP:port" of the control and the traffic RPC server.
  std::string ControlAddress_;
  std::string TrafficAddress_;
  std::string FailureDomain_;
  std::string Service_;
  /// First epoch that lists this incarnation.
  Epoch JoinedEpoch_ = 0;
  /// Unix time in ms of the write of that epoch.
  std::int64_t JoinedAtMs_ = 0;
  /// First epoch that no longer lists it; 0 while present.
  Epoch RemovedEpoch_ = 0;
  /// Unix time in ms of the removal; 0 while present.
  std::int64_t RemovedAtMs_ = 0;
  /// Unix time in ms after which the agent accepted no job, as it reported on a
  /// planned stop; 0 if not reported.
  std::int64_t StoppedAtMs_ = 0;

  [[nodiscard]] bool presentIn(Epoch AtEpoch) const noexcept {
    return JoinedEpoch_ <= AtEpoch &&
           (RemovedEpoch_ == 0 || AtEpoch < RemovedEpoch_);
  }
};

/// \brief Agents that hold one job's record at one epoch.
struct HolderPair {
  const MapAgent *Home_ = nullptr;
  /// Null when the service has one agent.
  const MapAgent *Copy_ = nullptr;
  /// Last epoch at which these were the holders; 0 for the current pair.
  Epoch LastEpoch_ = 0;
};

/// \brief Present agents, and agents removed within the record retention.
struct AgentMap {
  Epoch Epoch_ = 0;
  /// Oldest epoch within the record retention; the holders at earlier epochs
  /// cannot be computed.
  Epoch OldestEpoch_ = 0;
  std::vector<MapAgent> Agents_;

  /// \brief Holders of \p Key at \p AtEpoch, by rendezvous hashing.
  [[nodiscard]] HolderPair holders(const request::JobKey &Key,
                                   Epoch AtEpoch) const;
  /// \brief Holders at the current epoch.
  [[nodiscard]] HolderPair holders(const request::JobKey &Key) const {
    return holders(Key, Epoch_);
  }
  /// \brief Distinct pairs at the epochs from \p Oldest on that differ from the
  /// current pair.
  [[nodiscard]] std::vector<HolderPair>
  earlierHolders(const request::JobKey &Key, Epoch Oldest) const;
  /// \brief Oldest epoch that was current at any time in the last
  /// \p RetentionMs.
  [[nodiscard]] Epoch oldestEpochAt(std::int64_t NowMs,
                                    std::int64_t RetentionMs) const;
  /// \brief Present agents of \p Service.
  [[nodiscard]] std::vector<const MapAgent *>
  presentAgents(const std::string &Service) const;
  [[nodiscard]] const MapAgent *findPresent(const std::string &Id) const;
};

/// \brief Errors of decoding an agent map.
enum class MapError : std::uint8_t { None, Malformed };
using MapFault = request::Fault<MapError>;

[[nodiscard]] Json::Value encodeMap(const AgentMap &Map);
[[nodiscard]] std::optional<AgentMap> decodeMap(const Json::Value &Value,
                                                MapFault &Fault);

/// \brief Change of a map that is written with one compare-and-swap.
struct MapChange {
  /// Agents to add; one with the id of a present agent replaces it.
  std::vector<MapAgent> Joins_;
  /// Id and incarnation of agents to remove.
  struct Removal {
    std::string Id_;
    std::int64_t Incarnation_ = 0;
    std::int64_t StoppedAtMs_ = 0;
  };
  std::vector<Removal> Removals_;
};

/// \brief Returns the map with \p Change applied and the next epoch, or
/// nothing when \p Change has no effect.
///
/// Agents removed more than \p RetentionMs ago are dropped from the result.
[[nodiscard]] std::optional<AgentMap> applyChange(const AgentMap &Map,
                                                  const MapChange &Change,
                                                  std::int64_t NowMs,
                                                  std::int64_t RetentionMs);

} // namespace wigeonwall::version

#endif
