#include "wigeonwall/process/configuration/document_replicator.h"

#include <utility>

namespace wigeonwall::process {

using connection::RpcFault;
using connection::RpcResult;
using version::ConfigDocumentName;
using version::MapDocumentName;

namespace {

std::string readName(const Json::Value &Params) {
  const Json::Value &Name = Params["n"];
  if (!Name.isString() || (Name.asString() != ConfigDocumentName &&
                           Name.asString() != MapDocumentName))
    throw RpcFault{"/n: expected \"config\" or \"map\""};
  return Name.asString();
}

} // namespace

DocumentReplicator::DocumentReplicator(std::string OwnAddress,
                                       DocumentReplicatorHooks Hooks)
    : OwnAddress_(std::move(OwnAddress)), Hooks_(std::move(Hooks)),
      Configs_(ConfigDocumentName,
               [this] {
                 announce(ConfigDocumentName, Configs_.version());
                 Hooks_.Changed_();
               }),
      Maps_(MapDocumentName, [this] {
        announce(MapDocumentName, Maps_.version());
        Hooks_.Changed_();
      }) {}

bool DocumentReplicator::offer(const std::string &Name,
                               const Json::Value &Source) {
  if (Name == ConfigDocumentName) {
    const auto Config = Hooks_.DecodeConfig_(Source);
    if (Config)
      return Configs_.updateIfNewer(Config->Version_, Config, Source);
    Hooks_.Report_("ignored an invalid configuration document");
    return false;
  }
  version::MapFault Fault;
  auto Map = version::decodeMap(Source, Fault);
  if (!Map) {
    Hooks_.Report_("ignored an invalid agent map: " + Fault.Position_ + ": " +
                   Fault.Message_);
    return false;
  }
  const version::Epoch Epoch = Map->Epoch_;
  return Maps_.updateIfNewer(
      Epoch, std::make_shared<const version::AgentMap>(std::move(*Map)),
      Source);
}

void DocumentReplicator::onPeerVersions(const std::string &Address,
                                        const DocumentVersions &Versions) {
  if (Versions.Config_ > Configs_.version())
    fetch(Address, ConfigDocumentName);
  if (Versions.Map_ > Maps_.version())
    fetch(Address, MapDocumentName);
}

void DocumentReplicator::fetch(const std::string &Address,
                               const std::string &Name) {
  // A failed fetch is retried when the next probe reports the version.
  if (!FetchesInFlight_.insert(Name).second)
    return;
  Json::Value Params;
  Params["n"] = Name;
  Hooks_.Call_(Address, "document.fetch", std::move(Params),
               [this, Name](const RpcResult &Result) {
                 FetchesInFlight_.erase(Name);
                 if (Result.ok() && Result.Value_.isObject() &&
                     Result.Value_["d"].isObject())
                   offer(Name, Result.Value_["d"]);
               });
}

void DocumentReplicator::announce(const std::string &Name,
                                  std::uint64_t Version) {
  Json::Value Params;
  Params["n"] = Name;
  Params["v"] = Json::UInt64(Version);
  Params["a"] = OwnAddress_;
  for (const std::string &Address : Hooks_.RandomPeers_())
    Hooks_.Call_(Address, "document.announce", Params,
                 [](const RpcResult &) {});
}

Json::Value DocumentReplicator::onAnnounce(const Json::Value &Params) {
  const std::string Name = readName(Params);
  if (!Params["v"].isUInt64() || !Params["a"].isString())
    throw RpcFault{"/v, /a: expected a version and an address"};
  if (Params["v"].asUInt64() > versionOf(Name))
    fetch(Params["a"].asString(), Name);
  return Json::Value(Json::objectValue);
}

Json::Value DocumentReplicator::onFetch(const Json::Value &Params) const {
  Json::Value Result;
  Result["d"] = readName(Params) == ConfigDocumentName ? Configs_.source()
                                                       : Maps_.source();
  return Result;
}

std::uint64_t DocumentReplicator::versionOf(const std::string &Name) const {
  return Name == ConfigDocumentName ? Configs_.version() : Maps_.version();
}

} // namespace wigeonwall::process
