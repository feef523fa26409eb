/// \file
/// \brief Ejection of a failing minion, and the bound on ejections.
///
/// The agent of a minion owns a HealthTracker and reports its result. A home
/// honours the reports of the worst minions only, see honouredEjections().
#ifndef WIGEONWALL_REQUEST_HEALTH_H
#define WIGEONWALL_REQUEST_HEALTH_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/enum_names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief State of a minion as its agent sees it.
enum class HealthState : std::uint8_t {
  Healthy,
  /// Gets no new tasks until the back-off has passed.
  Ejected,
  /// Gets one task at a time until a few have succeeded.
  Probing,
};

inline constexpr std::array<EnumName<HealthState>, 3> HealthStateNames{{
    {HealthState::Healthy, "healthy"},
    {HealthState::Ejected, "ejected"},
    {HealthState::Probing, "probing"},
}};

/// \brief What the end of a task says about the minion.
enum class MinionOutcome : std::uint8_t {
  Success,
  /// Status 4xx: more likely a fault of the payload.
  PayloadError,
  /// Any other status.
  ServerError,
  /// Refused or broken connection.
  ConnectionError,
};

/// \brief Classifies an HTTP status of the minion.
[[nodiscard]] MinionOutcome classifyStatus(int Status) noexcept;

/// \brief First and longest back-off of an ejected minion.
inline constexpr Duration MinBackoff = std::chrono::seconds(1);
inline constexpr Duration MaxBackoff = std::chrono::seconds(60);

/// \brief Health of one minion from the outcomes of its tasks.
///
/// \code
///   const auto Ticket = Health.begin();
///   // ... when the task has ended:
///   Health.record(Ticket, classifyStatus(Status));
/// \endcode
class HealthTracker {
public:
  /// Ties an outcome to the state in which the task started.
  using Ticket = std::uint64_t;

  explicit HealthTracker(Clock Now);

  /// \brief Current state; turns Ejected into Probing after the back-off.
  [[nodiscard]] HealthState state();

  /// \brief Whether a new task may start now: always when healthy, never when
  /// ejected, one at a time when probing.
  [[nodiscard]] bool canStart();

  /// \brief Notes a started task.
  ///
  /// A task may also start while the minion is ejected, because a home may
  /// not have honoured the ejection; its success counts as a probe.
  [[nodiscard]] Ticket begin();

  /// \brief Notes the end of a task.
  ///
  /// Outcomes of tasks that started before the last change between healthy
  /// and ejected are ignored.
  void record(Ticket Started, MinionOutcome Outcome);

  /// \brief Notes the end of a task that says nothing about the minion.
  void abandon(Ticket Started);

  /// \brief Rest of the back-off; zero unless ejected.
  [[nodiscard]] Duration ejectedFor();

  /// \brief Orders minions from good to bad: the score of recent failures, plus
  /// one for each ejection in a row while not healthy.
  [[nodiscard]] double severity();

private:
  void eject();
  void recover();
  void recordHealthy(MinionOutcome Outcome);
  void recordProbe(MinionOutcome Outcome);
  void endProbe(Ticket Started);

  Clock Now_;
  HealthState State_ = HealthState::Healthy;
  /// Rises with each ejection and recovery.
  Ticket Generation_ = 1;
  /// Weighted mean of failures, 0 to 1.
  double FailureScore_ = 0.0;
  /// Ejections since the back-off was last reset.
  unsigned Ejections_ = 0;
  TimePoint EjectedUntil_;
  unsigned ProbesInFlight_ = 0;
  unsigned ProbeSuccesses_ = 0;
  /// Outcomes since the last recovery.
  unsigned HealthyOutcomes_ = 0;
};

/// \brief An ejected minion as reported by its agent.
struct EjectedMinion {
  std::string AgentId_;
  /// HealthTracker::severity().
  double Severity_ = 0.0;
};

/// \brief Ids of the agents whose ejection a home honours: at most a third of
/// the \p Total minions of the service, the worst first.
[[nodiscard]] std::vector<std::string>
honouredEjections(std::vector<EjectedMinion> Ejected, std::size_t Total);

} // namespace wigeonwall::request

#endif
