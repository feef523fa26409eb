/// \file
/// \brief What processes tell each other about members, and its JSON.
///
/// Keys are one letter and records are arrays, because at 620 members the
/// control traffic of a process is bounded by 6 KB/s.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/request/fault.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonwall::process {

/// \brief What others say about a member against its own statement.
enum class Suspicion : std::uint8_t { None, Suspect, Dead };

/// \brief Knowledge about one member.
///
/// Ordered by incarnation, then revision, then accusation. A member raises its
/// own revision with each statement, so that a refutation outranks the
/// accusation that it answers.
struct MemberUpdate {
  /// State_ is the member's own statement: Alive, Leaving or Left. Only Id_
  /// and Incarnation_ are set besides when Complete_ is false.
  Member Member_;
  std::uint32_t Revision_ = 0;
  Suspicion Suspicion_ = Suspicion::None;
  /// Unix time in ms after which a member that left accepted no job, or 0.
  std::int64_t StoppedAtMs_ = 0;
  /// Role, addresses, failure domain and service are included.
  bool Complete_ = true;

  /// \brief State that follows from statement and accusation.
  [[nodiscard]] MemberState state() const noexcept;
  /// \brief False for dead members and those that left.
  [[nodiscard]] bool present() const noexcept;
  /// \brief Copy to send to processes that know the member.
  [[nodiscard]] MemberUpdate withoutDetails() const {
    MemberUpdate Short = *this;
    Short.Complete_ = false;
    return Short;
  }
};

/// \brief Versions of the agreed documents; 0 when not known.
struct DocumentVersions {
  std::uint64_t Config_ = 0;
  std::uint64_t Map_ = 0;
};

/// \brief Body of every membership request and reply.
struct MembershipMessage {
  /// The sender about itself; complete in a join.
  MemberUpdate From_;
  std::vector<MemberUpdate> Updates_;
  /// Full member list of a join.
  std::vector<MemberUpdate> List_;
  /// Target that the sender reached for the receiver (`membership.probe`), or
  /// that the receiver is asked to probe (`membership.probeVia`).
  std::optional<MemberUpdate> Target_;
  /// Hash over the members that the sender sees as present.
  std::uint32_t Digest_ = 0;
  DocumentVersions Versions_;
  /// The receiver of the request does not know its sender, who should join.
  bool UnknownSender_ = false;
};

enum class MembershipError : std::uint8_t { None, Malformed };
using MembershipFault = request::Fault<MembershipError>;

/// \brief An update is `[id, incarnation, revision, state]`, followed by the
/// stop time for a member that left or by the other fields when complete.
[[nodiscard]] Json::Value encodeMessage(const MembershipMessage &Message);
[[nodiscard]] std::optional<MembershipMessage>
decodeMessage(const Json::Value &Value, MembershipFault &Why);

} // namespace wigeonwall::process

#endif
