#include "wigeonwall/request/admission.h"

#include <algorithm>

namespace wigeonwall::request {

using detail::AdmissionView;
using detail::AdmittedKind;

namespace {

/// Minimum work counted per task, so that tasks without an expected run time
/// are limited as well.
constexpr Duration MinTaskWork = std::chrono::milliseconds(1);

/// Weight of a new queue delay in the moving average.
constexpr double DelayWeight = 0.2;

/// Maximum age of a queue delay that is used. Without this limit, a kind whose
/// jobs are all refused would get no new measurements and stay refused.
constexpr Duration DelayLifetime = std::chrono::seconds(2);

/// Tasks per slot of the service below which a home refuses no job because of
/// its share. A single job of 170 tasks exceeds the part of one home: in a
/// simulation of 11 homes at 70% load, a limit of 3 refused up to 5% of the
/// jobs of up to 170 tasks, and a limit of 5 up to 2%. During a flood, the p99
/// answer times of the other kinds were similar with both.
constexpr double ShortQueueLoad = 5.0;

Duration workOf(unsigned Tasks, Duration Work) {
  return std::max(Work, MinTaskWork * Tasks);
}

/// This home's part of a limit that is given per slot.
Duration homePart(Duration PerSlot, const ServiceCapacity &Capacity) {
  return PerSlot * Capacity.Slots_ / std::max(1U, Capacity.Homes_);
}

/// Expected queue delay, if there is a recent measurement.
std::optional<Duration> recentDelay(const AdmittedKind &Kind, TimePoint Now) {
  if (Kind.QueueDelay_ && Now - Kind.QueueDelayAt_ <= DelayLifetime)
    return Kind.QueueDelay_;
  return std::nullopt;
}

/// Expected time until the last task of the job ends, at the earliest.
Duration completionTime(const AdmissionView &View) {
  const Duration Delay =
      recentDelay(View.Kind_, View.Now_).value_or(Duration::zero());
  const Duration OnAllSlots =
      View.Request_.Work_ / std::max(1U, View.Capacity_.Slots_);
  return Delay + std::max(View.Request_.LongestRun_, OnAllSlots);
}

Reason checkShare(const AdmissionView &View) {
  if (View.Now_ + completionTime(View) > View.Request_.Deadline_)
    return Reason::DeadlineUnreachable;
  const auto Share = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(
          homePart(ShareLimit, View.Capacity_)) *
      View.Kind_.Share_);
  // One job of many tasks can exceed this home's part although its kind is far
  // below its share of the service, so the largest job is not counted.
  const Duration WithoutLargest =
      View.Kind_.WorkInFlight_ -
      std::min(View.Kind_.LargestJob_, View.Kind_.WorkInFlight_);
  if (WithoutLargest < Share ||
      View.TotalWork_ < homePart(LendingLimit, View.Capacity_) ||
      View.QueuesAreShort_)
    return Reason::None;
  return Reason::Overloaded;
}

} // namespace

AdmissionController::AdmissionController(AdmissionPolicy Policy,
                                         ServiceCapacity Capacity,
                                         const std::vector<KindPolicy> &Kinds,
                                         const std::vector<TeamQuota> &Teams,
                                         Clock Now, LoadEstimate Load)
    : Capacity_(Capacity), Now_(std::move(Now)),
      EstimateLoad_(std::move(Load)) {
  if (Policy == AdmissionPolicy::Share)
    CheckLoad_ = checkShare;
  else
    CheckLoad_ = [](const AdmissionView &) { return Reason::None; };
  setPolicies(Kinds, Teams);
}

Reason AdmissionController::admit(const AdmissionRequest &Request) {
  const auto Found = Kinds_.find(Request.Kind_);
  if (Found == Kinds_.end() || Found->second.Removed_)
    return Reason::UnknownKind;
  AdmittedKind &Kind = Found->second;
  if (Kind.Policy_.QueueLimit_ == 0)
    return Reason::LimitIsZero;
  if (const Reason Refusal = checkTeam(Request); Refusal != Reason::None)
    return Refusal;
  const bool QueuesAreShort = EstimateLoad_ && EstimateLoad_() < ShortQueueLoad;
  if (const Reason Refusal = CheckLoad_(
          {Request, Kind, Capacity_, TotalWork_, QueuesAreShort, Now_()});
      Refusal != Reason::None)
    return Refusal;
  const Duration Work = workOf(Request.Tasks_, Request.Work_);
  Kind.TasksInFlight_ += Request.Tasks_;
  Kind.WorkInFlight_ += Work;
  Kind.LargestJob_ = std::max(Kind.LargestJob_, Work);
  TotalWork_ += Work;
  Teams_[Request.Team_].TasksInFlight_ += Request.Tasks_;
  return Reason::None;
}

Reason AdmissionController::checkTeam(const AdmissionRequest &Request) const {
  const auto Found = Teams_.find(Request.Team_);
  if (Found == Teams_.end() || Found->second.Removed_)
    return Reason::UnknownTeam;
  const Team &Team = Found->second;
  if (Team.Quota_ == 0)
    return Reason::LimitIsZero;
  if (Request.Tasks_ > Team.Quota_)
    return Reason::TooManyTasks;
  // Tasks_ is at most Quota_ here, so the subtraction cannot wrap. The tasks in
  // flight can exceed a quota that was lowered.
  if (Team.TasksInFlight_ > Team.Quota_ - Request.Tasks_)
    return Reason::QuotaExceeded;
  return Reason::None;
}

void AdmissionController::release(const std::string &KindName,
                                  const std::string &TeamName, unsigned Tasks,
                                  Duration Work) {
  if (const auto Found = Kinds_.find(KindName); Found != Kinds_.end()) {
    AdmittedKind &Kind = Found->second;
    Kind.TasksInFlight_ -= std::min(Kind.TasksInFlight_, Tasks);
    // The last task releases all remaining work, so that rounding errors do not
    // accumulate.
    const Duration Freed =
        Kind.TasksInFlight_ == 0
            ? Kind.WorkInFlight_
            : std::min(Kind.WorkInFlight_, workOf(Tasks, Work));
    Kind.WorkInFlight_ -= Freed;
    if (Kind.TasksInFlight_ == 0)
      Kind.LargestJob_ = Duration::zero();
    TotalWork_ -= Freed;
    if (Kind.Removed_ && Kind.TasksInFlight_ == 0)
      Kinds_.erase(Found);
  }
  if (const auto Found = Teams_.find(TeamName); Found != Teams_.end()) {
    Team &Team = Found->second;
    Team.TasksInFlight_ -= std::min(Team.TasksInFlight_, Tasks);
    if (Team.Removed_ && Team.TasksInFlight_ == 0)
      Teams_.erase(Found);
  }
}

void AdmissionController::recordQueueDelay(const std::string &Kind,
                                           Duration Delay) {
  const auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return;
  AdmittedKind &Entry = Found->second;
  const TimePoint Now = Now_();
  const Duration Mean = recentDelay(Entry, Now).value_or(Delay);
  Entry.QueueDelay_ =
      Mean +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::nano>(Delay - Mean) * DelayWeight);
  Entry.QueueDelayAt_ = Now;
}

void AdmissionController::setPolicies(const std::vector<KindPolicy> &Kinds,
                                      const std::vector<TeamQuota> &Teams) {
  for (auto &[Name, Kind] : Kinds_)
    Kind.Removed_ = true;
  for (const KindPolicy &Policy : Kinds) {
    AdmittedKind &Kind = Kinds_[Policy.Name_];
    Kind.Policy_ = Policy;
    Kind.Removed_ = false;
  }
  for (auto &[Name, Team] : Teams_)
    Team.Removed_ = true;
  for (const TeamQuota &Quota : Teams) {
    Team &Team = Teams_[Quota.Name_];
    Team.Quota_ = Quota.MaxTasksInFlight_;
    Team.Removed_ = false;
  }
  const auto IsUnused = [](const auto &Entry) {
    return Entry.second.Removed_ && Entry.second.TasksInFlight_ == 0;
  };
  std::erase_if(Kinds_, IsUnused);
  std::erase_if(Teams_, IsUnused);
  assignShares();
}

void AdmissionController::assignShares() {
  ShareTotals Totals;
  for (const auto &[Name, Kind] : Kinds_)
    if (!Kind.Removed_)
      Totals.add(Kind.Policy_);
  for (auto &[Name, Kind] : Kinds_)
    Kind.Share_ = Kind.Removed_ ? 0.0 : Totals.shareOf(Kind.Policy_);
}

} // namespace wigeonwall::request
