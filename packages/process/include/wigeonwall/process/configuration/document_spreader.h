/// \file
/// \brief Passes the newest configuration and map from process to process.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_SPREADER_H
#define WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_SPREADER_H

#include "wigeonwall/connection/rpc.h"
#include "wigeonwall/process/membership/membership_message.h"
#include "wigeonwall/version/versioned_document.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief Reads a configuration document; null when it is not valid.
using ConfigDecoder =
    std::function<std::shared_ptr<const version::Config>(const Json::Value &)>;

struct DocumentSpreaderHooks {
  std::function<void(const std::string &Address, const std::string &Method,
                     Json::Value Params, connection::RpcCallback Done)>
      Call_;
  /// Control addresses of 3 random peers.
  std::function<std::vector<std::string>()> Peers_;
  ConfigDecoder DecodeConfig_;
  /// A document has a new version.
  std::function<void()> Changed_;
  /// One line for the log.
  std::function<void(const std::string &Line)> Report_;
};

/// \brief Holds both document stores; serves `document.announce` and
/// `document.fetch`.
class DocumentSpreader {
public:
  DocumentSpreader(std::string OwnAddress, DocumentSpreaderHooks Hooks);

  /// \brief Takes over a document from the key-value service or a peer if it
  /// is newer, and announces it to 3 peers.
  bool offer(const std::string &Name, const Json::Value &Source);
  /// \brief Fetches what the peer at \p Address has newer.
  void noteVersions(const std::string &Address,
                    const DocumentVersions &Versions);

  /// \brief `{"n": name, "v": version, "a": address of the announcer}`.
  Json::Value onAnnounce(const Json::Value &Params);
  /// \brief `{"n": name}`; the result is `{"d": document}`, null if unknown.
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
  DocumentSpreaderHooks Hooks_;
  version::VersionedDocument<version::Config> Configs_;
  version::VersionedDocument<version::AgentMap> Maps_;
  /// Names with a fetch in flight.
  std::set<std::string> Fetching_;
};

} // namespace wigeonwall::process

#endif
