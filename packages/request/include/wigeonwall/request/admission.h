/// \file
/// \brief Admission control at a home, the agent that coordinates a job.
///
/// Under AdmissionPolicy::Share each kind has a share of the home's capacity:
/// its guarantee plus its weighted part of the capacity that no guarantee
/// covers. A kind within its share is admitted regardless of the load of other
/// kinds. Above its share, it may use capacity that the others leave idle.
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

/// \brief Whether jobs are refused because of load.
enum class AdmissionPolicy : std::uint8_t {
  /// Refuses only jobs that can never run or that exceed a quota. The baseline
  /// for comparisons.
  None,
  /// Also refuses jobs above the share of their kind, and jobs that cannot meet
  /// their deadline.
  Share,
};

inline constexpr std::array<EnumName<AdmissionPolicy>, 2> AdmissionPolicyNames{{
    {AdmissionPolicy::None, "none"},
    {AdmissionPolicy::Share, "share"},
}};

/// \brief Total work in flight per slot below which a kind may exceed its
/// share.
inline constexpr Duration LendingLimit = std::chrono::seconds(1);

/// \brief Work in flight per slot that the shares of all kinds allow together.
///
/// A home has few jobs in flight, so their number varies widely. In a
/// simulation of 11 homes with jobs of up to 8 tasks and a flood of one kind, a
/// limit of 1 s refused up to 4% of the jobs of the other kinds; 3 s refused
/// none.
inline constexpr Duration ShareLimit = std::chrono::seconds(3);

/// \brief Slots of a service and the number of homes that share them.
struct ServiceCapacity {
  unsigned Slots_ = 0;
  /// Each home admits an equal part of the capacity.
  unsigned Homes_ = 1;
};

/// \brief Limit on the tasks of a team.
struct TeamQuota {
  std::string Name_;
  /// Maximum number of tasks in flight at this home; 0 refuses the team.
  unsigned MaxTasksInFlight_ = 0;
};

/// \brief Properties of a job that admission depends on.
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

/// Admitted work and limits of one kind at this home.
struct AdmittedKind {
  KindPolicy Policy_;
  bool Removed_ = false;
  /// Share of the capacity, 0 to 1.
  double Share_ = 0.0;
  unsigned TasksInFlight_ = 0;
  Duration WorkInFlight_{0};
  /// Largest job admitted since the kind last had no task in flight.
  Duration LargestJob_{0};
  /// Moving average of the measured queue delays; empty before the first.
  std::optional<Duration> QueueDelay_;
  TimePoint QueueDelayAt_;
};

/// Input of a policy's decision.
struct AdmissionView {
  const AdmissionRequest &Request_;
  const AdmittedKind &Kind_;
  ServiceCapacity Capacity_;
  Duration TotalWork_{0};
  /// True if the queues of the service are known to be short.
  bool QueuesAreShort_ = false;
  TimePoint Now_;
};

} // namespace detail

/// \brief Admits or refuses the jobs of one service at one home.
///
/// \code
///   if (const Reason Refusal = Admission.admit(Request);
///       Refusal != Reason::None)
///     return refuse(Refusal);
///   Admission.release(Kind, Team, 1, ExpectedRun); // as each task ends
/// \endcode
class AdmissionController {
public:
  /// \brief Estimated tasks per slot of the service, see Placer::meanLoad().
  using LoadEstimate = std::function<double()>;

  /// Without \p Load the service counts as busy and only the work in flight at
  /// this home decides. That work is then bounded by LendingLimit plus
  /// ShareLimit per slot, plus two jobs per kind.
  AdmissionController(AdmissionPolicy Policy, ServiceCapacity Capacity,
                      const std::vector<KindPolicy> &Kinds,
                      const std::vector<TeamQuota> &Teams, Clock Now,
                      LoadEstimate Load = {});

  /// \brief Decides on a job and counts its tasks if it is admitted.
  ///
  /// Returns None or the reason for the refusal: UnknownKind, UnknownTeam,
  /// LimitIsZero or TooManyTasks for a job that can never run, otherwise
  /// QuotaExceeded, DeadlineUnreachable or Overloaded.
  [[nodiscard]] Reason admit(const AdmissionRequest &Request);

  /// \brief Stops counting admitted tasks, one at a time or per job.
  void release(const std::string &Kind, const std::string &Team, unsigned Tasks,
               Duration Work);

  /// \brief Records how long a task of \p Kind waited for its slot.
  void recordQueueDelay(const std::string &Kind, Duration Delay);

  /// \brief Applies a new configuration version; keeps the counts of admitted
  /// tasks.
  void setPolicies(const std::vector<KindPolicy> &Kinds,
                   const std::vector<TeamQuota> &Teams);
  /// \brief Applies a change in the set of agents.
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

  std::function<Reason(const detail::AdmissionView &)> CheckLoad_;
  ServiceCapacity Capacity_;
  Clock Now_;
  LoadEstimate EstimateLoad_;
  std::map<std::string, detail::AdmittedKind> Kinds_;
  std::map<std::string, Team> Teams_;
  Duration TotalWork_{0};
};

} // namespace wigeonwall::request

#endif
