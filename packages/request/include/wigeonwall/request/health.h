/// \file
/// \brief Health tracking and ejection of failing minions.
///
/// The agent of a minion owns a HealthTracker and reports its state. A home
/// limits how many ejections it follows, see limitEjections().
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
  /// Receives no new tasks until the back-off has passed.
  Ejected,
  /// Receives one task at a time until several have succeeded.
  Probing,
};

inline constexpr std::array<EnumName<HealthState>, 3> HealthStateNames{{
    {HealthState::Healthy, "healthy"},
    {HealthState::Ejected, "ejected"},
    {HealthState::Probing, "probing"},
}};

/// \brief Outcome of a task as a health signal of the minion.
enum class MinionOutcome : std::uint8_t {
  Success,
  /// Status 4xx: more likely caused by the payload than by the minion.
  PayloadError,
  /// Any other status.
  ServerError,
  /// The connection was refused or broke.
  ConnectionError,
};

/// \brief Classifies an HTTP status of the minion.
[[nodiscard]] MinionOutcome classifyStatus(int Status) noexcept;

/// \brief Minimum and maximum back-off of an ejected minion.
inline constexpr Duration MinBackoff = std::chrono::seconds(1);
inline constexpr Duration MaxBackoff = std::chrono::seconds(60);

/// \brief Derives the health of one minion from the outcomes of its tasks.
///
/// \code
///   const auto Ticket = Health.begin();
///   // ... when the task has ended:
///   Health.record(Ticket, classifyStatus(Status));
/// \endcode
class HealthTracker {
public:
  /// Associates an outcome with the state in which the task started.
  using Ticket = std::uint64_t;

  explicit HealthTracker(Clock Now);

  /// \brief Current state; turns Ejected into Probing after the back-off.
  [[nodiscard]] HealthState state();

  /// \brief Returns whether a new task may start now: always if healthy, never
  /// if ejected, one at a time if probing.
  [[nodiscard]] bool canStart();

  /// \brief Records the start of a task.
  ///
  /// A task may also start while the minion is ejected, because a home does not
  /// follow every ejection. Its success counts as a successful probe.
  [[nodiscard]] Ticket begin();

  /// \brief Records the outcome of a task.
  ///
  /// Outcomes of tasks that started before the last ejection or recovery are
  /// ignored.
  void record(Ticket Started, MinionOutcome Outcome);

  /// \brief Records the end of a task that is no signal of the minion's health.
  void abandon(Ticket Started);

  /// \brief Remaining back-off; zero unless ejected.
  [[nodiscard]] Duration ejectedFor();

  /// \brief Severity for ranking minions, higher for worse ones: the failure
  /// score plus, unless healthy, the ejections since the back-off was reset.
  [[nodiscard]] double severity();

private:
  void eject();
  void recover();
  void recordHealthy(MinionOutcome Outcome);
  void recordProbe(MinionOutcome Outcome);
  void endProbe(Ticket Started);

  Clock Now_;
  HealthState State_ = HealthState::Healthy;
  /// Incremented by each ejection and recovery.
  Ticket Generation_ = 1;
  /// Exponentially weighted failure rate, 0 to 1.
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

/// \brief Ids of the agents whose ejection a home follows: at most a third of
/// the \p Total minions of the service, the worst first.
[[nodiscard]] std::vector<std::string>
limitEjections(std::vector<EjectedMinion> Ejected, std::size_t Total);

} // namespace wigeonwall::request

#endif
