#include "standins/platform_store_server.h"

#include "wigeonwall/connection/base64.h"
#include "wigeonwall/process/event_loop.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::standins {

using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;
using namespace std::chrono_literals;

namespace {

constexpr auto PollPeriod = 10ms;

/// Value of a query field; the system encodes nothing but "/" here.
std::string query(const std::string &Target, const std::string &Name) {
  const std::size_t Start = Target.find(Name + "=");
  if (Start == std::string::npos)
    return {};
  std::string Value = Target.substr(Start + Name.size() + 1);
  Value = Value.substr(0, Value.find('&'));
  for (std::size_t At = 0; (At = Value.find("%2F", At)) != std::string::npos;)
    Value.replace(At, 3, "/");
  return Value;
}

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

HttpResponse reply(const Json::Value &Body) {
  HttpResponse Response;
  Response.Body_ = request::writeJson(Body);
  return Response;
}

Json::Value encode(const std::string &Key, const std::string &Value,
                   std::uint64_t Revision) {
  Json::Value Row(Json::objectValue);
  Row["key"] = Key;
  Row["value"] = connection::encodeBase64(Value);
  Row["revision"] = Json::UInt64(Revision);
  return Row;
}

} // namespace

PlatformStoreServer::PlatformStoreServer(connection::asio::io_context &Context,
                                         connection::Endpoint Address)
    : Context_(Context),
      Server_(Context, std::move(Address), {},
              [this](const HttpRequest &Request, const HttpRespond &Respond) {
                handle(Request, Respond);
              }) {}

void PlatformStoreServer::put(const std::string &Key,
                              const std::string &Value) {
  Items_[Key] = {Value, ++Revision_, ""};
}

std::size_t PlatformStoreServer::count(const std::string &Prefix) const {
  std::size_t Result = 0;
  for (const auto &[Key, Value] : Items_)
    Result += Key.starts_with(Prefix) ? 1 : 0;
  return Result;
}

void PlatformStoreServer::handle(const HttpRequest &Request,
                                 const HttpRespond &Respond) {
  HttpResponse Response;
  const std::string &Target = Request.Target_;
  if (Busy_) {
    Response.Status_ = 503;
  } else if (Target.starts_with("/api/kv-range")) {
    Response = range(query(Target, "prefix"));
  } else if (Target.starts_with("/api/kv-watch")) {
    return watch(
        query(Target, "prefix"), number(query(Target, "after")),
        std::chrono::steady_clock::now() +
            std::chrono::milliseconds(number(query(Target, "wait_ms"))),
        Respond);
  } else if (Target == "/api/kv-lease") {
    Json::Value Body(Json::objectValue);
    Body["lease"] = Json::UInt64(++Leases_);
    Response = reply(Body);
  } else if (Target == "/api/kv-txn") {
    Response = commit(Request.Body_);
  } else if (Target.starts_with("/api/kv-lease-end/")) {
    const std::string Lease = Target.substr(Target.rfind('/') + 1);
    std::erase_if(Items_, [&Lease](const auto &Each) {
      return Each.second.Lease_ == Lease;
    });
    ++Revision_;
  } else if (!Target.starts_with("/api/kv-keep/")) {
    Response.Status_ = 404;
  }
  Respond(std::move(Response));
}

HttpResponse PlatformStoreServer::range(const std::string &Prefix) const {
  Json::Value Body(Json::objectValue);
  Body["items"] = Json::Value(Json::arrayValue);
  for (const auto &[Key, Item] : Items_)
    if (Key.starts_with(Prefix))
      Body["items"].append(encode(Key, Item.Value_, Item.Revision_));
  Body["truncated"] = false;
  Body["store_revision"] = Json::UInt64(Revision_);
  return reply(Body);
}

HttpResponse PlatformStoreServer::commit(const std::string &Text) {
  request::CodecFault Why;
  const auto Body = request::parseJson(Text, Why);
  HttpResponse Response;
  if (!Body) {
    Response.Status_ = 400;
    return Response;
  }
  for (const Json::Value &Put : (*Body)["puts"])
    Items_[Put["key"].asString()] = {
        *connection::decodeBase64(Put["value"].asString()), ++Revision_,
        Put["lease"].asString()};
  Json::Value Done(Json::objectValue);
  Done["revision"] = Json::UInt64(Revision_);
  return reply(Done);
}

Json::Value PlatformStoreServer::changes(const std::string &Prefix,
                                         std::uint64_t After) const {
  Json::Value Events(Json::arrayValue);
  for (const auto &[Key, Item] : Items_)
    if (Key.starts_with(Prefix) && Item.Revision_ > After)
      Events.append(encode(Key, Item.Value_, Item.Revision_));
  return Events;
}

void PlatformStoreServer::watch(const std::string &Prefix, std::uint64_t After,
                                std::chrono::steady_clock::time_point Until,
                                const HttpRespond &Respond) {
  Json::Value Events = changes(Prefix, After);
  if (Events.empty() && std::chrono::steady_clock::now() < Until)
    return process::makeSchedule(Context_)(
        PollPeriod, [=, this] { watch(Prefix, After, Until, Respond); });
  Json::Value Body(Json::objectValue);
  Body["events"] = std::move(Events);
  Body["store_revision"] = Json::UInt64(Revision_);
  Respond(reply(Body));
}

} // namespace wigeonwall::standins
