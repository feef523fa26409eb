#include "wigeonwall/process/configuration/document_spreader.h"

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

DocumentSpreader::DocumentSpreader(std::string OwnAddress,
                                   DocumentSpreaderHooks Hooks)
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

bool DocumentSpreader::offer(const std::string &Name,
                             const Json::Value &Source) {
  if (Name == ConfigDocumentName) {
    const auto Config = Hooks_.DecodeConfig_(Source);
    if (Config)
      return Configs_.updateIfNewer(Config->Version_, Config, Source);
    Hooks_.Report_("configuration document ignored: not valid");
    return false;
  }
  version::MapFault Why;
  auto Map = version::decodeMap(Source, Why);
  if (!Map) {
    Hooks_.Report_("map ignored: " + Why.Position_ + ": " + Why.Message_);
    return false;
  }
  const version::Epoch Epoch = Map->Epoch_;
  return Maps_.updateIfNewer(
      Epoch, std::make_shared<const version::AgentMap>(std::move(*Map)),
      Source);
}

void DocumentSpreader::noteVersions(const std::string &Address,
                                    const DocumentVersions &Versions) {
  if (Versions.Config_ > Configs_.version())
    fetch(Address, ConfigDocumentName);
  if (Versions.Map_ > Maps_.version())
    fetch(Address, MapDocumentName);
}

void DocumentSpreader::fetch(const std::string &Address,
                             const std::string &Name) {
  // A failed fetch is repeated by the next probe that names the version.
  if (!Fetching_.insert(Name).second)
    return;
  Json::Value Params;
  Params["n"] = Name;
  Hooks_.Call_(Address, "document.fetch", std::move(Params),
               [this, Name](const RpcResult &Result) {
                 Fetching_.erase(Name);
                 if (Result.ok() && Result.Value_.isObject() &&
                     Result.Value_["d"].isObject())
                   offer(Name, Result.Value_["d"]);
               });
}

void DocumentSpreader::announce(const std::string &Name,
                                std::uint64_t Version) {
  Json::Value Params;
  Params["n"] = Name;
  Params["v"] = Json::UInt64(Version);
  Params["a"] = OwnAddress_;
  for (const std::string &Address : Hooks_.Peers_())
    Hooks_.Call_(Address, "document.announce", Params,
                 [](const RpcResult &) {});
}

Json::Value DocumentSpreader::onAnnounce(const Json::Value &Params) {
  const std::string Name = readName(Params);
  if (!Params["v"].isUInt64() || !Params["a"].isString())
    throw RpcFault{"/v, /a: expected a version and an address"};
  if (Params["v"].asUInt64() > versionOf(Name))
    fetch(Params["a"].asString(), Name);
  return Json::Value(Json::objectValue);
}

Json::Value DocumentSpreader::onFetch(const Json::Value &Params) const {
  Json::Value Result;
  Result["d"] = readName(Params) == ConfigDocumentName ? Configs_.source()
                                                       : Maps_.source();
  return Result;
}

std::uint64_t DocumentSpreader::versionOf(const std::string &Name) const {
  return Name == ConfigDocumentName ? Configs_.version() : Maps_.version();
}

} // namespace wigeonwall::process
