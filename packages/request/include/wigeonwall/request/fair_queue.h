/// \file
/// \brief Fair queue of the tasks for one minion's slots.
///
/// Order between kinds under QueuePolicy::Fair:
/// 1. Kinds that use fewer slots than their guarantee, the most urgent first.
/// 2. Other kinds by start-time fair queuing, weighted by KindPolicy::Weight_.
/// Tasks started under a guarantee are not charged to the weighted share.
/// Within a kind, the task with the earliest deadline goes first.
///
/// Scheduling is work-conserving with one exception: a kind with a long backlog
/// does not get the last free slot while another kind with a guarantee uses
/// fewer slots than its share.
#ifndef WIGEONWALL_REQUEST_FAIR_QUEUE_H
#define WIGEONWALL_REQUEST_FAIR_QUEUE_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/kind_policy.h"
#include "wigeonwall/request/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwall::request {

/// \brief How tasks of different kinds are ordered.
enum class QueuePolicy : std::uint8_t {
  /// By arrival, regardless of kind. The baseline for comparisons.
  Fifo,
  /// By guarantees, weights and deadlines.
  Fair,
};

inline constexpr std::array<EnumName<QueuePolicy>, 2> QueuePolicyNames{{
    {QueuePolicy::Fifo, "fifo"},
    {QueuePolicy::Fair, "fair"},
}};

/// \brief A task that waits for a slot.
struct QueuedTask {
  JobKey Job_;
  TaskIndex Task_ = 0;
  std::string Kind_;
  TimePoint Deadline_;
  /// Estimated run time, which is the cost of the task in fair queuing.
  Duration ExpectedRun_{0};
  /// Chosen by the caller to look up its own state of the task.
  std::uint64_t Ticket_ = 0;
};

namespace detail {

/// Queue and scheduling state of one kind.
struct KindQueue {
  KindPolicy Policy_;
  /// Ordered by rank, see QueueOrdering, then by arrival.
  std::map<std::pair<std::int64_t, std::uint64_t>, QueuedTask> Tasks_;
  unsigned Running_ = 0;
  /// Whole number of guaranteed slots.
  unsigned GuaranteedSlots_ = 0;
  /// Fractional slot of the guarantee, 0 to 1.
  double GuaranteedFraction_ = 0.0;
  /// Slots of the total share, guaranteed and weighted.
  double ShareSlots_ = 0.0;
  /// Time from which the fractional slot entitles the kind to one more start.
  TimePoint FractionReadyAt_;
  /// Start tag of the next task, in nanoseconds of cost per unit of weight.
  double StartTag_ = 0.0;
  /// True if the kind is no longer configured and only its running tasks
  /// remain.
  bool Removed_ = false;

  [[nodiscard]] bool belowGuarantee(TimePoint Now) const noexcept;
};

using KindQueues = std::map<std::string, KindQueue>;

/// Total and free slots of the minion.
struct SlotUse {
  unsigned Total_ = 0;
  unsigned Free_ = 0;
};

/// Functions that differ between queue policies.
struct QueueOrdering {
  /// Rank of a task within its kind; the lowest goes first.
  std::function<std::int64_t(const QueuedTask &)> Rank_;
  /// Returns the kind to serve next, or null if none may start a task.
  std::function<KindQueue *(KindQueues &, TimePoint, const SlotUse &)> Select_;
};

} // namespace detail

/// \brief Bounded queues per kind in front of the slots of one minion.
///
/// \code
///   if (Queue.push(std::move(Task)) == Reason::None)
///     while (auto Next = Queue.pop())
///       start(*Next); // calls Queue.finish(Next->Kind_) when it ends
/// \endcode
class FairQueue {
public:
  FairQueue(QueuePolicy Policy, unsigned Slots, std::vector<KindPolicy> Kinds,
            Clock Now);

  /// \brief Queues a task.
  ///
  /// Returns None, or UnknownKind, LimitIsZero or QueueFull if the task is
  /// refused.
  [[nodiscard]] Reason push(QueuedTask Task);

  /// \brief Takes the next task and occupies a slot for it.
  ///
  /// Returns an empty optional if no slot or no task is available. Tasks past
  /// their deadline are not skipped: call removeExpired() first.
  [[nodiscard]] std::optional<QueuedTask> pop();

  /// \brief Frees the slot of a task of \p Kind that pop() returned.
  void finish(const std::string &Kind);

  /// \brief Removes and returns the queued tasks of a job.
  std::vector<QueuedTask> removeJob(const JobKey &Job);
  /// \brief Removes and returns the queued tasks whose deadline has passed.
  std::vector<QueuedTask> removeExpired();
  /// \brief Removes and returns all queued tasks.
  std::vector<QueuedTask> clear();

  /// \brief Applies a new configuration version.
  ///
  /// Removes and returns the queued tasks of kinds that no longer exist.
  std::vector<QueuedTask> setPolicies(const std::vector<KindPolicy> &Kinds);

  [[nodiscard]] AgentLoad load() const noexcept;

private:
  template <typename Predicate>
  std::vector<QueuedTask> removeIf(Predicate Matches);
  void assignShares();

  detail::QueueOrdering Ordering_;
  unsigned Slots_;
  Clock Now_;
  detail::KindQueues Kinds_;
  unsigned Running_ = 0;
  unsigned Queued_ = 0;
  std::uint64_t NextArrival_ = 0;
  /// Start tag of the last start under a weighted share; never decreases.
  double VirtualTime_ = 0.0;
};

} // namespace wigeonwall::request

#endif
