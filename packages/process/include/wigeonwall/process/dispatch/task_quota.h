/// \file
/// \brief Limit on the tasks of all jobs of a process.
#ifndef WIGEONWALL_PROCESS_DISPATCH_TASK_QUOTA_H
#define WIGEONWALL_PROCESS_DISPATCH_TASK_QUOTA_H

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace wigeonwall::process::dispatch {

/// \brief Part of a quota; returned when it is destroyed.
class TaskClaim {
public:
  TaskClaim() = default;
  TaskClaim(std::shared_ptr<std::size_t> Used, std::size_t Count)
      : Used_(std::move(Used)), Count_(Count) {
    *Used_ += Count_;
  }
  TaskClaim(TaskClaim &&Other) noexcept = default;
  TaskClaim &operator=(TaskClaim &&Other) noexcept {
    std::swap(Used_, Other.Used_);
    std::swap(Count_, Other.Count_);
    return *this;
  }
  TaskClaim(const TaskClaim &) = delete;
  TaskClaim &operator=(const TaskClaim &) = delete;
  ~TaskClaim() {
    if (Used_)
      *Used_ -= Count_;
  }

private:
  std::shared_ptr<std::size_t> Used_;
  std::size_t Count_ = 0;
};

/// \brief Bounds the memory that the tasks of accepted jobs take: a request of
/// 100 bytes may ask for a thousand of them.
class TaskQuota {
public:
  /// \p MaxTasks is 0 for no limit.
  explicit TaskQuota(std::size_t MaxTasks) : MaxTasks_(MaxTasks) {}

  /// \brief Claims \p Count tasks; empty if too many are in use.
  [[nodiscard]] std::optional<TaskClaim> claim(std::size_t Count) const {
    if (MaxTasks_ != 0 && *Used_ + Count > MaxTasks_)
      return std::nullopt;
    return TaskClaim(Used_, Count);
  }
  [[nodiscard]] std::size_t used() const noexcept { return *Used_; }

private:
  std::size_t MaxTasks_;
  std::shared_ptr<std::size_t> Used_ = std::make_shared<std::size_t>(0);
};

} // namespace wigeonwall::process::dispatch

#endif
