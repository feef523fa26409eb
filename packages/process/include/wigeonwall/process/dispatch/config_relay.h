/// \file
/// \brief Relays the newest configuration between entries during a partial
/// outage of the store.
#ifndef WIGEONWALL_PROCESS_DISPATCH_CONFIG_RELAY_H
#define WIGEONWALL_PROCESS_DISPATCH_CONFIG_RELAY_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/dispatch/document_relay.h"

#include <functional>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

struct ConfigRelayHooks {
  Schedule After_;
  /// Receives a document from a peer; its version may be older than the current
  /// one.
  std::function<void(const std::string &Document)> OnDocument_;
  std::function<void(const std::string &Event, const std::string &Detail)> Log_;
  /// Serves other requests of the entries; returns false for an unknown one.
  std::function<bool(const connection::HttpRequest &Request,
                     const connection::HttpRespond &Respond)>
      ServeOther_;
};

/// \brief Serves this entry's document at `GET /config?after=VERSION` and,
/// while polling is enabled, polls the other entries for newer documents.
///
/// A store outage may affect only some processes. The others still receive new
/// versions, and these have to take effect on every entry.
class ConfigRelay {
public:
  ConfigRelay(connection::asio::io_context &Context,
              connection::Endpoint Address, ConfigRelayHooks Hooks,
              connection::HttpLimits Limits = {});

  [[nodiscard]] bool listen() { return Server_.listen(); }
  /// \brief Sets the document to serve. Only newer versions are requested from
  /// peers.
  void setDocument(std::int64_t Version, std::string Document) {
    Relay_.setDocument(Version, std::move(Document));
  }
  void setPeers(std::vector<connection::Endpoint> Peers) {
    Relay_.setPeers(std::move(Peers));
  }
  /// \brief Enables polling of the peers; used while the store is unreachable.
  void setPolling(bool Enabled) { Relay_.setPolling(Enabled); }

private:
  void serve(const connection::HttpRequest &Request,
             const connection::HttpRespond &Respond) const;

  std::function<bool(const connection::HttpRequest &Request,
                     const connection::HttpRespond &Respond)>
      ServeOther_;
  DocumentRelay Relay_;
  connection::HttpServer Server_;
};

} // namespace wigeonwall::process::dispatch

#endif
