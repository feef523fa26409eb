/// \file
/// \brief Membership messages and their JSON encoding.
///
/// Keys are single letters and records are arrays, to keep the control traffic
/// of a process within 6 KB/s at 620 members.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/request/fault.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonwall::process {

/// \brief Failure of a member as suspected by other members.
enum class Suspicion : std::uint8_t { None, Suspect, Dead };

/// \brief State of one member.
///
/// Updates are ordered by incarnation, then revision, then suspicion. A member
/// increments its revision each time it announces a state, so that a refutation
/// supersedes the suspicion.
struct MemberUpdate {
  /// State_ is the state that the member announced: Alive, Leaving or Left. If
  /// Complete_ is false, only Id_ and Incarnation_ are set besides.
  Member Member_;
  std::uint32_t Revision_ = 0;
  Suspicion Suspicion_ = Suspicion::None;
  /// Unix time in ms after which a member that left accepted no job, or 0.
  std::int64_t StoppedAtMs_ = 0;
  /// Whether role, addresses, failure domain and service are set.
  bool Complete_ = true;

  /// \brief State that results from the announced state and the suspicion.
  [[nodiscard]] MemberState state() const noexcept;
  /// \brief False for dead members and those that left.
  [[nodiscard]] bool present() const noexcept;
  /// \brief Incomplete copy, for processes that already know the member.
  [[nodiscard]] MemberUpdate withoutDetails() const {
    MemberUpdate Short = *this;
    Short.Complete_ = false;
    return Short;
  }
};

/// \brief Versions of the shared documents; 0 when unknown.
struct DocumentVersions {
  std::uint64_t Config_ = 0;
  std::uint64_t Map_ = 0;
};

/// \brief Body of every membership request and reply.
struct MembershipMessage {
  /// State of the sender; complete in a join.
  MemberUpdate From_;
  std::vector<MemberUpdate> Updates_;
  /// Full member list of a join.
  std::vector<MemberUpdate> List_;
  /// Member that the sender reached on behalf of the receiver
  /// (`membership.probe`), or that the receiver is asked to probe
  /// (`membership.probeVia`).
  std::optional<MemberUpdate> Target_;
  /// MemberTable::digest() of the sender, including the sender.
  std::uint32_t Digest_ = 0;
  DocumentVersions Versions_;
  /// Set in a reply if the sender of the request is unknown and should join.
  bool UnknownSender_ = false;
};

enum class MembershipError : std::uint8_t { None, Malformed };
using MembershipFault = request::Fault<MembershipError>;

/// \brief Encodes an update as `[id, incarnation, revision, state]`, followed
/// by the stop time of a member that left, or by all other fields if complete.
[[nodiscard]] Json::Value encodeMessage(const MembershipMessage &Message);
[[nodiscard]] std::optional<MembershipMessage>
decodeMessage(const Json::Value &Value, MembershipFault &Why);

} // namespace wigeonwall::process

#endif
