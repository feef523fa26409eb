#include "wigeonwall/request/fleet_view.h"

#include "wigeonwall/request/placement_explanation.h"

#include <algorithm>
#include <limits>

namespace wigeonwall::request {

namespace {

/// Range of the random term of the score, which breaks near ties. Predictions
/// are not more accurate than this.
constexpr double TieSeconds = 0.008;

/// Share of the slack that placement uses; the rest covers estimation errors.
constexpr double UsableSlack = 0.9;

/// Penalty of an agent on which the task has just failed.
constexpr double AvoidPenaltySeconds = 10.0;

/// Number of agents per task in one round of queries. On a fleet in use to 70%,
/// about one slot is free at each agent.
constexpr std::size_t QueriesPerTask = 2;
/// Minimum number of agents outside the preferred rack in one round.
constexpr std::size_t MinQueries = 4;

bool contains(const std::vector<std::string> &Labels,
              const std::string &Label) {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

} // namespace

PlacementMaxima maximaOf(const std::vector<TaskPlacement> &Places) {
  PlacementMaxima Result;
  for (const TaskPlacement &Each : Places) {
    Result.Finish_ = std::max(Result.Finish_, Each.Finish_);
    Result.Wait_ = std::max(Result.Wait_, Each.Wait_);
  }
  return Result;
}

void FleetView::onReport(const std::string &Name, AgentReport Report) {
  Agent &Known = Agents_[Name];
  while (!Known.Unreported_.empty() &&
         Known.Unreported_.front().Sequence_ <= Report.Included_)
    Known.Unreported_.pop_front();
  Known.Report_ = std::move(Report);
  Known.ReportedAt_ = Now_();
  if (Known.QueriedAt_ != TimePoint())
    Known.AnsweredAt_ = Now_();
  Known.QueriedAt_ = {};
}

Exclusion FleetView::exclusionOf(const BatchJob &Job,
                                 const std::string &Service,
                                 const AgentReport &Report) const {
  if (EvacuatedDomains_.count(Report.FailureDomain_) != 0)
    return Exclusion::Evacuated;
  if (!Report.Accepting_)
    return Exclusion::NotAccepting;
  if (Report.Service_ != Service)
    return Exclusion::OtherService;
  if (!Job.RequiredLabel_.empty() &&
      !contains(Report.Labels_, Job.RequiredLabel_))
    return Exclusion::LabelMissing;
  return Job.Needs_.fitsIn(Report.Capacity_) ? Exclusion::None
                                             : Exclusion::TooSmall;
}

bool FleetView::isSuitable(const BatchJob &Job, const std::string &Service,
                           const AgentReport &Report) const {
  return exclusionOf(Job, Service, Report) == Exclusion::None;
}

bool FleetView::isCurrent(const Agent &Known) const {
  return Known.Report_.ReportsChanges_ ||
         Now_() - Known.AnsweredAt_ <= Options_.MaxReportAge_;
}

void FleetView::remove(const std::string &Name) { Agents_.erase(Name); }

void FleetView::onTaskSent(const std::string &Name, std::uint64_t Sequence,
                           const Resources &Needs, Duration Expected) {
  const auto Found = Agents_.find(Name);
  if (Found == Agents_.end())
    return;
  Found->second.Unreported_.push_back(
      {Sequence, Needs,
       static_cast<double>(Needs.CpuMillicores_) * toSeconds(Expected),
       Expected, Now_()});
}

double FleetView::Candidate::cpuUtilization() const {
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Report_->Capacity_.CpuMillicores_));
  return 1.0 - static_cast<double>(Free_.CpuMillicores_) / Capacity;
}

Duration FleetView::Candidate::wait(const Resources &Needs) const {
  if (!Profile_.empty())
    return Profile_.wait();
  if (Needs.fitsIn(Free_) && BaseWait_ == Duration::zero())
    return Duration::zero();
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Report_->Capacity_.CpuMillicores_));
  // The report predicts no wait for a minion that was free at that time. If it
  // is full by now, the first of its many runs ends after about a quarter of a
  // run time.
  const Duration FirstEnd =
      BaseWait_ == Duration::zero() ? Expected_ / 4 : BaseWait_;
  return FirstEnd + fromSeconds(ExtraMillicoreSeconds_ / Capacity);
}

std::vector<std::string> FleetView::agentsToQuery(const BatchJob &Job,
                                                  const std::string &Service,
                                                  std::uint32_t Count) {
  const TimePoint Now = Now_();
  const std::size_t Limit = std::max(MinQueries, QueriesPerTask * Count);
  std::vector<std::pair<const std::string, Agent> *> InRack;
  std::vector<std::pair<const std::string, Agent> *> Others;
  for (auto &Each : Agents_) {
    Agent &Known = Each.second;
    const bool Unanswered = Known.QueriedAt_ != TimePoint() &&
                            Now - Known.QueriedAt_ > Options_.QueryTimeout_;
    if (Unanswered || isCurrent(Known) ||
        !isSuitable(Job, Service, Known.Report_))
      continue;
    const bool Preferred = !Job.PreferredRack_.empty() &&
                           contains(Known.Report_.Labels_, Job.PreferredRack_);
    (Preferred ? InRack : Others).push_back(&Each);
  }
  std::vector<std::string> Result;
  const auto TakeSample = [&](auto &From, std::size_t Most) {
    for (std::size_t I = 0; I < From.size() && I < Most; ++I) {
      const auto Remaining = static_cast<double>(From.size() - I);
      const auto Chosen = std::min(
          From.size() - 1, I + static_cast<std::size_t>(Random_() * Remaining));
      std::swap(From[I], From[Chosen]);
      From[I]->second.QueriedAt_ = Now;
      Result.push_back(From[I]->first);
    }
  };
  TakeSample(InRack, Limit);
  TakeSample(Others, InRack.empty() ? Limit : MinQueries);
  return Result;
}

bool FleetView::canStartAtOnce(const BatchJob &Job,
                               const std::vector<TaskPlacement> &Places) {
  return !Places.empty() &&
         std::all_of(Places.begin(), Places.end(),
                     [&](const TaskPlacement &Each) {
                       return Each.Wait_ == Duration::zero() &&
                              Each.Expected_ <= Job.Estimate_;
                     });
}

std::vector<FleetView::Candidate> FleetView::candidates(
    const BatchJob &Job, const std::string &Service, Duration Slack,
    const std::map<std::string, std::uint32_t> &Placed) const {
  std::vector<Candidate> Result;
  Result.reserve(Agents_.size());
  const TimePoint Now = Now_();
  for (const auto &[Name, Known] : Agents_) {
    const AgentReport &Report = Known.Report_;
    if (!isCurrent(Known) || !isSuitable(Job, Service, Report))
      continue;
    Candidate &Next = Result.emplace_back();
    Next.Name_ = Name;
    Next.Report_ = &Report;
    Next.TasksAllowed_ = std::numeric_limits<std::uint32_t>::max();
    if (Job.MaxPerMinion_ != 0) {
      const auto Found = Placed.find(Name);
      const std::uint32_t Used = Found == Placed.end() ? 0 : Found->second;
      Next.TasksAllowed_ =
          Job.MaxPerMinion_ - std::min(Used, Job.MaxPerMinion_);
    }
    Next.Free_ = Report.Free_;
    for (const UnreportedTask &Task : Known.Unreported_) {
      if (Task.Needs_.fitsIn(Next.Free_))
        Next.Free_ -= Task.Needs_;
      else
        Next.ExtraMillicoreSeconds_ += Task.MillicoreSeconds_;
    }
    const bool Remote = !Job.PreferredRack_.empty() &&
                        !contains(Report.Labels_, Job.PreferredRack_);
    Next.Expected_ = fromSeconds(toSeconds(Job.Estimate_) *
                                 (Remote ? Options_.RemotePenalty_ : 1.0));
    Next.BaseWait_ = Report.Waits_[slackClass(Slack)];
    // The profile has no GPUs.
    if (Options_.LookAhead_ && Job.Needs_.Gpus_ == 0 &&
        !Report.Profile_.empty()) {
      Next.Profile_ =
          detail::PlacementProfile(Report.Profile_, Now - Known.ReportedAt_);
      for (const UnreportedTask &Task : Known.Unreported_)
        Next.Profile_.addSent(
            Task.Needs_,
            fromSeconds(toSeconds(Task.Expected_) * Report.Slowness_),
            Now - Task.SentAt_);
      Next.Profile_.predict(Job.Needs_, Next.runTime());
    }
  }
  return Result;
}

std::vector<TaskPlacement>
FleetView::place(const BatchJob &Job, const std::string &Service,
                 std::uint32_t Count, Duration Slack, const std::string &Avoid,
                 const std::map<std::string, std::uint32_t> &Placed) {
  std::vector<Candidate> Choices = candidates(Job, Service, Slack, Placed);
  std::vector<TaskPlacement> Result;
  const Duration OnTime =
      Job.Estimate_ + fromSeconds(UsableSlack * toSeconds(Slack));
  for (std::uint32_t I = 0; I < Count; ++I) {
    Candidate *Best = nullptr;
    double BestScore = 0;
    for (Candidate &Choice : Choices) {
      if (Choice.TasksAllowed_ == 0)
        continue;
      const TaskPrediction Prediction{
          Choice.wait(Job.Needs_),
          fromSeconds(toSeconds(Choice.Expected_) * Choice.Report_->Slowness_),
          Choice.cpuUtilization()};
      const double Score = Cost_.seconds(Prediction, OnTime) +
                           Random_() * TieSeconds +
                           (Choice.Name_ == Avoid ? AvoidPenaltySeconds : 0.0);
      if (Best == nullptr || Score < BestScore) {
        Best = &Choice;
        BestScore = Score;
      }
    }
    if (Best == nullptr)
      return {};
    TaskPlacement Placement;
    Placement.Agent_ = Best->Name_;
    Placement.Expected_ = Best->Expected_;
    Placement.Wait_ = Best->wait(Job.Needs_);
    Placement.Finish_ =
        Placement.Wait_ +
        fromSeconds(toSeconds(Best->Expected_) * Best->Report_->Slowness_);
    Result.push_back(Placement);
    --Best->TasksAllowed_;
    if (!Best->Profile_.empty()) {
      Best->Profile_.addPredicted(Job.Needs_, Best->runTime());
      Best->Profile_.predict(Job.Needs_, Best->runTime());
    }
    if (Job.Needs_.fitsIn(Best->Free_))
      Best->Free_ -= Job.Needs_;
    else
      Best->ExtraMillicoreSeconds_ +=
          static_cast<double>(Job.Needs_.CpuMillicores_) *
          toSeconds(Best->Expected_) * Best->Report_->Slowness_;
  }
  return Result;
}

} // namespace wigeonwall::request
