/// \file
/// \brief Messages between entries and agents, and their codec.
#ifndef WIGEONWALL_PROCESS_DISPATCH_MESSAGES_H
#define WIGEONWALL_PROCESS_DISPATCH_MESSAGES_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/run.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::process::dispatch {

/// \brief A task of a RunOrder.
struct RunOrderTask {
  std::uint32_t Index_ = 0;
  /// Number of the run, unless the minion already knows a higher one.
  std::int64_t Number_ = 1;
};

/// \brief Request from an entry to an agent to run tasks of a job.
struct RunOrder {
  std::string Job_;
  std::string Service_;
  /// Label that the minion must have; empty if none.
  std::string RequiredLabel_;
  std::string Payload_;
  request::Resources Needs_;
  /// Expected run time on a minion of nominal speed in the same location.
  request::Duration Expected_{};
  /// Time left for a task to end for its job to be on time.
  request::Duration TimeToDeadline_{};
  /// Time left until the result is of no use to the caller.
  request::Duration TimeToExpiry_{};
  /// Tasks that would wait longer, or cannot start on time, are declined so
  /// that the entry can place them elsewhere.
  request::Duration MaxWait_{};
  /// If false, the agent queues the tasks until they start or expire.
  bool MayDecline_ = true;
  /// AgentReport::AgentClockMs_ of the agent's last report.
  std::int64_t AgentClockMs_ = 0;
  std::vector<RunOrderTask> Tasks_;
};

/// \brief Report from an agent on how a task ended.
struct RunOutcome {
  std::string Job_;
  std::uint32_t Index_ = 0;
  request::RunEnd End_ = request::RunEnd::Lost;
  /// Number of the run; 0 if it was never started.
  std::int64_t Number_ = 0;
  /// Why the agent stopped or declined the task; empty if it ended by itself.
  std::string Reason_;
};

/// \brief Errors in a message from a peer.
enum class MessageError : std::uint8_t { None, Malformed };
using MessageFault = request::Fault<MessageError>;

/// \brief First message of an entry on a connection.
struct EntryHello {
  std::string Entry_;
  /// Session id; the same id on a new connection resumes the session.
  std::string Session_;
};

// Each decoder returns an empty result and sets a fault if the bytes are
// malformed. Times are limited to 24 h, the size of strings only by that of the
// message.
[[nodiscard]] std::string encodeHello(const EntryHello &Hello);
[[nodiscard]] std::optional<EntryHello> decodeHello(std::string_view Bytes,
                                                    MessageFault &Fault);
/// \brief Encodes the agent's reply; \p Resumed if it knows the session.
[[nodiscard]] std::string encodeWelcome(bool Resumed);
[[nodiscard]] std::optional<bool> decodeWelcome(std::string_view Bytes,
                                                MessageFault &Fault);
/// \p AgentClockMs is AgentReport::AgentClockMs_ of the agent's last report.
[[nodiscard]] std::string encodeHeartbeat(std::int64_t AgentClockMs);
[[nodiscard]] std::optional<std::int64_t>
decodeHeartbeat(std::string_view Bytes, MessageFault &Fault);
/// \brief Encodes the parameters of a query, which requests a report. With
/// \p Profiles, this and all later reports to the entry contain a profile.
[[nodiscard]] std::string encodeQuery(bool Profiles = false);
/// \brief Returns true for a query that asks for profiles. Other parameters
/// are ignored, as builds without profiles do.
[[nodiscard]] bool queryAsksForProfiles(std::string_view Bytes);
[[nodiscard]] std::string encodeCancel(const std::string &Job);
[[nodiscard]] std::optional<std::string> decodeCancel(std::string_view Bytes,
                                                      MessageFault &Fault);
[[nodiscard]] std::string encodeOrder(const RunOrder &Order);
[[nodiscard]] std::optional<RunOrder> decodeOrder(std::string_view Bytes,
                                                  MessageFault &Fault);
[[nodiscard]] std::string encodeOutcome(const RunOutcome &Outcome);
[[nodiscard]] std::optional<RunOutcome> decodeOutcome(std::string_view Bytes,
                                                      MessageFault &Fault);
/// \brief Encodes AgentReport::FailureDomain_, which is sent before a full
/// report and holds until the next such message.
[[nodiscard]] std::string encodeFailureDomain(const std::string &Domain);
[[nodiscard]] std::optional<std::string>
decodeFailureDomain(std::string_view Bytes, MessageFault &Fault);
/// \brief Encodes the document of an EvacuationMonitor.
[[nodiscard]] std::string encodeEvacuations(const std::string &Document);
[[nodiscard]] std::optional<std::string>
decodeEvacuations(std::string_view Bytes, MessageFault &Fault);
/// \brief Encodes a report. Fields that rarely change (service, labels,
/// capacity) are omitted unless \p Full, because entries read thousands of
/// reports per second. The profile is only sent to entries that have asked for
/// it, because a build without profiles ignores reports with one.
[[nodiscard]] std::string encodeReport(const request::AgentReport &Report,
                                       bool Full, bool WithProfile = false);
/// \brief Decodes a report; omitted fields are taken from \p Previous. A report
/// without a profile has none.
[[nodiscard]] std::optional<request::AgentReport>
decodeReport(std::string_view Bytes, const request::AgentReport &Previous,
             MessageFault &Fault);

} // namespace wigeonwall::process::dispatch

#endif
