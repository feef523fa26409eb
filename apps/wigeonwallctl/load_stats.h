/// \file
/// \brief Counters and percentiles of a load run, per kind and overall.
#ifndef WIGEONWALLCTL_LOAD_STATS_H
#define WIGEONWALLCTL_LOAD_STATS_H

#include "wigeonwallctl/load_run.h"
#include "wigeonwallctl/percentiles.h"

#include <json/json.h>

#include <chrono>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

using ReasonCounts = std::map<std::string, std::uint64_t>;

[[nodiscard]] std::uint64_t totalCount(const ReasonCounts &Counts);

/// \brief Statistics of one kind, or of all kinds together.
struct KindStats {
  void record(const PlannedJob &Job, const JobOutcome &Outcome,
              std::chrono::milliseconds ClientDelay);

  /// \brief True when an answer was crossed, partial, contradicted or invalid.
  [[nodiscard]] bool hasInvalidAnswers() const noexcept;
  [[nodiscard]] Json::Value toJson(double Seconds) const;

  std::uint64_t Sent_ = 0;
  std::uint64_t Complete_ = 0;
  ReasonCounts NotRun_;
  ReasonCounts Failed_;
  /// No reply, still running, or request rejected by the entry; by reply kind.
  ReasonCounts NoAnswer_;
  std::uint64_t Crossed_ = 0;
  std::uint64_t Partial_ = 0;
  std::uint64_t Contradicted_ = 0;
  std::uint64_t Invalid_ = 0;
  /// Latency divided by (client round trip + longest task); complete jobs only.
  Percentiles Ratio_;
  /// Complete jobs only.
  Percentiles LatencyMs_;
};

/// \brief Statistics of a set of jobs, grouped by kind.
class LoadStats {
public:
  explicit LoadStats(std::chrono::milliseconds ClientDelay)
      : ClientDelay_(ClientDelay) {}

  void record(const PlannedJob &Job, const JobOutcome &Outcome);
  [[nodiscard]] const KindStats &overall() const noexcept { return Overall_; }
  [[nodiscard]] const std::map<std::string, KindStats> &kinds() const noexcept {
    return Kinds_;
  }
  /// \brief Encodes the statistics; rates are averages over \p Seconds.
  [[nodiscard]] Json::Value toJson(double Seconds) const;
  void printTable(std::ostream &Out, double Seconds) const;

private:
  std::chrono::milliseconds ClientDelay_;
  KindStats Overall_;
  std::map<std::string, KindStats> Kinds_;
};

/// \brief Jobs sent and completed in each second of a run.
class Timeline {
public:
  void record(const PlannedJob &Job, const JobOutcome &Outcome);
  [[nodiscard]] Json::Value toJson() const;

private:
  struct Second {
    std::uint64_t Sent_ = 0;
    std::uint64_t Complete_ = 0;
  };
  Second &at(std::chrono::nanoseconds Offset);

  std::vector<Second> Seconds_;
};

} // namespace wigeonwall::ctl

#endif
