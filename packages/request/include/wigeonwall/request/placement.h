/// \file
/// \brief Placement of the tasks of a job on agents.
#ifndef WIGEONWALL_REQUEST_PLACEMENT_H
#define WIGEONWALL_REQUEST_PLACEMENT_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief Strategy for choosing an agent among the candidates.
enum class PlacementPolicy : std::uint8_t {
  Random,
  /// The less loaded of two randomly chosen agents.
  TwoChoices,
  LeastLoaded,
};

inline constexpr std::array<EnumName<PlacementPolicy>, 3> PlacementPolicyNames{{
    {PlacementPolicy::Random, "random"},
    {PlacementPolicy::TwoChoices, "two_choices"},
    {PlacementPolicy::LeastLoaded, "least_loaded"},
}};

/// \brief An agent that may be chosen.
struct PlacementCandidate {
  /// Index in the load table.
  std::size_t Agent_ = 0;
  /// Estimated number of tasks at the agent, queued and running.
  double Tasks_ = 0.0;
  double Slots_ = 1.0;

  /// \brief Tasks per slot after adding one task.
  [[nodiscard]] double loadWithOneMore() const noexcept {
    return (Tasks_ + 1.0) / Slots_;
  }
};

using RandomEngine = std::mt19937_64;

/// \brief Returns the index of the chosen candidate; there is at least one.
using PlacementFunction = std::function<std::size_t(
    const std::vector<PlacementCandidate> &, RandomEngine &)>;

/// \brief Returns the placement function of a policy.
[[nodiscard]] PlacementFunction makePlacementFunction(PlacementPolicy Policy);

/// \brief Load and state of one agent as known to a home.
struct AgentStatus {
  std::string Id_;
  /// Tasks that this home has placed there and that have not ended.
  std::uint32_t InFlight_ = 0;
  /// Tasks of InFlight_ that are not included in a report of the agent yet.
  std::uint32_t Unreported_ = 0;
  AgentLoad Load_;
  /// Time of Load_; valid if Reported_ is true.
  TimePoint ReportedAt_;
  bool Reported_ = false;
  bool Ejected_ = false;
  bool Usable_ = true;
};

/// \brief Load table of one service at one home, and placement of its tasks.
///
/// \code
///   for (const std::string &Agent : Placer.choose(Job.Tasks_.size()))
///     send(Agent, NextTask++);
///   Placer.acknowledge(Agent, Count, Load); // reply to task.start
///   Placer.report(Agent, Load);             // with task.results
///   Placer.finish(Agent, Count);
/// \endcode
class Placer {
public:
  /// \p Choose comes from makePlacementFunction().
  Placer(PlacementFunction Choose, Clock Now, std::uint64_t Seed);

  /// \brief Replaces the set of agents; those already known keep their state.
  void setAgents(const std::set<std::string> &Ids);
  /// \brief Marks an agent as usable or not. An unusable one (dead or draining)
  /// is never chosen.
  void setUsable(const std::string &Id, bool Usable);
  /// \brief Marks exactly \p Ids as ejected; see limitEjections().
  void setEjected(const std::set<std::string> &Ids);

  /// \brief Chooses agents for \p Count tasks and counts them as in flight.
  ///
  /// Ejected agents are chosen only if there are no others. Returns an empty
  /// list if no usable agent is outside \p Excluded.
  [[nodiscard]] std::vector<std::string>
  choose(std::size_t Count, const std::set<std::string> &Excluded = {});

  /// \brief Records a load that is not part of a reply to a start, such as one
  /// sent with task results.
  void report(const std::string &Id, const AgentLoad &Load);
  /// \brief Records the load in the reply to a start of \p Count tasks.
  ///
  /// \p Count includes queued and refused tasks; \p Load includes the queued
  /// ones. finish() must still be called for the refused ones.
  void acknowledge(const std::string &Id, std::uint32_t Count,
                   const AgentLoad &Load);
  /// \brief Records that \p Count tasks ended or were refused.
  void finish(const std::string &Id, std::uint32_t Count);
  /// \brief Records that \p Count placed tasks were never sent or never
  /// acknowledged.
  void withdraw(const std::string &Id, std::uint32_t Count);

  [[nodiscard]] const std::vector<AgentStatus> &agents() const noexcept {
    return Agents_;
  }
  /// \brief Estimated tasks per slot of all usable agents; 0 if there are none.
  [[nodiscard]] double meanLoad() const;

private:
  [[nodiscard]] AgentStatus *find(const std::string &Id);
  [[nodiscard]] PlacementCandidate estimate(std::size_t Agent,
                                            const PlacementCandidate &Mean,
                                            TimePoint Now) const;
  [[nodiscard]] PlacementCandidate meanAgent(TimePoint Now) const;
  [[nodiscard]] std::vector<PlacementCandidate>
  candidates(const std::set<std::string> &Excluded, bool Ejected) const;

  PlacementFunction Choose_;
  Clock Now_;
  RandomEngine Random_;
  /// Sorted by id.
  std::vector<AgentStatus> Agents_;
};

} // namespace wigeonwall::request

#endif
