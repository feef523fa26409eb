/// \file
/// \brief Metrics of each component, looked up once; docs/metrics.md lists
/// them.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_METRICS_H
#define WIGEONWALL_PROCESS_OBSERVATION_METRICS_H

#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/health.h"
#include "wigeonwall/request/types.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief One counter per value of an enum, labelled with the value's name.
template <typename Enum, std::size_t N> class EnumCounters {
public:
  EnumCounters(Counters &Registry, const std::string &Name,
               const std::string &Label,
               const std::array<request::EnumName<Enum>, N> &Names) {
    for (const auto &Row : Names)
      Values_[static_cast<std::size_t>(Row.Value_)] =
          &Registry.counter(Name, Label, std::string(Row.Name_));
  }
  [[nodiscard]] Counters::Value &operator[](Enum Which) noexcept {
    return *Values_[static_cast<std::size_t>(Which)];
  }

private:
  std::array<Counters::Value *, N> Values_{};
};

using ReasonCounters =
    EnumCounters<request::Reason, request::ReasonNames.size()>;

/// \brief One histogram per kind, labelled "SERVICE/KIND"; not thread-safe.
class KindHistograms {
public:
  KindHistograms(Counters &Registry, std::string Name)
      : Registry_(Registry), Name_(std::move(Name)) {}

  /// \brief Records a value; the kind must exist.
  void record(const std::string &Service, const std::string &Kind,
              request::Duration Value);
  /// \brief Records a value if \p Config contains the kind, so that callers
  /// cannot create series with arbitrary names.
  void recordConfigured(const std::string &Service, const std::string &Kind,
                        const version::Config *Config, request::Duration Value);

private:
  [[nodiscard]] Histogram *find(const std::string &Service,
                                const std::string &Kind);

  Counters &Registry_;
  std::string Name_;
  std::map<std::string, std::map<std::string, Histogram *>> ByService_;
};

/// \brief Metrics of an entry.
struct EntryMetrics {
  explicit EntryMetrics(Counters &Registry);

  Counters::Value &NotReady_;
  Counters::Value &Conflict_;
  Counters::Value &TooManyJobs_;
  /// Shared by the shards of an entry; each shard adds its own changes.
  Counters::Value &JobsWaiting_;
  Counters::Value &SubmitResends_;
  KindHistograms JobTime_;
};

/// \brief Metrics of a home.
struct HomeMetrics {
  explicit HomeMetrics(Counters &Registry);

  /// \brief Publishes the agents whose minions this home treats as ejected.
  void setEjected(const std::vector<std::string> &Agents);

  Counters &Registry_;
  Counters::Value &Accepted_;
  EnumCounters<request::Outcome, request::OutcomeNames.size()> Ended_;
  ReasonCounters Negative_;
  Counters::Value &InFlight_;
  std::vector<std::string> Ejected_;
};

/// \brief Metrics of a task dispatcher.
struct DispatcherMetrics {
  explicit DispatcherMetrics(Counters &Registry);

  Counters::Value &Placements_;
  Counters::Value &Retries_;
  Counters::Value &Resends_;
  ReasonCounters Refusals_;
};

/// \brief Metrics of a minion gateway; logs changes of its minion's health.
struct GatewayMetrics {
  GatewayMetrics(Counters &Registry, std::string Service);

  /// \brief Records the health state, after each task and in each tick.
  void updateHealth(request::HealthState State);
  /// \brief Records the outcome of a call; the last failure is reported as the
  /// cause of an ejection.
  void recordOutcome(request::MinionOutcome Outcome);

  std::string Service_;
  Counters::Value &Starts_;
  Counters::Value &Duplicates_;
  Counters::Value &ResultResends_;
  Counters::Value &Queued_;
  Counters::Value &Running_;
  Counters::Value &HealthState_;
  Counters::Value &Readmissions_;
  EnumCounters<request::MinionOutcome, 4> Ejections_;
  EnumCounters<request::MinionOutcome, 4> Outcomes_;
  KindHistograms QueueDelay_;
  KindHistograms RunTime_;
  request::HealthState LastState_ = request::HealthState::Healthy;
  request::MinionOutcome LastFailure_ = request::MinionOutcome::ServerError;
};

inline constexpr std::array<request::EnumName<request::MinionOutcome>, 4>
    MinionOutcomeNames{{
        {request::MinionOutcome::Success, "success"},
        {request::MinionOutcome::PayloadError, "payload_error"},
        {request::MinionOutcome::ServerError, "server_error"},
        {request::MinionOutcome::ConnectionError, "connection_error"},
    }};

/// \brief Gauges of the control thread; logs changes between successive views.
class ViewMetrics {
public:
  explicit ViewMetrics(Counters &Registry);

  void update(const ClusterView &View);

private:
  void updateMembers(const std::vector<Member> &Members);
  void updateDocuments(const ClusterView &View);

  Counters::Value &Epoch_;
  Counters::Value &ConfigVersion_;
  EnumCounters<MemberState, MemberStateNames.size()> Members_;
  /// State and incarnation of each member of the last view.
  std::map<std::string, std::pair<MemberState, std::int64_t>> LastSeen_;
};

} // namespace wigeonwall::process

#endif
