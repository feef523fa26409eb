/// \file
/// \brief Counters of each part, looked up once; docs/metrics.md lists them.
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

/// \brief One counter per value of an enum with a table of names.
template <typename Enum, std::size_t N> class EnumCounters {
public:
  EnumCounters(Counters &All, const std::string &Name, const std::string &Label,
               const std::array<request::EnumName<Enum>, N> &Names) {
    for (const auto &Row : Names)
      Values_[static_cast<std::size_t>(Row.Value_)] =
          &All.counter(Name, Label, std::string(Row.Name_));
  }
  [[nodiscard]] Counters::Value &operator[](Enum Which) noexcept {
    return *Values_[static_cast<std::size_t>(Which)];
  }

private:
  std::array<Counters::Value *, N> Values_{};
};

using ReasonCounters =
    EnumCounters<request::Reason, request::ReasonNames.size()>;

/// \brief One histogram per kind, labelled "SERVICE/KIND"; one thread.
class KindHistograms {
public:
  KindHistograms(Counters &All, std::string Name)
      : All_(All), Name_(std::move(Name)) {}

  /// \brief Records a value of a kind that is known to exist.
  void record(const std::string &Service, const std::string &Kind,
              request::Duration Value);
  /// \brief Records a value unless \p Config lacks the kind, so that callers
  /// cannot create series by inventing names.
  void recordConfigured(const std::string &Service, const std::string &Kind,
                        const version::Config *Config, request::Duration Value);

private:
  [[nodiscard]] Histogram *find(const std::string &Service,
                                const std::string &Kind);

  Counters &All_;
  std::string Name_;
  std::map<std::string, std::map<std::string, Histogram *>> Known_;
};

struct EntryMetrics {
  explicit EntryMetrics(Counters &All);

  Counters::Value &NotReady_;
  Counters::Value &Conflict_;
  Counters::Value &TooManyJobs_;
  /// Shared by the shards of an entry; each adds its difference.
  Counters::Value &JobsWaiting_;
  Counters::Value &SubmitResends_;
  KindHistograms JobTime_;
};

struct HomeMetrics {
  explicit HomeMetrics(Counters &All);

  /// \brief Publishes the ejections that this home honours.
  void setEjected(const std::vector<std::string> &Agents);

  Counters &All_;
  Counters::Value &Accepted_;
  EnumCounters<request::Outcome, request::OutcomeNames.size()> Ended_;
  ReasonCounters Negative_;
  Counters::Value &InFlight_;
  std::vector<std::string> Ejected_;
};

struct DispatcherMetrics {
  explicit DispatcherMetrics(Counters &All);

  Counters::Value &Placements_;
  Counters::Value &Retries_;
  Counters::Value &Resends_;
  ReasonCounters Refusals_;
};

/// \brief Counters of a gateway, and the log lines of its minion's health.
struct GatewayMetrics {
  GatewayMetrics(Counters &All, std::string Service);

  /// \brief Notes the health after the end of a task or in a tick.
  void updateHealth(request::HealthState State);
  /// \brief Notes how a call ended; the last failure is the cause of an
  /// ejection.
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
  request::HealthState KnownState_ = request::HealthState::Healthy;
  request::MinionOutcome LastFailure_ = request::MinionOutcome::ServerError;
};

inline constexpr std::array<request::EnumName<request::MinionOutcome>, 4>
    MinionOutcomeNames{{
        {request::MinionOutcome::Success, "success"},
        {request::MinionOutcome::PayloadError, "payload_error"},
        {request::MinionOutcome::ServerError, "server_error"},
        {request::MinionOutcome::ConnectionError, "connection_error"},
    }};

/// \brief Gauges of the control thread, and the log lines of changes between
/// two views.
class ViewMetrics {
public:
  explicit ViewMetrics(Counters &All);

  void update(const ClusterView &View);

private:
  void updateMembers(const std::vector<Member> &Members);
  void updateDocuments(const ClusterView &View);

  Counters::Value &Epoch_;
  Counters::Value &ConfigVersion_;
  EnumCounters<MemberState, MemberStateNames.size()> Members_;
  /// State and incarnation of each member of the last view.
  std::map<std::string, std::pair<MemberState, std::int64_t>> Known_;
};

} // namespace wigeonwall::process

#endif
