/// \file
/// \brief Choice of agents for the tasks of a job.
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

/// \brief How an agent is chosen among the candidates.
enum class PlacementPolicy : std::uint8_t {
  Random,
  /// The less loaded of two agents at random.
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
  /// Position in the load table.
  std::size_t Agent_ = 0;
  /// Estimated tasks at the agent, queued and running.
  double Tasks_ = 0.0;
  double Slots_ = 1.0;

  /// \brief Tasks per slot after one more task.
  [[nodiscard]] double loadWithOneMore() const noexcept {
    return (Tasks_ + 1.0) / Slots_;
  }
};

using RandomEngine = std::mt19937_64;

/// \brief Returns the position of the chosen candidate; there is at least one.
using PlacementHook = std::function<std::size_t(
    const std::vector<PlacementCandidate> &, RandomEngine &)>;

/// \brief Returns the hook of a policy.
[[nodiscard]] PlacementHook makePlacementHook(PlacementPolicy Policy);

/// \brief What a home knows about one agent.
struct AgentEntry {
  std::string Id_;
  /// Tasks that this home placed and that have not ended.
  std::uint32_t InFlight_ = 0;
  /// Part of InFlight_ that no report of the agent contains yet.
  std::uint32_t Unreported_ = 0;
  AgentLoad Load_;
  /// Time of Load_; nothing is known before the first report.
  TimePoint ReportedAt_;
  bool Reported_ = false;
  bool Ejected_ = false;
  bool Usable_ = true;
};

/// \brief Load table and placement for one service at one home.
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
  /// \p Choose comes from makePlacementHook().
  Placer(PlacementHook Choose, Clock Now, std::uint64_t Seed);

  /// \brief Replaces the set of agents; known ones keep their entries.
  void setAgents(const std::set<std::string> &Ids);
  /// \brief An unusable agent (dead or draining) is never chosen.
  void setUsable(const std::string &Id, bool Usable);
  /// \brief Marks exactly \p Ids as ejected; see honouredEjections().
  void setEjected(const std::set<std::string> &Ids);

  /// \brief Chooses agents for \p Count tasks and counts them as in flight.
  ///
  /// Ejected agents are chosen only when no other is left. Returns an empty
  /// list when no agent is usable and not in \p Excluded.
  [[nodiscard]] std::vector<std::string>
  choose(std::size_t Count, const std::set<std::string> &Excluded = {});

  /// \brief Notes the load that an agent sent unasked, as with results.
  void report(const std::string &Id, const AgentLoad &Load);
  /// \brief Notes the load in the reply to a start of \p Count tasks, queued
  /// and refused ones; it contains the queued ones. Refused ones still need
  /// finish().
  void acknowledge(const std::string &Id, std::uint32_t Count,
                   const AgentLoad &Load);
  /// \brief Notes that \p Count tasks ended or were refused.
  void finish(const std::string &Id, std::uint32_t Count);
  /// \brief Notes that \p Count chosen tasks were never sent or never
  /// acknowledged.
  void withdraw(const std::string &Id, std::uint32_t Count);

  [[nodiscard]] const std::vector<AgentEntry> &agents() const noexcept {
    return Agents_;
  }
  /// \brief Estimated tasks per slot over all usable agents; 0 without any.
  [[nodiscard]] double meanLoad() const;

private:
  [[nodiscard]] AgentEntry *find(const std::string &Id);
  [[nodiscard]] PlacementCandidate estimate(std::size_t Agent,
                                            const PlacementCandidate &Mean,
                                            TimePoint Now) const;
  [[nodiscard]] PlacementCandidate freshMean(TimePoint Now) const;
  [[nodiscard]] std::vector<PlacementCandidate>
  candidates(const std::set<std::string> &Excluded, bool Ejected) const;

  PlacementHook Choose_;
  Clock Now_;
  RandomEngine Random_;
  /// By id.
  std::vector<AgentEntry> Agents_;
};

} // namespace wigeonwall::request

#endif
