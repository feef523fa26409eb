#include "wigeonwall/process/jobs/agent_context.h"

namespace wigeonwall::process {

namespace {

std::string readString(const Json::Value &Value, const char *Field) {
  if (!Value.isObject() || !Value[Field].isString())
    throw connection::RpcFault{std::string("/") + Field +
                               ": expected a string"};
  return Value[Field].asString();
}

} // namespace

bool isAlive(const request::HomeIdentity &Home, const ClusterView &View) {
  const Member *Found = View.findMember(Home.Id_);
  return Found != nullptr && Found->Incarnation_ == Home.Incarnation_ &&
         Found->State_ != MemberState::Dead &&
         Found->State_ != MemberState::Left;
}

request::Duration recordRetention(const ClusterView &View) {
  if (!View.Config_)
    return version::LimitsConfig{}.RecordRetention_;
  return View.Config_->Limits_.RecordRetention_;
}

version::Epoch currentEpoch(const ClusterView &View) {
  return View.Map_ ? View.Map_->Epoch_ : 0;
}

request::JobKey readJobKey(const Json::Value &Value) {
  return {readString(Value, "service"), readString(Value, "job_id")};
}

void writeJobKey(Json::Value &Value, const request::JobKey &Key) {
  Value["service"] = Key.Service_;
  Value["job_id"] = Key.Id_;
}

Json::Value encodeHome(const request::HomeIdentity &Home) {
  Json::Value Value;
  Value["id"] = Home.Id_;
  Value["incarnation"] = Json::Int64(Home.Incarnation_);
  Value["address"] = Home.Address_;
  return Value;
}

request::HomeIdentity decodeHome(const Json::Value &Value) {
  request::HomeIdentity Home;
  Home.Id_ = readString(Value, "id");
  Home.Incarnation_ =
      static_cast<std::int64_t>(readUnsigned(Value, "incarnation"));
  Home.Address_ = readString(Value, "address");
  return Home;
}

std::uint64_t readUnsigned(const Json::Value &Value, const char *Field) {
  if (!Value.isObject() || !Value[Field].isUInt64())
    throw connection::RpcFault{std::string("/") + Field +
                               ": expected an unsigned integer"};
  return Value[Field].asUInt64();
}

} // namespace wigeonwall::process
