/// \file
/// \brief Highest known version of a document that all processes share.
#ifndef WIGEONWALL_VERSION_VERSIONED_DOCUMENT_H
#define WIGEONWALL_VERSION_VERSIONED_DOCUMENT_H

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace wigeonwall::version {

/// \brief Names of the shared documents in `document.announce` and
/// `document.fetch`.
inline constexpr const char *ConfigDocumentName = "config";
inline constexpr const char *MapDocumentName = "map";

/// \brief Holds one document and never replaces it with a lower version.
///
/// A read from the key-value service or a peer may return an older version than
/// the current one; it is ignored.
/// \code
/// VersionedDocument<AgentMap> Maps(MapDocumentName, [] { publish(); });
/// Maps.updateIfNewer(Map->Epoch_, Map, Source);
/// \endcode
template <typename Document> class VersionedDocument {
public:
  using Observer = std::function<void()>;

  /// \param Changed is called after each update.
  VersionedDocument(std::string Name, Observer Changed)
      : Name_(std::move(Name)), Changed_(std::move(Changed)) {}

  /// \brief Replaces the document if \p Version is higher; returns whether it
  /// did.
  /// \param Source is the JSON that is sent to peers.
  bool updateIfNewer(std::uint64_t Version,
                     std::shared_ptr<const Document> Value,
                     Json::Value Source) {
    if (!Value || Version <= Version_)
      return false;
    Version_ = Version;
    Value_ = std::move(Value);
    Source_ = std::move(Source);
    Changed_();
    return true;
  }

  [[nodiscard]] const std::string &name() const noexcept { return Name_; }
  /// \brief 0 before the first document.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version_; }
  /// \brief Null before the first document.
  [[nodiscard]] const std::shared_ptr<const Document> &value() const noexcept {
    return Value_;
  }
  [[nodiscard]] const Json::Value &source() const noexcept { return Source_; }

private:
  std::string Name_;
  Observer Changed_;
  std::uint64_t Version_ = 0;
  std::shared_ptr<const Document> Value_;
  Json::Value Source_;
};

} // namespace wigeonwall::version

#endif
