/// \file
/// \brief Member records and the queue of updates to disseminate.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_MEMBER_TABLE_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_MEMBER_TABLE_H

#include "wigeonwall/process/membership/membership_message.h"
#include "wigeonwall/request/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief One member and the local time of its last state change.
struct MemberRecord {
  MemberUpdate Update_;
  request::TimePoint Since_;
};

/// \brief Effect of apply().
enum class ApplyResult : std::uint8_t { Ignored, Changed, Joined, Revived };

/// \brief Keeps the latest update per member and queues changes for
/// dissemination.
///
/// The own process is not in the table.
class MemberTable {
public:
  /// \brief Applies \p Update if it supersedes the stored one. An incomplete
  /// update of an unknown incarnation is ignored. A change is queued for
  /// dissemination if \p Disseminate is set.
  ApplyResult apply(const MemberUpdate &Update, request::TimePoint Now,
                    bool Disseminate = true);
  /// \brief Removes members that have been dead or left since before \p Before;
  /// returns whether there were any.
  bool removeGone(request::TimePoint Before);
  /// \brief Restarts the suspicion timeouts of all suspects.
  void restartSuspicions(request::TimePoint Now);

  [[nodiscard]] const MemberRecord *find(const std::string &Id) const;
  [[nodiscard]] bool knows(const std::string &Id,
                           std::int64_t Incarnation) const;
  [[nodiscard]] const std::map<std::string, MemberRecord> &records() const {
    return Records_;
  }
  /// \brief Ids of the present members that are suspected.
  [[nodiscard]] const std::set<std::string> &suspects() const noexcept {
    return Suspects_;
  }
  [[nodiscard]] std::size_t presentCount() const noexcept {
    return PresentCount_;
  }
  /// \brief Order-independent hash of the present members.
  [[nodiscard]] std::uint32_t digest() const noexcept { return Digest_; }
  [[nodiscard]] static std::uint32_t hash(const MemberUpdate &Update);

  /// \brief Queues \p Update, replacing a queued one of the same member.
  void queue(const MemberUpdate &Update);
  /// \brief Returns up to \p MaxCount queued updates with a total cost of up to
  /// \p MaxCost, least often sent first. Drops updates after O(log n)
  /// transmissions.
  [[nodiscard]] std::vector<MemberUpdate> takeUpdates(std::size_t MaxCount,
                                                      double MaxCost);
  /// \brief Size of an update in units of about 45 bytes.
  [[nodiscard]] static double cost(const MemberUpdate &Update) noexcept {
    return Update.Complete_ ? 3 : 1;
  }
  [[nodiscard]] bool hasUpdates() const noexcept { return !Queue_.empty(); }

private:
  struct QueuedUpdate {
    MemberUpdate Update_;
    unsigned SendCount_ = 0;
  };

  void set(MemberRecord &Record, const MemberUpdate &Update,
           request::TimePoint Now);

  std::map<std::string, MemberRecord> Records_;
  std::vector<QueuedUpdate> Queue_;
  std::set<std::string> Suspects_;
  std::size_t PresentCount_ = 0;
  std::uint32_t Digest_ = 0;
};

} // namespace wigeonwall::process

#endif
