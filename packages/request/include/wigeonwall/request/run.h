/// \file
/// \brief A run: one start of one task on a minion.
#ifndef WIGEONWALL_REQUEST_RUN_H
#define WIGEONWALL_REQUEST_RUN_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/resources.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief Identifies a run on a minion.
struct RunKey {
  std::string Task_;
  std::int64_t Number_ = 0;

  auto operator<=>(const RunKey &) const = default;
};

/// \brief How a run ended, or why it never began.
enum class RunEnd : std::uint8_t {
  Done,
  /// Ended by its own fault or the minion's.
  Failed,
  /// Ended by an order of the system.
  Stopped,
  /// Ended because its lease was not renewed in time.
  Lapsed,
  /// Gone with the minion; it may have done part of its work.
  Lost,
  /// It certainly never began.
  NeverRan,
};

inline constexpr std::array<EnumName<RunEnd>, 6> RunEndNames{{
    {RunEnd::Done, "done"},
    {RunEnd::Failed, "failed"},
    {RunEnd::Stopped, "stopped"},
    {RunEnd::Lapsed, "lapsed"},
    {RunEnd::Lost, "lost"},
    {RunEnd::NeverRan, "never_ran"},
}};

/// \brief Reply of a minion to a start.
enum class StartReply : std::uint8_t {
  Started,
  /// A newer agent has called the minion.
  Fenced,
  /// The number is not above one that ended or was stopped there.
  OldNumber,
  /// The order arrived after the end of its lease.
  TooLate,
  NoRoom,
  /// The minion did nothing because it is unhealthy.
  Unavailable,
  /// The minion cannot read the order.
  Malformed,
  /// Another life of the minion answered.
  OtherIncarnation,
  /// No reply; the order may be carried out, also seconds later.
  Unknown,
};

inline constexpr std::array<EnumName<StartReply>, 9> StartReplyNames{{
    {StartReply::Started, "started"},
    {StartReply::Fenced, "fenced"},
    {StartReply::OldNumber, "old_number"},
    {StartReply::TooLate, "too_late"},
    {StartReply::NoRoom, "no_room"},
    {StartReply::Unavailable, "unavailable"},
    {StartReply::Malformed, "malformed"},
    {StartReply::OtherIncarnation, "other_life"},
    {StartReply::Unknown, "unknown"},
}};

/// \brief A run that a minion reports as existing.
struct RunningRow {
  RunKey Key_;
  /// Work done so far; 0 to 100.
  int Percent_ = 0;
};

/// \brief An end that a minion reports until it is acknowledged.
struct EndedRow {
  /// Position in the minion's list of ends, from 1 in each life.
  std::int64_t Position_ = 0;
  RunKey Key_;
  RunEnd End_ = RunEnd::Lost;
};

/// \brief All that a minion says about its runs.
struct RunListing {
  std::int64_t MinionClockMs_ = 0;
  std::vector<RunningRow> Running_;
  std::vector<EndedRow> Ended_;
};

/// \brief Identity of a minion from its start to its end.
struct MinionIncarnation {
  std::string Id_;
  /// Unix time of its start in ms; tells lives with the same id apart.
  std::int64_t StartedAtMs_ = 0;

  bool operator==(const MinionIncarnation &) const = default;
};

/// \brief What a minion announces about itself.
struct MinionReport {
  MinionIncarnation Incarnation_;
  /// Rises with each report of a life.
  std::int64_t Sequence_ = 0;
  /// "IP:port" for calls to the minion.
  std::string Address_;
  std::string Service_;
  Resources Capacity_;
  /// Labels that tasks may require; among them the rack.
  std::vector<std::string> Labels_;
  bool Draining_ = false;
  std::int64_t ClockMs_ = 0;
};

} // namespace wigeonwall::request

#endif
