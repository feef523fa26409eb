#include "wigeonwall/request/fleet_view.h"

#include <algorithm>
#include <limits>

namespace wigeonwall::request {

namespace {

/// Predicted ends this close are equal; the prediction is no better than that.
constexpr double TieSeconds = 0.008;

/// Weights of a predicted wait and of a late end against run time. A free slow
/// minion goes before a queue at a fast one as long as the task is on time
/// there; otherwise slow minions would idle while queues grow.
constexpr double WaitWeight = 4.0;
constexpr double LateWeight = 10.0;

/// Added to the score of a full minion, as a share of the run time. Spreads a
/// job over minions with room, so that jobs of other entries that arrive
/// within the delay of a report seldom meet on one of them.
constexpr double FillWeight = 0.5;

/// Share of the slack that is planned with; the rest covers wrong estimates.
constexpr double PlannedSlack = 0.9;

/// Added to the predicted end of a task on an agent that just failed it.
constexpr double AvoidSeconds = 10.0;

bool contains(const std::vector<std::string> &Labels,
              const std::string &Label) {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

} // namespace

void FleetView::onReport(const std::string &Name, AgentReport Report) {
  Agent &Which = Agents_[Name];
  while (!Which.Unseen_.empty() &&
         Which.Unseen_.front().Sequence_ <= Report.Included_)
    Which.Unseen_.pop_front();
  Which.Report_ = std::move(Report);
}

void FleetView::remove(const std::string &Name) { Agents_.erase(Name); }

void FleetView::onTaskSent(const std::string &Name, std::uint64_t Sequence,
                           const Resources &Needs, Duration Expected) {
  const auto Found = Agents_.find(Name);
  if (Found == Agents_.end())
    return;
  Found->second.Unseen_.push_back(
      {Sequence, Needs,
       static_cast<double>(Needs.CpuMillicores_) * toSeconds(Expected)});
}

double FleetView::Candidate::fill() const {
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Report_->Capacity_.CpuMillicores_));
  return 1.0 - static_cast<double>(Free_.CpuMillicores_) / Capacity;
}

Duration FleetView::Candidate::wait(const Resources &Needs) const {
  if (Needs.fitsIn(Free_) && BaseWait_ == Duration::zero())
    return Duration::zero();
  const double Capacity = static_cast<double>(
      std::max<std::int64_t>(1, Report_->Capacity_.CpuMillicores_));
  // Without a forecast for a minion that was free in the report, a full one
  // takes about a quarter of a run until the first of many ends.
  const Duration First =
      BaseWait_ == Duration::zero() ? Expected_ / 4 : BaseWait_;
  return First + fromSeconds(ExtraMillicoreSeconds_ / Capacity);
}

std::vector<FleetView::Candidate> FleetView::candidates(
    const BatchJob &Job, const std::string &Service, Duration Slack,
    const std::map<std::string, std::uint32_t> &Placed) const {
  std::vector<Candidate> Result;
  for (const auto &[Name, Each] : Agents_) {
    const AgentReport &Report = Each.Report_;
    if (!Report.Accepting_ || Report.Service_ != Service ||
        !Job.Needs_.fitsIn(Report.Capacity_))
      continue;
    if (!Job.RequiredLabel_.empty() &&
        !contains(Report.Labels_, Job.RequiredLabel_))
      continue;
    Candidate Next;
    Next.Name_ = Name;
    Next.Report_ = &Report;
    Next.Room_ = std::numeric_limits<std::uint32_t>::max();
    if (Job.MaxPerMinion_ != 0) {
      const auto There = Placed.find(Name);
      const std::uint32_t Used = There == Placed.end() ? 0 : There->second;
      Next.Room_ = Job.MaxPerMinion_ - std::min(Used, Job.MaxPerMinion_);
    }
    Next.Free_ = Report.Free_;
    for (const UnseenOrder &Order : Each.Unseen_) {
      if (Order.Needs_.fitsIn(Next.Free_))
        Next.Free_ -= Order.Needs_;
      else
        Next.ExtraMillicoreSeconds_ += Order.MillicoreSeconds_;
    }
    const bool Remote = !Job.PreferredRack_.empty() &&
                        !contains(Report.Labels_, Job.PreferredRack_);
    Next.Expected_ = fromSeconds(toSeconds(Job.Estimate_) *
                                 (Remote ? Options_.RemotePenalty_ : 1.0));
    Next.BaseWait_ = Report.Waits_[slackClass(Slack)];
    Result.push_back(std::move(Next));
  }
  return Result;
}

std::vector<TaskPlacement>
FleetView::place(const BatchJob &Job, const std::string &Service,
                 std::uint32_t Count, Duration Slack, const std::string &Avoid,
                 const std::map<std::string, std::uint32_t> &Placed) {
  std::vector<Candidate> Choices = candidates(Job, Service, Slack, Placed);
  std::vector<TaskPlacement> Result;
  const double OnTime =
      toSeconds(Job.Estimate_) + PlannedSlack * toSeconds(Slack);
  for (std::uint32_t I = 0; I < Count; ++I) {
    Candidate *Best = nullptr;
    double BestScore = 0;
    for (Candidate &Each : Choices) {
      if (Each.Room_ == 0)
        continue;
      const double Wait = toSeconds(Each.wait(Job.Needs_));
      const double RunTime =
          toSeconds(Each.Expected_) * Each.Report_->Slowness_;
      const double Late = std::max(0.0, Wait + RunTime - OnTime);
      const double Score = LateWeight * Late + WaitWeight * Wait +
                           RunTime * (1.0 + FillWeight * Each.fill()) +
                           Draw_() * TieSeconds +
                           (Each.Name_ == Avoid ? AvoidSeconds : 0.0);
      if (Best == nullptr || Score < BestScore) {
        Best = &Each;
        BestScore = Score;
      }
    }
    if (Best == nullptr)
      return {};
    TaskPlacement Place;
    Place.Agent_ = Best->Name_;
    Place.Expected_ = Best->Expected_;
    Place.Wait_ = Best->wait(Job.Needs_);
    Place.Finish_ = Place.Wait_ + fromSeconds(toSeconds(Best->Expected_) *
                                              Best->Report_->Slowness_);
    Result.push_back(Place);
    --Best->Room_;
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
