/// \file
/// \brief Early refusal of jobs at a home.
///
/// Under AdmissionPolicy::Share each kind has a share of the home's capacity:
/// its guarantee plus its weighted part of what no guarantee covers. A kind
/// within its share is admitted whatever the others do. Beyond it, a kind may
/// use what the others leave unused.
#ifndef WIGEONWALL_REQUEST_ADMISSION_H
#define WIGEONWALL_REQUEST_ADMISSION_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/kind_policy.h"
#include "wigeonwall/request/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief Whether load leads to refusals.
enum class AdmissionPolicy : std::uint8_t {
  /// Refuses only what can never run or exceeds a quota; the baseline.
  None,
  /// Also refuses beyond the shares and when the deadline is out of reach.
  Share,
};

inline constexpr std::array<EnumName<AdmissionPolicy>, 2> AdmissionPolicyNames{{
    {AdmissionPolicy::None, "none"},
    {AdmissionPolicy::Share, "share"},
}};

/// \brief Work in flight per slot below which a kind may exceed its share.
inline constexpr Duration LendingLimit = std::chrono::seconds(1);

/// \brief Work in flight per slot that all shares together allow.
///
/// Few jobs are in flight at one home, so that their number varies widely. In a
/// simulation of 11 homes with jobs of up to 8 tasks and a flood of one kind,
/// 1 s refused up to 4% of the jobs of the other kinds, and 3 s none.
inline constexpr Duration ShareLimit = std::chrono::seconds(3);

/// \brief Slots of the service and the homes that admit jobs for them.
struct ServiceCapacity {
  unsigned Slots_ = 0;
  /// Each home admits its equal part.
  unsigned Homes_ = 1;
};

/// \brief Bound of a team.
struct TeamQuota {
  std::string Name_;
  /// Most tasks in flight at this home; 0 refuses the team.
  unsigned MaxTasksInFlight_ = 0;
};

/// \brief What admission needs to know of a job.
struct AdmissionRequest {
  std::string Kind_;
  std::string Team_;
  unsigned Tasks_ = 0;
  /// Sum and maximum of the expected run times of the tasks.
  Duration Work_{0};
  Duration LongestRun_{0};
  TimePoint Deadline_;
};

namespace detail {

/// Work and limits of one kind at this home.
struct AdmittedKind {
  KindPolicy Policy_;
  bool Removed_ = false;
  /// Part of the capacity, 0 to 1.
  double Share_ = 0.0;
  unsigned TasksInFlight_ = 0;
  Duration WorkInFlight_{0};
  /// Largest job admitted since the kind had no task in flight.
  Duration LargestJob_{0};
  /// Mean of the measured queue delays; nothing before the first.
  std::optional<Duration> QueueDelay_;
  TimePoint QueueDelayAt_;
};

/// What a policy decides on.
struct AdmissionView {
  const AdmissionRequest &Request_;
  const AdmittedKind &Kind_;
  ServiceCapacity Capacity_;
  Duration TotalWork_{0};
  /// Whether the queues of the service are known to be short.
  bool QueuesAreShort_ = false;
  TimePoint Now_;
};

} // namespace detail

/// \brief Admits or refuses the jobs of one service at one home.
///
/// \code
///   if (const Reason Why = Admission.admit(Request); Why != Reason::None)
///     return refuse(Why);
///   Admission.release(Kind, Team, 1, ExpectedRun); // as each task ends
/// \endcode
class AdmissionController {
public:
  /// \brief Estimated tasks per slot of the service, see Placer::meanLoad().
  using LoadEstimate = std::function<double()>;

  /// Without \p Load the service counts as busy, so that only the work at this
  /// home decides. It is then at most LendingLimit plus ShareLimit per slot,
  /// plus two jobs for each kind.
  AdmissionController(AdmissionPolicy Policy, ServiceCapacity Capacity,
                      const std::vector<KindPolicy> &Kinds,
                      const std::vector<TeamQuota> &Teams, Clock Now,
                      LoadEstimate Load = {});

  /// \brief Decides on a job and counts it when it is admitted.
  ///
  /// Returns None or the reason of the refusal: UnknownKind, UnknownTeam,
  /// LimitIsZero and TooManyTasks for a job that can never run, otherwise
  /// QuotaExceeded, DeadlineUnreachable or Overloaded.
  [[nodiscard]] Reason admit(const AdmissionRequest &Request);

  /// \brief Ends the account of admitted tasks, one by one or by job.
  void release(const std::string &Kind, const std::string &Team, unsigned Tasks,
               Duration Work);

  /// \brief Notes how long a task of \p Kind waited for its slot.
  void recordQueueDelay(const std::string &Kind, Duration Delay);

  /// \brief Applies a new configuration version; keeps the accounts.
  void setPolicies(const std::vector<KindPolicy> &Kinds,
                   const std::vector<TeamQuota> &Teams);
  /// \brief Applies a change of the agents.
  void setCapacity(ServiceCapacity Capacity) { Capacity_ = Capacity; }

  [[nodiscard]] Duration workInFlight() const noexcept { return TotalWork_; }

private:
  struct Team {
    unsigned Quota_ = 0;
    unsigned TasksInFlight_ = 0;
    bool Removed_ = false;
  };

  void assignShares();
  [[nodiscard]] Reason checkTeam(const AdmissionRequest &Request) const;

  std::function<Reason(const detail::AdmissionView &)> Check_;
  ServiceCapacity Capacity_;
  Clock Now_;
  LoadEstimate Load_;
  std::map<std::string, detail::AdmittedKind> Kinds_;
  std::map<std::string, Team> Teams_;
  Duration TotalWork_{0};
};

} // namespace wigeonwall::request

#endif
