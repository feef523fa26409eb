/// \file
/// \brief Runs: executions of tasks on a minion.
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

/// \brief How a run ended, or that it never started.
enum class RunEnd : std::uint8_t {
  Done,
  /// Failed because of the task or the minion.
  Failed,
  /// Stopped on request of the agent.
  Stopped,
  /// Ended by the minion because its lease expired.
  Lapsed,
  /// Lost with the minion; part of its work may have been done.
  Lost,
  /// Certainly not started.
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

/// \brief Reply of a minion to a start request.
enum class StartReply : std::uint8_t {
  Started,
  /// The minion has been called with a higher fencing token.
  Fenced,
  /// A run of the task with this or a higher number has ended or been stopped
  /// there.
  OldNumber,
  /// The request arrived after the end of its lease.
  TooLate,
  NoRoom,
  /// The minion is unhealthy and did nothing.
  Unavailable,
  /// The minion could not parse the request.
  Malformed,
  /// Another incarnation of the minion answered.
  OtherIncarnation,
  /// No reply; the run may have started, or may still start seconds later.
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

/// \brief A run that a minion lists as running.
struct RunningRow {
  RunKey Key_;
  /// Progress, 0 to 100.
  int Percent_ = 0;
};

/// \brief The end of a run, which a minion lists until it is acknowledged.
struct EndedRow {
  /// Sequence number of the end, from 1 in each incarnation of the minion.
  std::int64_t Position_ = 0;
  RunKey Key_;
  RunEnd End_ = RunEnd::Lost;
};

/// \brief A minion's list of running and ended runs.
struct RunListing {
  std::int64_t MinionClockMs_ = 0;
  std::vector<RunningRow> Running_;
  std::vector<EndedRow> Ended_;
};

/// \brief Identity of a minion process, which a restart changes.
struct MinionIncarnation {
  std::string Id_;
  /// Unix time of its start in ms; distinguishes incarnations with the same id.
  std::int64_t StartedAtMs_ = 0;

  auto operator<=>(const MinionIncarnation &) const = default;
};

/// \brief State that a minion registers with its agent.
struct MinionReport {
  MinionIncarnation Incarnation_;
  /// Incremented by each report of an incarnation.
  std::int64_t Sequence_ = 0;
  /// "IP:port" of the minion.
  std::string Address_;
  std::string Service_;
  Resources Capacity_;
  /// Labels that tasks can require, including the rack.
  std::vector<std::string> Labels_;
  bool Draining_ = false;
  /// Minimum time until a draining minion leaves and ends its runs; empty if it
  /// has not announced one.
  std::optional<Duration> TimeToDeparture_;
  std::int64_t ClockMs_ = 0;
};

} // namespace wigeonwall::request

#endif
