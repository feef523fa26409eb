/// \file
/// \brief Which processes are alive: a SWIM-style state machine without I/O.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_MEMBERSHIP_H

#include "wigeonwall/process/membership/member_table.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>

namespace wigeonwall::process {

struct MembershipOptions {
  /// Between probes of random members. A member with the next hash is probed
  /// as often, half a period later, so that each member is probed at least
  /// once a period; random probes alone leave one in ten unprobed for 2.3 s,
  /// which breaks the bound of 6 s.
  request::Duration ProbePeriod_ = std::chrono::seconds(1);
  /// Until a direct probe counts as missed.
  request::Duration DirectTimeout_ = std::chrono::milliseconds(300);
  /// Until the indirect probes count as missed.
  request::Duration IndirectTimeout_ = std::chrono::milliseconds(400);
  request::Duration SuspectTime_ = std::chrono::seconds(3);
  /// Between probes of a random dead member.
  request::Duration DeadProbePeriod_ = std::chrono::seconds(5);
  /// Longer than the hour for which regions may lose each other.
  request::Duration ForgetTime_ = std::chrono::hours(2);
  /// Between messages that only carry news, per process.
  request::Duration PushPeriod_ = std::chrono::milliseconds(200);
  /// Between exchanges of full lists after differing digests.
  request::Duration RepairPeriod_ = std::chrono::seconds(30);
  /// A longer gap between two calls means that this process was paused.
  request::Duration PauseGap_ = std::chrono::seconds(2);
  /// Peers that probe in place of this process, and that get news at once.
  std::size_t Fanout_ = 3;
  std::size_t MaxUpdates_ = 8;
};

/// \brief Bounds the average rate of some cost and allows bursts.
class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst, request::TimePoint Now)
      : PerSecond_(PerSecond), Burst_(Burst), Tokens_(Burst), Last_(Now) {}

  /// \brief Tokens at \p Now.
  [[nodiscard]] double available(request::TimePoint Now);
  void spend(double Cost) noexcept { Tokens_ -= Cost; }

private:
  double PerSecond_;
  double Burst_;
  double Tokens_;
  request::TimePoint Last_;
};

/// \brief Orders to the network; the caller sends messageFor() the receiver
/// and passes the reply to onReply(). Hooks must not call back at once.
struct MembershipHooks {
  /// `membership.probe`.
  std::function<void(const Member &To)> SendProbe_;
  /// `membership.probeVia`: asks \p Via to probe \p Target.
  std::function<void(const Member &Via, const MemberUpdate &Target)>
      SendProbeVia_;
  /// `membership.probe` with \p Target, which answered a probe made for \p To.
  std::function<void(const Member &To, const MemberUpdate &Target)>
      SendIndirectAck_;
  /// `membership.join` with the full list.
  std::function<void(const Member &To)> SendJoin_;
  /// The member list differs.
  std::function<void()> Changed_;
  /// A newer incarnation of the own id runs; this process must stop.
  std::function<void()> Superseded_;
};

/// \brief Member list of one process.
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

  /// \brief Handles a probe or news from a peer and returns the reply.
  [[nodiscard]] MembershipMessage onProbe(const MembershipMessage &Request);
  [[nodiscard]] MembershipMessage onProbeVia(const MembershipMessage &Request);
  /// \brief Merges the sender's list and returns the own full list.
  [[nodiscard]] MembershipMessage onJoin(const MembershipMessage &Request);
  /// \brief Handles the reply to a probe; one to a join carries a list.
  void onReply(const MembershipMessage &Reply);
  /// \brief The peer refused the connection; asks others at once.
  void onUnreachable(const std::string &Id);

  /// \brief Message to the member \p ToId, with up to 8 updates.
  [[nodiscard]] MembershipMessage messageFor(const std::string &ToId);
  /// \brief Message with the full list, for a join.
  [[nodiscard]] MembershipMessage joinMessage();

  /// \brief States a planned stop to 3 peers at once.
  void beginLeaving();
  /// \brief States that this process accepted no job after \p StoppedAtMs.
  void leave(std::int64_t StoppedAtMs);

  [[nodiscard]] const Member &own() const noexcept { return Own_.Member_; }
  [[nodiscard]] const MemberTable &table() const noexcept { return Table_; }
  /// \brief All members, this process first.
  [[nodiscard]] std::vector<Member> members() const;
  /// \brief Up to \p Most distinct present members other than \p Except.
  [[nodiscard]] std::vector<Member> randomPeers(std::size_t Most,
                                                const std::string &Except = {});
  /// \brief Rises with each change of a member.
  [[nodiscard]] std::uint64_t generation() const noexcept {
    return Generation_;
  }
  /// \brief A newer incarnation of the own id runs.
  [[nodiscard]] bool superseded() const noexcept { return Superseded_; }
  /// \brief No other process is known to be present.
  [[nodiscard]] bool alone() const noexcept {
    return Table_.presentCount() == 0;
  }

private:
  struct Probe {
    request::TimePoint Start_;
    bool Indirect_ = false;
  };
  struct Relay {
    std::string Origin_;
    std::string Target_;
    request::TimePoint Until_;
  };

  request::TimePoint observeTime();
  void probeRandom(request::TimePoint Now);
  void probeNext(request::TimePoint Now);
  void probeDead(request::TimePoint Now);
  void recheckOne(request::TimePoint Now);
  void startProbe(const std::string &Id, request::TimePoint Now);
  void askOthers(const std::string &Id, Probe &Each, request::TimePoint Now);
  void checkProbes(request::TimePoint Now);
  void checkSuspicions(request::TimePoint Now);
  void remindSuspects(request::TimePoint Now);
  void pushNews(request::TimePoint Now);
  void accuse(const std::string &Id, Suspicion What, request::TimePoint Now);

  void receive(const MembershipMessage &Message, request::TimePoint Now);
  void receiveSender(const MemberUpdate &From, request::TimePoint Now);
  void receiveList(const MembershipMessage &Message, request::TimePoint Now);
  void compareDigest(const MembershipMessage &Message, request::TimePoint Now);
  ApplyResult apply(const MemberUpdate &Update, request::TimePoint Now,
                    bool PassOn = true);
  void hearAboutSelf(const MemberUpdate &Update);
  void acknowledge(const std::string &Id, std::int64_t Incarnation);
  void requestJoin(const std::string &Id, request::TimePoint Now);
  void state(MemberState Statement);
  void changed();
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
  std::vector<Relay> Relays_;
  /// Shuffled members still to be probed in this round.
  std::vector<std::string> Round_;
  /// Members on which a peer's full list disagreed.
  std::deque<std::string> Recheck_;
  request::TimePoint LastCall_;
  request::TimePoint NextRandom_;
  request::TimePoint NextNeighbour_;
  request::TimePoint NextDead_;
  request::TimePoint NextPush_;
  request::TimePoint NextRepair_;
  std::map<std::string, request::TimePoint> LastJoin_;
  unsigned Mismatches_ = 0;
  TokenBucket UpdateTokens_;
  TokenBucket PushTokens_;
  /// Pushes still to be made of the latest news.
  unsigned PushesDue_ = 0;
  /// Members that this process itself suspects, with the next reminder.
  std::map<std::string, request::TimePoint> Reminders_;
  bool Superseded_ = false;
  std::uint64_t Generation_ = 0;
};

} // namespace wigeonwall::process

#endif
