#include "wigeonwall/version/config_codec.h"

#include "config_validation.h"

#include "wigeonwall/request/field_reader.h"

namespace wigeonwall::version {

namespace {

constexpr int ConfigFormat = 1;
/// Largest integer that JSON readers using doubles represent exactly; the
/// schema has the same limit.
constexpr std::int64_t MaxVersion = 9'007'199'254'740'991;
constexpr std::size_t MaxEditIdLength = 64;

// The to...() functions expect values that conform to the schema.

KindConfig toKind(const Json::Value &Value) {
  KindConfig Kind;
  Kind.Name_ = Value["name"].asString();
  Kind.Urgency_ = Value["urgency"].asUInt();
  Kind.Weight_ = Value["weight"].asDouble();
  Kind.MinShare_ = Value.get("min_share", 0.0).asDouble();
  Kind.QueueLimit_ = Value["queue_limit"].asUInt();
  Kind.MaxTasksPerJob_ = Value["max_tasks_per_job"].asUInt();
  Kind.MaxTimeout_ =
      std::chrono::milliseconds(Value["max_timeout_ms"].asInt64());
  Kind.NonIdempotent_ = Value.get("non_idempotent", false).asBool();
  return Kind;
}

ServiceConfig toService(const Json::Value &Value) {
  ServiceConfig Service;
  Service.Name_ = Value["name"].asString();
  for (const Json::Value &Kind : Value["kinds"])
    Service.Kinds_.push_back(toKind(Kind));
  return Service;
}

Config toConfig(const Json::Value &Value) {
  Config Document;
  Document.Version_ = Value.get("version", 0).asUInt64();
  Document.EditId_ = Value.get("edit_id", "").asString();
  for (const Json::Value &Service : Value["services"])
    Document.Services_.push_back(toService(Service));
  for (const Json::Value &Team : Value["teams"])
    Document.Teams_.push_back(
        {Team["name"].asString(), Team["max_tasks_in_flight"].asUInt()});
  for (const Json::Value &Domain : Value["failure_domains"])
    Document.FailureDomains_.push_back(
        {Domain["name"].asString(), Domain["region"].asString()});
  const Json::Value &Limits = Value["limits"];
  Document.Limits_.RecordRetention_ =
      std::chrono::seconds(Limits["record_retention_s"].asInt64());
  Document.Limits_.MaxRecords_ = Limits["max_records"].asUInt();
  return Document;
}

Json::Value encodeKind(const KindConfig &Kind) {
  Json::Value Value;
  Value["name"] = Kind.Name_;
  Value["urgency"] = Kind.Urgency_;
  Value["weight"] = Kind.Weight_;
  Value["min_share"] = Kind.MinShare_;
  Value["queue_limit"] = Kind.QueueLimit_;
  Value["max_tasks_per_job"] = Kind.MaxTasksPerJob_;
  Value["max_timeout_ms"] = Json::Int64(Kind.MaxTimeout_.count());
  Value["non_idempotent"] = Kind.NonIdempotent_;
  return Value;
}

Json::Value encodeService(const ServiceConfig &Service) {
  Json::Value Value;
  Value["name"] = Service.Name_;
  Value["kinds"] = Json::Value(Json::arrayValue);
  for (const KindConfig &Kind : Service.Kinds_)
    Value["kinds"].append(encodeKind(Kind));
  return Value;
}

Json::Value encodeTeam(const TeamConfig &Team) {
  Json::Value Value;
  Value["name"] = Team.Name_;
  Value["max_tasks_in_flight"] = Team.MaxTasksInFlight_;
  return Value;
}

Json::Value encodeDomain(const FailureDomainConfig &Domain) {
  Json::Value Value;
  Value["name"] = Domain.Name_;
  Value["region"] = Domain.Region_;
  return Value;
}

std::optional<Json::Value> parse(std::string_view Text,
                                 std::vector<ConfigFault> &Faults) {
  request::CodecFault Fault;
  auto Value = request::parseJson(Text, Fault);
  if (!Value)
    Faults.push_back({ConfigError::Syntax, Fault.Message_, Fault.Position_});
  return Value;
}

void addFault(const request::CodecFault &Fault,
              std::vector<ConfigFault> &Faults) {
  Faults.push_back({ConfigError::Schema, Fault.Message_, Fault.Position_});
}

bool decodeEdits(const Json::Value &Values, StoredConfig &Stored,
                 std::vector<ConfigFault> &Faults) {
  for (Json::ArrayIndex I = 0; I < Values.size(); ++I) {
    request::CodecFault Fault;
    request::FieldReader Reader(Values[I], "/edits/" + std::to_string(I),
                                Fault);
    ConfigEdit Edit;
    std::int64_t Version = 0;
    Reader.identifier("edit_id", MaxEditIdLength, Edit.EditId_);
    Reader.integer("version", 1, MaxVersion, Version);
    if (!Reader.finish()) {
      addFault(Fault, Faults);
      return false;
    }
    Edit.Version_ = static_cast<std::uint64_t>(Version);
    Stored.Edits_.push_back(std::move(Edit));
  }
  const Config &Document = Stored.Config_;
  if (Stored.Edits_.empty() || Stored.Edits_.size() > MaxRecentEdits ||
      Stored.Edits_.back().EditId_ != Document.EditId_ ||
      Stored.Edits_.back().Version_ != Document.Version_) {
    Faults.push_back(
        {ConfigError::Semantics,
         "the last edit must have the edit_id and version of the document",
         "/edits"});
    return false;
  }
  return true;
}

} // namespace

std::optional<Config> decodeConfig(const Json::Value &Value,
                                   std::vector<ConfigFault> &Faults) {
  const std::size_t First = Faults.size();
  detail::checkSchema(Value, Faults);
  if (Faults.size() != First)
    return std::nullopt;
  Config Document = toConfig(Value);
  detail::checkSemantics(Document, Faults);
  if (Faults.size() != First)
    return std::nullopt;
  return Document;
}

std::optional<Config> parseConfig(std::string_view Text,
                                  std::vector<ConfigFault> &Faults) {
  const auto Value = parse(Text, Faults);
  return Value ? decodeConfig(*Value, Faults) : std::nullopt;
}

Json::Value encodeConfig(const Config &Document) {
  Json::Value Value;
  Value["format"] = ConfigFormat;
  if (Document.Version_ != 0)
    Value["version"] = Json::UInt64(Document.Version_);
  if (!Document.EditId_.empty())
    Value["edit_id"] = Document.EditId_;
  for (const char *Name : {"services", "teams", "failure_domains"})
    Value[Name] = Json::Value(Json::arrayValue);
  for (const ServiceConfig &Service : Document.Services_)
    Value["services"].append(encodeService(Service));
  for (const TeamConfig &Team : Document.Teams_)
    Value["teams"].append(encodeTeam(Team));
  for (const FailureDomainConfig &Domain : Document.FailureDomains_)
    Value["failure_domains"].append(encodeDomain(Domain));
  Value["limits"]["record_retention_s"] =
      Json::Int64(Document.Limits_.RecordRetention_.count());
  Value["limits"]["max_records"] = Document.Limits_.MaxRecords_;
  return Value;
}

std::optional<StoredConfig>
decodeStoredConfig(const Json::Value &Value, std::vector<ConfigFault> &Faults) {
  request::CodecFault Fault;
  request::FieldReader Reader(Value, "", Fault);
  Json::Value Edits(Json::arrayValue);
  Json::Value ConfigValue;
  Reader.any("config", ConfigValue);
  Reader.optionalArray("edits", Edits);
  if (!Reader.finish()) {
    addFault(Fault, Faults);
    return std::nullopt;
  }
  const std::size_t First = Faults.size();
  auto Document = decodeConfig(ConfigValue, Faults);
  for (std::size_t I = First; I < Faults.size(); ++I)
    Faults[I].Position_ = "/config" + Faults[I].Position_;
  if (!Document)
    return std::nullopt;
  StoredConfig Stored{std::move(*Document), {}};
  if (!decodeEdits(Edits, Stored, Faults))
    return std::nullopt;
  return Stored;
}

std::optional<StoredConfig>
parseStoredConfig(std::string_view Text, std::vector<ConfigFault> &Faults) {
  const auto Value = parse(Text, Faults);
  return Value ? decodeStoredConfig(*Value, Faults) : std::nullopt;
}

Json::Value encodeStoredConfig(const StoredConfig &Stored) {
  Json::Value Value;
  Value["config"] = encodeConfig(Stored.Config_);
  Value["edits"] = Json::Value(Json::arrayValue);
  for (const ConfigEdit &Edit : Stored.Edits_) {
    Json::Value Item;
    Item["edit_id"] = Edit.EditId_;
    Item["version"] = Json::UInt64(Edit.Version_);
    Value["edits"].append(std::move(Item));
  }
  return Value;
}

} // namespace wigeonwall::version
