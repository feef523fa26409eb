/// \file
/// \brief Copies of job records at the second holder, and seals of jobs at both
/// holders.
#ifndef WIGEONWALL_REQUEST_RECORD_COPIES_H
#define WIGEONWALL_REQUEST_RECORD_COPIES_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonwall::request {

/// \brief Identity of the process that coordinates a job.
struct HomeIdentity {
  std::string Id_;
  std::int64_t Incarnation_ = 0;
  /// Address of the process's traffic port.
  std::string Address_;

  bool operator==(const HomeIdentity &) const = default;
};

/// \brief Reply to `record.prepare`.
enum class PrepareResult : std::uint8_t {
  Ok,
  /// The epoch of the message is older than the holder's, or the job is sealed
  /// against that epoch.
  Stale,
  /// The holder does not know the epoch of the message yet.
  Retry,
  /// Another home has a record of the job.
  Known,
};

inline constexpr std::array<EnumName<PrepareResult>, 4> PrepareResultNames{{
    {PrepareResult::Ok, "ok"},
    {PrepareResult::Stale, "stale_epoch"},
    {PrepareResult::Retry, "retry"},
    {PrepareResult::Known, "known"},
}};

/// \brief Copy of one job record.
struct RecordCopy {
  std::uint64_t Fingerprint_ = 0;
  HomeIdentity Home_;
  bool Final_ = false;
  /// Empty for a final record whose answer was too large to copy.
  std::optional<JobAnswer> Answer_;
  TimePoint ExpiresAt_;
};

/// \brief Copies and seals, kept for the record retention. Does no I/O.
class RecordCopies {
public:
  explicit RecordCopies(Clock Now);

  /// \brief Records that \p Home is about to run the job under \p Epoch.
  ///
  /// \p OwnEpoch is the epoch known to this holder. The call is idempotent.
  [[nodiscard]] PrepareResult
  prepare(const JobKey &Key, std::uint64_t Fingerprint,
          const HomeIdentity &Home, std::uint64_t Epoch, std::uint64_t OwnEpoch,
          Duration Retention);

  /// \brief Records the end of a job if it was prepared by \p Home.
  void finish(const JobKey &Key, const HomeIdentity &Home,
              std::optional<JobAnswer> Answer, Duration Retention);

  /// \brief Records a final refusal of a job that has no record here. After
  /// that, no home can prepare the job.
  void refuse(const JobKey &Key, std::uint64_t Fingerprint,
              const HomeIdentity &By, JobAnswer Refusal, Duration Retention);

  [[nodiscard]] const RecordCopy *find(const JobKey &Key) const;

  /// \brief Makes prepare() refuse the job under any epoch below \p Epoch.
  void seal(const JobKey &Key, std::uint64_t Epoch, Duration Retention);

  /// \brief Epoch below which the job is refused; 0 if it is not sealed.
  [[nodiscard]] std::uint64_t sealedBelow(const JobKey &Key) const;

  void dropExpired();
  [[nodiscard]] std::size_t size() const noexcept { return Copies_.size(); }

private:
  struct Seal {
    std::uint64_t Epoch_ = 0;
    TimePoint ExpiresAt_;
  };
  struct Expiry {
    TimePoint When_;
    JobKey Key_;
  };

  Clock Now_;
  std::unordered_map<JobKey, RecordCopy, JobKeyHash> Copies_;
  std::unordered_map<JobKey, Seal, JobKeyHash> Seals_;
  std::deque<Expiry> Expiries_;
};

} // namespace wigeonwall::request

#endif
