/// \file
/// \brief Value types of the configuration document.
#ifndef WIGEONWALL_VERSION_CONFIG_H
#define WIGEONWALL_VERSION_CONFIG_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::version {

/// \brief A kind of request within a service.
struct KindConfig {
  std::string Name_;
  /// 0 (least urgent) to 9.
  unsigned Urgency_ = 0;
  /// Relative share of the slots that are not reserved by guaranteed shares.
  double Weight_ = 1.0;
  /// Guaranteed share of each minion's slots, 0 to 1.
  double MinShare_ = 0.0;
  /// Maximum number of tasks queued at one agent; 0 disables the kind.
  unsigned QueueLimit_ = 0;
  /// 1 to 170.
  unsigned MaxTasksPerJob_ = 0;
  /// Upper bound of a job's timeout.
  std::chrono::milliseconds MaxTimeout_{0};
  /// Every request of the kind is non-idempotent.
  bool NonIdempotent_ = false;
};

struct ServiceConfig {
  std::string Name_;
  std::vector<KindConfig> Kinds_;

  [[nodiscard]] const KindConfig *findKind(const std::string &Name) const;
};

struct TeamConfig {
  std::string Name_;
  /// Maximum number of tasks in flight per home agent; 0 disables the team.
  unsigned MaxTasksInFlight_ = 0;
};

struct FailureDomainConfig {
  std::string Name_;
  std::string Region_;
};

/// \brief Limits that operators may set.
struct LimitsConfig {
  /// Time for which the answer of a job is kept.
  std::chrono::seconds RecordRetention_{600};
  /// Maximum number of job records at a home agent, including finished jobs.
  unsigned MaxRecords_ = 100'000;
};

/// \brief One accepted version of the configuration.
struct Config {
  /// Incremented by each accepted edit.
  std::uint64_t Version_ = 0;
  /// Chosen by the writer, which uses it to find out whether a write took
  /// effect after the reply was lost.
  std::string EditId_;
  std::vector<ServiceConfig> Services_;
  std::vector<TeamConfig> Teams_;
  std::vector<FailureDomainConfig> FailureDomains_;
  LimitsConfig Limits_;

  [[nodiscard]] const ServiceConfig *findService(const std::string &Name) const;
  [[nodiscard]] const TeamConfig *findTeam(const std::string &Name) const;
};

} // namespace wigeonwall::version

#endif
