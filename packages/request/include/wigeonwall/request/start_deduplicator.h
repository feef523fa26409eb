/// \file
/// \brief Deduplication of start messages.
#ifndef WIGEONWALL_REQUEST_START_DEDUPLICATOR_H
#define WIGEONWALL_REQUEST_START_DEDUPLICATOR_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace wigeonwall::request {

enum class StartDecision : std::uint8_t {
  /// The task may be queued.
  Admit,
  /// The same home has sent the task before: acknowledge again without
  /// queueing it.
  Repeat,
  /// The attempt is not newer than one that was refused: refuse it.
  Refused,
  /// Another home has sent the task before.
  Duplicate,
  /// The epoch of the message is older than the latest known one.
  StaleEpoch,
};

/// \brief Sender of a start message.
struct StartSender {
  std::string Home_;
  std::int64_t Incarnation_ = 0;
  std::uint64_t Epoch_ = 0;
  /// Incremented by each placement of the task by its home.
  std::uint32_t Attempt_ = 0;
};

/// \brief Admits each (service, job, task) once within the retention time.
///
/// A refusal is kept with its attempt number: a duplicate of the message that
/// arrives late on another connection must not start a task that its home has
/// placed elsewhere in the meantime.
class StartDeduplicator {
public:
  StartDeduplicator(Clock Now, Duration Retention);

  [[nodiscard]] StartDecision admit(const JobKey &Job, TaskIndex Task,
                                    const StartSender &From);

  /// \brief Records that an admitted task certainly did not start. Its home may
  /// send it again with a higher attempt number.
  void refuse(const JobKey &Job, TaskIndex Task);

  /// \brief Makes admit() refuse new tasks with an epoch below \p Epoch.
  void raiseEpoch(std::uint64_t Epoch) noexcept;

  [[nodiscard]] std::size_t size() const noexcept { return Tasks_.size(); }

private:
  struct TaskKey {
    JobKey Job_;
    TaskIndex Task_ = 0;
    bool operator==(const TaskKey &) const = default;
  };
  struct TaskKeyHash {
    [[nodiscard]] std::size_t operator()(const TaskKey &Key) const noexcept {
      return JobKeyHash{}(Key.Job_) * 31 + Key.Task_;
    }
  };
  struct Entry {
    StartSender From_;
    bool Refused_ = false;
    TimePoint ExpiresAt_;
  };

  void dropExpired();

  Clock Now_;
  Duration Retention_;
  std::uint64_t Epoch_ = 0;
  std::unordered_map<TaskKey, Entry, TaskKeyHash> Tasks_;
  std::deque<std::pair<TimePoint, TaskKey>> Expiries_;
};

} // namespace wigeonwall::request

#endif
