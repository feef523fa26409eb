/// \file
/// \brief Explanation of where an entry would place the tasks of a job.
#ifndef WIGEONWALL_REQUEST_PLACEMENT_EXPLANATION_H
#define WIGEONWALL_REQUEST_PLACEMENT_EXPLANATION_H

#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/fleet_view.h"

namespace wigeonwall::request {

/// \brief Why an agent gets no task, or no further task, of a job.
enum class Exclusion : std::uint8_t {
  None,
  NotAccepting,
  /// The failure domain of the agent is evacuated.
  Evacuated,
  OtherService,
  LabelMissing,
  /// A task needs more than the whole minion.
  TooSmall,
  /// The entry would query the agent before it places the job.
  ReportTooOld,
  MaxPerMinion,
  /// Placement refused the agent for a reason that has no name here.
  Other,
};

inline constexpr std::array<EnumName<Exclusion>, 9> ExclusionNames{{
    {Exclusion::None, "none"},
    {Exclusion::NotAccepting, "not_accepting"},
    {Exclusion::Evacuated, "evacuated"},
    {Exclusion::OtherService, "other_service"},
    {Exclusion::LabelMissing, "label_missing"},
    {Exclusion::TooSmall, "too_small"},
    {Exclusion::ReportTooOld, "report_too_old"},
    {Exclusion::MaxPerMinion, "max_per_minion"},
    {Exclusion::Other, "other"},
}};

/// \brief An agent as placement sees it.
struct AgentExplanation {
  std::string Agent_;
  Exclusion Excluded_ = Exclusion::None;
  /// Prediction for the first task there; empty if it can get none.
  std::optional<TaskPlacement> First_;
  /// Number of tasks of the job that it would get.
  std::uint32_t Tasks_ = 0;
};

struct PlacementExplanation {
  /// In the order of their names.
  std::vector<AgentExplanation> Agents_;
  /// Place of each task; empty if any task has none.
  std::vector<TaskPlacement> Places_;
};

} // namespace wigeonwall::request

#endif
