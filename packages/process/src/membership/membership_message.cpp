#include "wigeonwall/process/membership/membership_message.h"

#include "wigeonwall/request/field_reader.h"

namespace wigeonwall::process {

using request::CodecFault;
using request::FieldReader;

namespace {

/// Positions in the array of an update.
enum Field : Json::ArrayIndex {
  Id,
  Incarnation,
  Revision,
  State,
  StoppedAt,
  RoleName,
  Control,
  Traffic,
  Domain,
  Service,
  FieldCount
};

constexpr int AnnouncedStateCount = 3;
constexpr int CodeCount = 9;

int announcedStateCode(MemberState Announced) {
  if (Announced == MemberState::Left)
    return 2;
  return Announced == MemberState::Leaving ? 1 : 0;
}

MemberState announcedState(int Code) {
  static constexpr std::array<MemberState, AnnouncedStateCount> AnnouncedStates{
      MemberState::Alive, MemberState::Leaving, MemberState::Left};
  return AnnouncedStates[static_cast<std::size_t>(Code % AnnouncedStateCount)];
}

Json::Value encodeUpdate(const MemberUpdate &Update) {
  const Member &About = Update.Member_;
  Json::Value Value(Json::arrayValue);
  Value.append(About.Id_);
  Value.append(Json::Int64(About.Incarnation_));
  Value.append(Update.Revision_);
  Value.append(announcedStateCode(About.State_) +
               AnnouncedStateCount * static_cast<int>(Update.Suspicion_));
  if (!Update.Complete_ && Update.StoppedAtMs_ == 0)
    return Value;
  Value.append(Json::Int64(Update.StoppedAtMs_));
  if (!Update.Complete_)
    return Value;
  Value.append(std::string(findName(RoleNames, About.Role_)));
  Value.append(About.ControlAddress_);
  Value.append(About.TrafficAddress_);
  Value.append(About.FailureDomain_);
  Value.append(About.Service_);
  return Value;
}

bool hasValidTypes(const Json::Value &Value) {
  if (!Value.isArray())
    return false;
  const Json::ArrayIndex Size = Value.size();
  if (Size != StoppedAt && Size != RoleName && Size != FieldCount)
    return false;
  if (!Value[Id].isString() || Value[Id].asString().empty() ||
      !Value[Incarnation].isInt64() || !Value[Revision].isUInt() ||
      !Value[State].isInt() || Value[State].asInt() < 0 ||
      Value[State].asInt() >= CodeCount)
    return false;
  if (Size > StoppedAt && !Value[StoppedAt].isInt64())
    return false;
  for (Json::ArrayIndex I = RoleName; I < Size; ++I)
    if (!Value[I].isString())
      return false;
  return true;
}

std::optional<MemberUpdate> decodeUpdate(const Json::Value &Value) {
  if (!hasValidTypes(Value))
    return std::nullopt;
  MemberUpdate Update;
  const int Code = Value[State].asInt();
  Update.Member_.Id_ = Value[Id].asString();
  Update.Member_.Incarnation_ = Value[Incarnation].asInt64();
  Update.Member_.State_ = announcedState(Code);
  Update.Revision_ = Value[Revision].asUInt();
  Update.Suspicion_ = static_cast<Suspicion>(Code / AnnouncedStateCount);
  if (Value.size() > StoppedAt)
    Update.StoppedAtMs_ = Value[StoppedAt].asInt64();
  Update.Complete_ = Value.size() == FieldCount;
  if (!Update.Complete_)
    return Update;
  const auto Named = request::findValue(RoleNames, Value[RoleName].asString());
  if (!Named)
    return std::nullopt;
  Update.Member_.Role_ = *Named;
  Update.Member_.ControlAddress_ = Value[Control].asString();
  Update.Member_.TrafficAddress_ = Value[Traffic].asString();
  Update.Member_.FailureDomain_ = Value[Domain].asString();
  Update.Member_.Service_ = Value[Service].asString();
  return Update;
}

Json::Value encodeUpdates(const std::vector<MemberUpdate> &Updates) {
  Json::Value Value(Json::arrayValue);
  for (const MemberUpdate &Update : Updates)
    Value.append(encodeUpdate(Update));
  return Value;
}

bool decodeUpdates(const Json::Value &Value, const std::string &Position,
                   std::vector<MemberUpdate> &Out, MembershipFault &Why) {
  for (Json::ArrayIndex I = 0; I < Value.size(); ++I) {
    auto Update = decodeUpdate(Value[I]);
    if (!Update) {
      Why = {MembershipError::Malformed, "malformed member update",
             Position + "/" + std::to_string(I)};
      return false;
    }
    Out.push_back(std::move(*Update));
  }
  return true;
}

bool decodeVersions(const Json::Value &Value, DocumentVersions &Out) {
  if (Value.size() != 2 || !Value[0].isUInt64() || !Value[1].isUInt64())
    return false;
  Out = {Value[0].asUInt64(), Value[1].asUInt64()};
  return true;
}

} // namespace

MemberState MemberUpdate::state() const noexcept {
  if (Member_.State_ == MemberState::Left)
    return MemberState::Left;
  if (Suspicion_ == Suspicion::Dead)
    return MemberState::Dead;
  // Leaving takes precedence over Suspect: the member gets no new work in
  // either state.
  if (Member_.State_ == MemberState::Leaving)
    return MemberState::Leaving;
  return Suspicion_ == Suspicion::Suspect ? MemberState::Suspect
                                          : MemberState::Alive;
}

bool MemberUpdate::present() const noexcept {
  return Member_.State_ != MemberState::Left && Suspicion_ != Suspicion::Dead;
}

Json::Value encodeMessage(const MembershipMessage &Message) {
  Json::Value Value;
  Value["f"] = encodeUpdate(Message.From_);
  Value["h"] = Message.Digest_;
  Value["v"].append(Json::UInt64(Message.Versions_.Config_));
  Value["v"].append(Json::UInt64(Message.Versions_.Map_));
  if (!Message.Updates_.empty())
    Value["u"] = encodeUpdates(Message.Updates_);
  if (!Message.List_.empty())
    Value["l"] = encodeUpdates(Message.List_);
  if (Message.Target_)
    Value["t"] = encodeUpdate(*Message.Target_);
  if (Message.UnknownSender_)
    Value["x"] = true;
  return Value;
}

std::optional<MembershipMessage> decodeMessage(const Json::Value &Value,
                                               MembershipFault &Why) {
  CodecFault Inner;
  FieldReader Reader(Value, "", Inner);
  MembershipMessage Message;
  Json::Value From;
  Json::Value Target;
  Json::Value Versions(Json::arrayValue);
  Json::Value Updates(Json::arrayValue);
  Json::Value List(Json::arrayValue);
  std::int64_t Digest = 0;
  Reader.any("f", From);
  Reader.any("t", Target);
  Reader.integer("h", 0, UINT32_MAX, Digest);
  Reader.optionalArray("v", Versions);
  Reader.optionalArray("u", Updates);
  Reader.optionalArray("l", List);
  Reader.optionalBoolean("x", Message.UnknownSender_);
  if (!Reader.finish()) {
    Why = {MembershipError::Malformed, Inner.Message_, Inner.Position_};
    return std::nullopt;
  }
  auto Sender = decodeUpdate(From);
  if (!Sender || !decodeVersions(Versions, Message.Versions_)) {
    Why = {MembershipError::Malformed, "malformed sender or versions",
           Sender ? "/v" : "/f"};
    return std::nullopt;
  }
  Message.From_ = std::move(*Sender);
  Message.Digest_ = static_cast<std::uint32_t>(Digest);
  if (!Target.isNull()) {
    Message.Target_ = decodeUpdate(Target);
    if (!Message.Target_) {
      Why = {MembershipError::Malformed, "malformed target", "/t"};
      return std::nullopt;
    }
  }
  if (!decodeUpdates(Updates, "/u", Message.Updates_, Why) ||
      !decodeUpdates(List, "/l", Message.List_, Why))
    return std::nullopt;
  return Message;
}

} // namespace wigeonwall::process
