/// \file
/// \brief Relays the newest version of a document between entries during a
/// partial outage of the store.
#ifndef WIGEONWALL_PROCESS_DISPATCH_DOCUMENT_RELAY_H
#define WIGEONWALL_PROCESS_DISPATCH_DOCUMENT_RELAY_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/process/runtime/peer_call.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

struct DocumentRelayOptions {
  /// Path at which the entries serve the document.
  std::string Path_;
  /// Event that is logged when a peer has sent the document.
  std::string ReceivedEvent_;
};

struct DocumentRelayHooks {
  Schedule After_;
  /// Receives a document from a peer; its version may be older than the current
  /// one.
  std::function<void(const std::string &Document)> OnDocument_;
  std::function<void(const std::string &Event, const std::string &Detail)> Log_;
};

/// \brief Serves this entry's document at `GET PATH?after=VERSION` and, while
/// polling is enabled, polls the other entries for newer versions.
///
/// A peer of a build without the document answers 404, which is ignored.
class DocumentRelay {
public:
  DocumentRelay(connection::asio::io_context &Context,
                DocumentRelayOptions Options, DocumentRelayHooks Hooks);
  ~DocumentRelay();
  DocumentRelay(const DocumentRelay &) = delete;
  DocumentRelay &operator=(const DocumentRelay &) = delete;

  /// \brief Answers a request for the document; returns false for another
  /// request.
  bool serve(const connection::HttpRequest &Request,
             const connection::HttpRespond &Respond) const;
  /// \brief Sets the document to serve. Only newer versions are requested from
  /// peers.
  void setDocument(std::int64_t Version, std::string Document);
  void setPeers(std::vector<connection::Endpoint> Peers);
  /// \brief Enables polling of the peers; used while the store is unreachable.
  void setPolling(bool Enabled);

private:
  void pollNextPeer();
  void onReply(const connection::Endpoint &Peer,
               const connection::HttpResult &Result);

  DocumentRelayOptions Options_;
  DocumentRelayHooks Hooks_;
  connection::HttpClient Client_;
  std::int64_t Version_ = 0;
  /// Shared by the responses that are being sent.
  std::shared_ptr<const std::string> Document_;
  std::vector<connection::Endpoint> Peers_;
  std::size_t NextPeer_ = 0;
  bool PollingEnabled_ = false;
  bool RequestPending_ = false;
  /// Set to false on destruction, so that pending callbacks have no effect.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace wigeonwall::process::dispatch

#endif
