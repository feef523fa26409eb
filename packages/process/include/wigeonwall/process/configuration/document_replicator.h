/// \file
/// \brief Replicates the newest configuration and map between processes.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_REPLICATOR_H
#define WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_REPLICATOR_H

#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/process/membership/membership_message.h"
#include "wigeonwall/version/versioned_document.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief Decodes a configuration document; null if it is not valid.
using ConfigDecoder =
    std::function<std::shared_ptr<const version::Config>(const Json::Value &)>;

/// \brief Dependencies of DocumentReplicator.
struct DocumentReplicatorHooks {
  std::function<void(const std::string &Address, const std::string &Method,
                     Json::Value Params, connection::RpcCallback Done)>
      Call_;
  /// Control addresses of up to 3 random peers.
  std::function<std::vector<std::string>()> RandomPeers_;
  ConfigDecoder DecodeConfig_;
  /// Called when a document has a new version.
  std::function<void()> Changed_;
  /// Writes one line to the log.
  std::function<void(const std::string &Line)> Report_;
};

/// \brief Holds the configuration and the map, and serves the methods
/// `document.announce` and `document.fetch`.
class DocumentReplicator {
public:
  DocumentReplicator(std::string OwnAddress, DocumentReplicatorHooks Hooks);

  /// \brief Adopts a document from the key-value service or a peer if it is
  /// newer than the current one, and announces it to 3 peers.
  bool offer(const std::string &Name, const Json::Value &Source);
  /// \brief Fetches the documents of which the peer at \p Address has a newer
  /// version.
  void onPeerVersions(const std::string &Address,
                      const DocumentVersions &Versions);

  /// \brief Handles `{"n": name, "v": version, "a": announcer's address}`.
  Json::Value onAnnounce(const Json::Value &Params);
  /// \brief Handles `{"n": name}`; returns `{"d": document}`, null if unknown.
  [[nodiscard]] Json::Value onFetch(const Json::Value &Params) const;

  [[nodiscard]] DocumentVersions versions() const noexcept {
    return {Configs_.version(), Maps_.version()};
  }
  [[nodiscard]] const std::shared_ptr<const version::Config> &
  config() const noexcept {
    return Configs_.value();
  }
  [[nodiscard]] const std::shared_ptr<const version::AgentMap> &
  map() const noexcept {
    return Maps_.value();
  }

private:
  void fetch(const std::string &Address, const std::string &Name);
  void announce(const std::string &Name, std::uint64_t Version);
  [[nodiscard]] std::uint64_t versionOf(const std::string &Name) const;

  std::string OwnAddress_;
  DocumentReplicatorHooks Hooks_;
  version::VersionedDocument<version::Config> Configs_;
  version::VersionedDocument<version::AgentMap> Maps_;
  /// Names of the documents that are being fetched.
  std::set<std::string> FetchesInFlight_;
};

} // namespace wigeonwall::process

#endif
