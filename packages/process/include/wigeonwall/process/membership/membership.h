/// \file
/// \brief SWIM-style membership and failure detection, as a state machine
/// without I/O.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_H

#include "wigeonwall/process/membership/member_table.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>

namespace wigeonwall::process {

struct MembershipOptions {
  /// Interval between probes of random members. The successor in hash order is
  /// probed at the same interval, half a period later, so that each member is
  /// probed at least once per period. With random probes alone, one in ten
  /// members is not probed for 2.3 s, which breaks the detection limit of 6 s.
  request::Duration ProbePeriod_ = std::chrono::seconds(1);
  /// Timeout of a direct probe.
  request::Duration DirectTimeout_ = std::chrono::milliseconds(300);
  /// Timeout of the indirect probes.
  request::Duration IndirectTimeout_ = std::chrono::milliseconds(400);
  request::Duration SuspicionTimeout_ = std::chrono::seconds(3);
  /// Interval between probes of a random dead member.
  request::Duration DeadProbePeriod_ = std::chrono::seconds(5);
  /// Exceeds the hour for which a partition between regions may last.
  request::Duration GoneMemberRetention_ = std::chrono::hours(2);
  /// Minimum interval between pushes of updates by a process.
  request::Duration PushPeriod_ = std::chrono::milliseconds(200);
  /// Minimum interval between full-list exchanges after digest mismatches.
  request::Duration RepairPeriod_ = std::chrono::seconds(30);
  /// A longer gap between two calls indicates that this process was paused.
  request::Duration PauseThreshold_ = std::chrono::seconds(2);
  /// Number of peers asked for indirect probes, and of receivers of a push.
  std::size_t Fanout_ = 3;
  std::size_t MaxUpdates_ = 8;
};

/// \brief Rate limiter that bounds the average rate and allows bursts.
class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst, request::TimePoint Now)
      : PerSecond_(PerSecond), Burst_(Burst), Tokens_(Burst), Last_(Now) {}

  /// \brief Number of tokens at \p Now.
  [[nodiscard]] double available(request::TimePoint Now);
  void spend(double Cost) noexcept { Tokens_ -= Cost; }

private:
  double PerSecond_;
  double Burst_;
  double Tokens_;
  request::TimePoint Last_;
};

/// \brief Requests to the transport. A send hook sends messageFor() to the
/// receiver and passes the reply to onReply(), but not before it returns.
struct MembershipHooks {
  /// `membership.probe`.
  std::function<void(const Member &To)> SendProbe_;
  /// `membership.probeVia`: asks \p Via to probe \p Target.
  std::function<void(const Member &Via, const MemberUpdate &Target)>
      SendProbeVia_;
  /// `membership.probe` that tells \p To that \p Target answered the probe
  /// which \p To had requested.
  std::function<void(const Member &To, const MemberUpdate &Target)>
      SendIndirectAck_;
  /// `membership.join` with the full list.
  std::function<void(const Member &To)> SendJoin_;
  /// The member list has changed.
  std::function<void()> Changed_;
  /// A newer incarnation of the own id runs; this process must stop.
  std::function<void()> Superseded_;
};

/// \brief Member list and failure detector of one process.
///
/// Call tick() about every 100 ms.
/// \code
/// Membership Members(Own, Clock, std::mt19937_64(Seed), {}, Hooks);
/// auto Reply = Members.onProbe(Request);
/// \endcode
class Membership {
public:
  Membership(Member Own, request::Clock Clock, std::mt19937_64 Random,
             MembershipOptions Options, MembershipHooks Hooks);

  void tick();

  /// \brief Handles a probe or pushed updates and returns the reply.
  [[nodiscard]] MembershipMessage onProbe(const MembershipMessage &Request);
  [[nodiscard]] MembershipMessage onProbeVia(const MembershipMessage &Request);
  /// \brief Merges the sender's list and returns the own full list.
  [[nodiscard]] MembershipMessage onJoin(const MembershipMessage &Request);
  /// \brief Handles the reply to a probe or join; the latter has a full list.
  void onReply(const MembershipMessage &Reply);
  /// \brief Handles a connection refused by a peer: starts indirect probes at
  /// once.
  void onUnreachable(const std::string &Id);

  /// \brief Message to the member \p ToId, with up to 8 updates.
  [[nodiscard]] MembershipMessage messageFor(const std::string &ToId);
  /// \brief Message with the full list, for a join.
  [[nodiscard]] MembershipMessage joinMessage();

  /// \brief Announces a planned stop, to 3 peers at once.
  void beginLeaving();
  /// \brief Announces that this process left and accepted no job after
  /// \p StoppedAtMs.
  void leave(std::int64_t StoppedAtMs);

  [[nodiscard]] const Member &own() const noexcept { return Own_.Member_; }
  [[nodiscard]] const MemberTable &table() const noexcept { return Table_; }
  /// \brief All members, this process first.
  [[nodiscard]] std::vector<Member> members() const;
  /// \brief Up to \p MaxCount distinct present members other than \p Except.
  [[nodiscard]] std::vector<Member> randomPeers(std::size_t MaxCount,
                                                const std::string &Except = {});
  /// \brief Incremented with each change of a member.
  [[nodiscard]] std::uint64_t generation() const noexcept {
    return Generation_;
  }
  /// \brief True if a newer incarnation of the own id runs.
  [[nodiscard]] bool superseded() const noexcept { return Superseded_; }
  /// \brief True if no other process is known to be present.
  [[nodiscard]] bool alone() const noexcept {
    return Table_.presentCount() == 0;
  }

private:
  struct Probe {
    request::TimePoint Start_;
    bool Indirect_ = false;
  };
  struct IndirectProbe {
    std::string Origin_;
    std::string Target_;
    request::TimePoint Until_;
  };

  request::TimePoint observeTime();
  void probeRandom(request::TimePoint Now);
  void probeSuccessor(request::TimePoint Now);
  void probeDead(request::TimePoint Now);
  void recheckOne(request::TimePoint Now);
  void startProbe(const std::string &Id, request::TimePoint Now);
  void startIndirectProbes(const std::string &Id, Probe &Each,
                           request::TimePoint Now);
  void checkProbes(request::TimePoint Now);
  void checkSuspicions(request::TimePoint Now);
  void notifySuspects(request::TimePoint Now);
  void pushUpdates(request::TimePoint Now);
  void raiseSuspicion(const std::string &Id, Suspicion What,
                      request::TimePoint Now);

  void receive(const MembershipMessage &Message, request::TimePoint Now);
  void receiveSender(const MemberUpdate &From, request::TimePoint Now);
  void receiveList(const MembershipMessage &Message, request::TimePoint Now);
  void compareDigest(const MembershipMessage &Message, request::TimePoint Now);
  ApplyResult apply(const MemberUpdate &Update, request::TimePoint Now,
                    bool Disseminate = true);
  void handleUpdateOfSelf(const MemberUpdate &Update);
  void acknowledge(const std::string &Id, std::int64_t Incarnation);
  void requestJoin(const std::string &Id, request::TimePoint Now);
  void announceState(MemberState Announced);
  void notifyChanged();
  [[nodiscard]] MembershipMessage replyTo(const MembershipMessage &Request,
                                          MembershipMessage Reply) const;
  [[nodiscard]] std::uint32_t digest() const {
    return Table_.digest() ^ (Own_.present() ? MemberTable::hash(Own_) : 0);
  }

  MemberUpdate Own_;
  request::Clock Clock_;
  std::mt19937_64 Random_;
  MembershipOptions Options_;
  MembershipHooks Hooks_;
  MemberTable Table_;
  std::map<std::string, Probe> Probes_;
  std::vector<IndirectProbe> IndirectProbes_;
  /// Shuffled members still to be probed in this round.
  std::vector<std::string> ProbeRound_;
  /// Members whose presence differed in a peer's full list.
  std::deque<std::string> RecheckQueue_;
  request::TimePoint LastCallAt_;
  request::TimePoint NextRandom_;
  request::TimePoint NextSuccessor_;
  request::TimePoint NextDead_;
  request::TimePoint NextPush_;
  request::TimePoint NextRepair_;
  std::map<std::string, request::TimePoint> LastJoinAt_;
  unsigned Mismatches_ = 0;
  TokenBucket UpdateTokens_;
  TokenBucket PushTokens_;
  /// Remaining pushes of the latest updates.
  unsigned PendingPushes_ = 0;
  /// Members that this process suspects itself, with the time of the next
  /// notice.
  std::map<std::string, request::TimePoint> SuspectNotices_;
  bool Superseded_ = false;
  std::uint64_t Generation_ = 0;
};

} // namespace wigeonwall::process

#endif
