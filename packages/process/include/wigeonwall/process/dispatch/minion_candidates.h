/// \file
/// \brief Minion processes that have reported and are not in use.
#ifndef WIGEONWALL_PROCESS_DISPATCH_MINION_CANDIDATES_H
#define WIGEONWALL_PROCESS_DISPATCH_MINION_CANDIDATES_H

#include "wigeonwall/process/dispatch/minion_calls.h"
#include "wigeonwall/request/clock.h"

#include <map>

namespace wigeonwall::process::dispatch {

struct MinionCandidatesOptions {
  /// Time after its last report during which a process is polled to verify that
  /// it runs; over two report intervals of a minion.
  request::Duration Lifetime_ = std::chrono::milliseconds(3'500);
  request::Duration PollPeriod_ = std::chrono::milliseconds(60);
  /// Maximum number of processes that are verified at the same time.
  std::size_t MaxCount_ = 4;
  /// Maximum number of polls without a reply, also of processes that are no
  /// longer verified; each may have a connection.
  std::size_t MaxPendingPolls_ = 16;
};

/// \brief The answer of a candidate to a poll.
struct CandidateAnswer {
  request::MinionReport Report_;
  request::RunListing Listing_;
  request::TimePoint RequestedAt_;
  /// Token of the poll; no process that answered it accepts a lower one.
  detail::FencingToken Token_;
};

struct MinionCandidatesHooks {
  request::Clock Now_;
  decltype(MinionCalls::Hold_) Hold_;
  /// Returns a token that is higher than those of all starts before.
  std::function<std::int64_t()> NextToken_;
  /// May clear the candidates.
  std::function<void(const CandidateAnswer &)> OnAnswered_;
  std::function<void(const std::string &Id, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Polls the processes that have reported until they answer.
///
/// A start that is still on its way to an earlier process must not take effect
/// in one with the same id. Each poll therefore has a higher token than all
/// starts before it, and none may be sent until the poll is answered.
class MinionCandidates {
public:
  MinionCandidates(MinionCandidatesOptions Options, MinionCandidatesHooks Hooks)
      : Options_(Options), Hooks_(std::move(Hooks)) {}

  void add(const request::MinionReport &Report);
  /// \brief Sends the polls that are due; call about every 25 ms.
  void tick();
  void clear() { Candidates_.clear(); }
  [[nodiscard]] bool empty() const noexcept { return Candidates_.empty(); }
  /// \brief Returns true while a process with the id and the address of
  /// \p Present is not ruled out. It would execute starts that are meant for
  /// \p Present.
  [[nodiscard]] bool
  mayHaveReplaced(const request::MinionReport &Present) const;

private:
  struct Candidate {
    request::MinionReport Report_;
    request::TimePoint ReportedAt_;
    request::TimePoint PolledAt_;
    bool PollPending_ = false;
    /// The last poll showed that the process does not run at its address.
    bool RuledOut_ = false;
    detail::FencingToken Token_;
  };

  /// Sends a poll; tick() repeats it if too many have no reply.
  void poll(Candidate &Polled);
  void onReply(const request::MinionIncarnation &Incarnation, HoldReply Reply,
               request::TimePoint SentAt);
  void removeOldest();

  MinionCandidatesOptions Options_;
  MinionCandidatesHooks Hooks_;
  std::map<request::MinionIncarnation, Candidate> Candidates_;
  std::size_t PendingPolls_ = 0;
};

} // namespace wigeonwall::process::dispatch

#endif
