/// \file
/// \brief Last check before a task starts.
#ifndef WIGEONWALL_REQUEST_START_DEDUPLICATOR_H
#define WIGEONWALL_REQUEST_START_DEDUPLICATOR_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace wigeonwall::request {

enum class StartDecision : std::uint8_t {
  /// First message for this task: queue it.
  Admit,
  /// Repeated message of the same home: acknowledge again, queue nothing.
  Repeat,
  /// The attempt was refused before or is older than one seen: refuse it.
  Refused,
  /// Another home sent this task before.
  Duplicate,
  /// The message has an older epoch than one seen before.
  StaleEpoch,
};

/// \brief Sender of a start message.
struct StartSender {
  std::string Home_;
  std::int64_t Incarnation_ = 0;
  std::uint64_t Epoch_ = 0;
  /// Rises with each placement of the task by its home.
  std::uint32_t Attempt_ = 0;
};

/// \brief Admits each (service, job, task) once within the retention.
///
/// A refusal is remembered with its attempt: a copy of the message that
/// arrives late on another connection must not start a task that its home has
/// placed elsewhere since.
class StartDeduplicator {
public:
  StartDeduplicator(Clock Now, Duration Retention);

  [[nodiscard]] StartDecision admit(const JobKey &Job, TaskIndex Task,
                                    const StartSender &From);

  /// \brief Notes that an admitted task provably did not start; its home may
  /// send it again with a higher attempt.
  void refuse(const JobKey &Job, TaskIndex Task);

  /// \brief Refuses messages with an epoch below \p Epoch from now on.
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
