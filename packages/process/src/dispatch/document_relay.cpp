#include "wigeonwall/process/dispatch/document_relay.h"

#include <charconv>

namespace wigeonwall::process::dispatch {

using connection::HttpRequest;
using connection::HttpResponse;
using connection::HttpResult;
using connection::TransportError;

namespace {

/// A new version has to take effect within 2 s; this allows several rounds over
/// all peers.
constexpr std::chrono::milliseconds PollPeriod{300};
constexpr std::chrono::milliseconds PollTimeout{600};
/// Far above a configuration of some hundred routes.
constexpr std::uint64_t MaxDocumentBytes = 8 * 1024 * 1024;
constexpr const char *AfterParameter = "?after=";

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;

connection::HttpClientLimits clientLimits() {
  connection::HttpClientLimits Result;
  Result.ResponseBytes_ = MaxDocumentBytes;
  return Result;
}

} // namespace

DocumentRelay::DocumentRelay(connection::asio::io_context &Context,
                             DocumentRelayOptions Options,
                             DocumentRelayHooks Hooks)
    : Options_(std::move(Options)), Hooks_(std::move(Hooks)),
      Client_(Context, clientLimits()) {}

DocumentRelay::~DocumentRelay() { *Alive_ = false; }

void DocumentRelay::setDocument(std::int64_t Version, std::string Document) {
  Version_ = Version;
  Document_ = std::make_shared<const std::string>(std::move(Document));
}

void DocumentRelay::setPeers(std::vector<connection::Endpoint> Peers) {
  Peers_ = std::move(Peers);
  if (PollingEnabled_ && !RequestPending_)
    pollNextPeer();
}

bool DocumentRelay::serve(const HttpRequest &Request,
                          const connection::HttpRespond &Respond) const {
  const std::string Prefix = Options_.Path_ + AfterParameter;
  std::int64_t After = 0;
  const char *End = Request.Target_.data() + Request.Target_.size();
  if (Request.Method_ != "GET" || !Request.Target_.starts_with(Prefix) ||
      std::from_chars(Request.Target_.data() + Prefix.size(), End, After).ec !=
          std::errc())
    return false;
  HttpResponse Response;
  if (Version_ <= After)
    Response.Status_ = StatusNoContent;
  else
    Response.SharedBody_ = Document_;
  Respond(std::move(Response));
  return true;
}

void DocumentRelay::setPolling(bool Enabled) {
  if (Enabled && !PollingEnabled_)
    Hooks_.Log_("asking_peers", "version=" + std::to_string(Version_) +
                                    " peers=" + std::to_string(Peers_.size()));
  PollingEnabled_ = Enabled;
  if (PollingEnabled_ && !RequestPending_)
    pollNextPeer();
}

void DocumentRelay::pollNextPeer() {
  RequestPending_ = PollingEnabled_ && !Peers_.empty();
  if (!RequestPending_)
    return;
  const connection::Endpoint Peer = Peers_[NextPeer_++ % Peers_.size()];
  HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = Options_.Path_ + AfterParameter + std::to_string(Version_);
  Client_.send(Peer, std::move(Request), PollTimeout,
               [this, Peer, Alive = Alive_](const HttpResult &Result) {
                 if (!*Alive)
                   return;
                 Hooks_.After_(PollPeriod, [this, Alive] {
                   if (*Alive)
                     pollNextPeer();
                 });
                 onReply(Peer, Result);
               });
}

void DocumentRelay::onReply(const connection::Endpoint &Peer,
                            const HttpResult &Result) {
  if (Result.Error_ != TransportError::None) {
    Hooks_.Log_("peer_unreachable", "peer=" + connection::formatEndpoint(Peer) +
                                        " detail=\"" + Result.Detail_ + "\"");
    return;
  }
  if (Result.Response_.Status_ != StatusOk)
    return;
  Hooks_.Log_(Options_.ReceivedEvent_,
              "peer=" + connection::formatEndpoint(Peer));
  Hooks_.OnDocument_(Result.Response_.Body_);
}

} // namespace wigeonwall::process::dispatch
