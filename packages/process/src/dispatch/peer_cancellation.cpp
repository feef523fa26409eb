#include "wigeonwall/process/dispatch/peer_cancellation.h"

#include <algorithm>
#include <utility>

namespace wigeonwall::process::dispatch {

using connection::HttpRequest;
using connection::HttpResponse;
using connection::HttpResult;
using connection::TransportError;

namespace {

/// Well below the time within which a cancellation has to be acknowledged.
constexpr std::chrono::milliseconds Timeout{800};
/// Each pending cancellation is a request to every other entry.
constexpr std::size_t MaxPending = 64;
/// Several probes fit into the time for which a silent entry is kept.
constexpr std::chrono::milliseconds ProbePeriod{2'000};
/// Only the status of a response is used.
constexpr std::uint64_t MaxResponseBytes = 4 * 1024;
constexpr const char *TargetPrefix = "/cancel?job=";

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;

int statusOf(CancelFound Found) {
  switch (Found) {
  case CancelFound::Attempt:
    return StatusOk;
  case CancelFound::Remains:
    return StatusAccepted;
  case CancelFound::Nothing:
    break;
  }
  return StatusNotFound;
}

connection::HttpClientLimits clientLimits() {
  connection::HttpClientLimits Result;
  Result.ResponseBytes_ = MaxResponseBytes;
  return Result;
}

} // namespace

/// \brief Collects the answers to one cancellation.
struct PeerCancellation::Pending {
  Pending(std::string JobId, Callback Done, std::shared_ptr<std::size_t> Count)
      : JobId_(std::move(JobId)), Done_(std::move(Done)),
        Count_(std::move(Count)) {
    ++*Count_;
  }
  Pending(const Pending &) = delete;
  Pending &operator=(const Pending &) = delete;
  ~Pending() { --*Count_; }

  void finish(PeerCancelResult Result) {
    if (const Callback Done = std::exchange(Done_, nullptr))
      Done(Result);
  }

  std::string JobId_;
  Callback Done_;
  std::shared_ptr<std::size_t> Count_;
  std::vector<connection::Endpoint> Asked_;
  /// Entries with a key that have refused the connection.
  std::vector<connection::Endpoint> Refused_;
  std::size_t Awaited_ = 0;
  bool PeersListed_ = false;
  bool Unanswered_ = false;
  /// An entry has an attempt that was ending already.
  bool Remains_ = false;
};

bool PeerListing::confirms(const connection::Endpoint &Peer) const {
  return State_ == PeerListingState::Current ||
         std::find(Peers_.begin(), Peers_.end(), Peer) != Peers_.end();
}

PeerCancellation::PeerCancellation(connection::asio::io_context &Context,
                                   PeerCancellationHooks Hooks)
    : Hooks_(std::move(Hooks)), Client_(Context, clientLimits()),
      Roster_({}, Hooks_.Now_) {}

PeerCancellation::~PeerCancellation() { *Alive_ = false; }

void PeerCancellation::setPeers(std::vector<connection::Endpoint> Peers) {
  Roster_.setRegistered(std::move(Peers));
  if (!Probing_)
    probeRetained();
}

void PeerCancellation::probeRetained() {
  const auto Retained = Roster_.retained();
  Probing_ = !Retained.empty();
  if (!Probing_)
    return;
  for (const connection::Endpoint &Peer : Retained) {
    HttpRequest Request;
    Request.Method_ = "POST";
    // No job has an empty id.
    Request.Target_ = TargetPrefix;
    Client_.send(Peer, std::move(Request), Timeout,
                 [this, Peer, Alive = Alive_](const HttpResult &Result) {
                   if (*Alive && Result.Refused_)
                     Roster_.onRefused(Peer);
                   else if (*Alive && Result.Error_ == TransportError::None)
                     Roster_.onAnswer(Peer);
                 });
  }
  Hooks_.After_(ProbePeriod, [this, Alive = Alive_] {
    if (*Alive)
      probeRetained();
  });
}

void PeerCancellation::cancel(const std::string &JobId, CancelFound Local,
                              Callback Done) {
  // An attempt of a caller that has left may still run at another entry, so the
  // others are asked in any case.
  if (Local == CancelFound::Attempt) {
    Done(PeerCancelResult::Cancelled);
    Done = [](PeerCancelResult) {};
  }
  if (!Roster_.known() || *PendingCount_ >= MaxPending) {
    Hooks_.Log_(JobId, "cancel_not_forwarded",
                Roster_.known() ? "cause=too_many_pending"
                                : "cause=entries_unknown");
    return Done(PeerCancelResult::Unanswered);
  }
  const auto State =
      std::make_shared<Pending>(JobId, std::move(Done), PendingCount_);
  State->Remains_ = Local == CancelFound::Remains;
  ask(State, Roster_.peers());
}

void PeerCancellation::ask(const std::shared_ptr<Pending> &State,
                           const std::vector<connection::Endpoint> &Peers) {
  State->Awaited_ = Peers.size();
  State->Asked_.insert(State->Asked_.end(), Peers.begin(), Peers.end());
  if (Peers.empty())
    return onAllAnswered(State);
  for (const connection::Endpoint &Peer : Peers) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = TargetPrefix + State->JobId_;
    Client_.send(Peer, std::move(Request), Timeout,
                 [this, State, Peer, Alive = Alive_](const HttpResult &Result) {
                   if (!*Alive)
                     return;
                   onAnswer(*State, Peer, Result);
                   if (--State->Awaited_ == 0)
                     onAllAnswered(State);
                 });
  }
}

void PeerCancellation::onAnswer(Pending &State,
                                const connection::Endpoint &Peer,
                                const HttpResult &Result) {
  if (Result.Error_ == TransportError::None)
    Roster_.onAnswer(Peer);
  // Connections that were opened earlier may be silent too.
  if (Result.Error_ == TransportError::Ambiguous)
    Client_.closeIdleConnections(Peer);
  if (Result.Refused_ && !State.PeersListed_) {
    if (Roster_.isRegistered(Peer))
      State.Refused_.push_back(Peer);
    // The jobs of an entry whose process has ended have ended with it.
    return Roster_.onRefused(Peer);
  }
  const bool Answered = Result.Error_ == TransportError::None;
  if (Answered && Result.Response_.Status_ == StatusOk)
    return State.finish(PeerCancelResult::Cancelled);
  if (Answered && Result.Response_.Status_ == StatusAccepted) {
    State.Remains_ = true;
    return;
  }
  if (Answered && Result.Response_.Status_ == StatusNotFound)
    return;
  State.Unanswered_ = true;
  Hooks_.Log_(State.JobId_, "cancel_unanswered",
              "peer=" + connection::formatEndpoint(Peer));
}

void PeerCancellation::onAllAnswered(const std::shared_ptr<Pending> &State) {
  if (State->Unanswered_ || State->PeersListed_ || !State->Done_)
    return State->finish(State->Unanswered_ ? PeerCancelResult::Unanswered
                         : State->Remains_  ? PeerCancelResult::Cancelled
                                            : PeerCancelResult::Unknown);
  State->PeersListed_ = true;
  Hooks_.ListPeers_([this, State, Alive = Alive_](PeerListing Listing) {
    if (*Alive)
      onPeersListed(State, std::move(Listing));
  });
}

void PeerCancellation::onPeersListed(const std::shared_ptr<Pending> &State,
                                     PeerListing Listing) {
  const auto GiveUp = [this, &State](const std::string &Detail) {
    Hooks_.Log_(State->JobId_, "cancel_unanswered", Detail);
    State->finish(PeerCancelResult::Unanswered);
  };
  if (Listing.State_ == PeerListingState::Unanswered)
    return GiveUp("peer=store");
  for (const connection::Endpoint &Peer : State->Refused_)
    if (Listing.confirms(Peer))
      return GiveUp("peer=" + connection::formatEndpoint(Peer) +
                    " cause=refused");
  std::erase_if(Listing.Peers_, [&State](const auto &Peer) {
    return std::find(State->Asked_.begin(), State->Asked_.end(), Peer) !=
           State->Asked_.end();
  });
  ask(State, Listing.Peers_);
}

bool PeerCancellation::serve(const HttpRequest &Request,
                             const connection::HttpRespond &Respond) const {
  const std::string Prefix(TargetPrefix);
  if (Request.Method_ != "POST" || !Request.Target_.starts_with(Prefix))
    return false;
  Hooks_.CancelLocally_(Request.Target_.substr(Prefix.size()),
                        [Respond](CancelFound Found) {
                          HttpResponse Response;
                          Response.Status_ = statusOf(Found);
                          Respond(std::move(Response));
                        });
  return true;
}

} // namespace wigeonwall::process::dispatch
