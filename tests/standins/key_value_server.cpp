#include "standins/key_value_server.h"

#include "wigeonwall/connection/base64.h"
#include "wigeonwall/connection/key_value_store.h"

#include "wigeonwall/request/field_reader.h"

#include <list>
#include <map>

namespace wigeonwall::standins {

using namespace connection;

namespace {

constexpr std::string_view KeyPrefix = "/v1/kv/";
constexpr std::chrono::milliseconds DefaultWait{300'000};
constexpr std::int64_t MaxFaultNumber = 1'000'000;

/// \brief Value of a query parameter; std::nullopt when absent.
std::optional<std::string> queryValue(const std::string &Target,
                                      const std::string &Name) {
  const std::size_t Query = Target.find('?');
  std::string Rest =
      Query == std::string::npos ? "" : "&" + Target.substr(Query + 1);
  const std::size_t Start = Rest.find("&" + Name + "=");
  if (Start == std::string::npos)
    return std::nullopt;
  Rest = Rest.substr(Start + Name.size() + 2);
  return Rest.substr(0, Rest.find('&'));
}

std::uint64_t parseNumber(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

/// \brief Parses "250ms" or "5s"; returns the default for anything else.
std::chrono::milliseconds parseWait(const std::optional<std::string> &Text) {
  if (!Text || parseNumber(*Text) == 0)
    return DefaultWait;
  const std::chrono::milliseconds Number(parseNumber(*Text));
  return Text->ends_with("ms") ? Number : Number * 1000;
}

HttpResponse plain(int Status, std::string Body) {
  return {Status, {}, std::move(Body), "text/plain"};
}

struct StoredValue {
  std::string Value_;
  std::uint64_t CreateIndex_ = 0;
  std::uint64_t ModifyIndex_ = 0;
};

struct PendingWatch {
  std::string Key_;
  std::uint64_t Index_ = 0;
  HttpRespond Respond_;
  asio::steady_timer Timer_;
};

} // namespace

struct KeyValueServer::State : std::enable_shared_from_this<State> {
  explicit State(asio::io_context &Context) : Context_(Context) {}

  void handle(HttpRequest Request, HttpRespond Respond) {
    const std::string Path =
        Request.Target_.substr(0, Request.Target_.find('?'));
    if (Path == "/standin/faults" && Request.Method_ == "PUT")
      return replaceFaults(Request, Respond);
    if (Path == "/standin/calls" && Request.Method_ == "GET")
      return Respond({200, {}, request::writeJson(encodeCalls())});
    if (!Path.starts_with(KeyPrefix))
      return Respond(plain(404, "no such path\n"));
    const std::string Key = Path.substr(KeyPrefix.size());
    if (Request.Method_ == "GET")
      return get(Key, Request, std::move(Respond));
    if (Request.Method_ == "PUT")
      return put(Key, std::move(Request), std::move(Respond));
    Respond(plain(405, "method not allowed\n"));
  }

  void get(const std::string &Key, const HttpRequest &Request,
           HttpRespond Respond) {
    const auto Index = queryValue(Request.Target_, "index");
    ++(Index ? Calls_.Watches_ : Calls_.Reads_);
    if (Faults_.Down_)
      return;
    const std::uint64_t Known = Index ? parseNumber(*Index) : 0;
    if (Known == 0 || (indexOf(Key) > Known && !Faults_.FreezeWatches_))
      return reply(readReply(Key), std::move(Respond));
    addWatch({Key, Known, std::move(Respond), asio::steady_timer(Context_)},
             parseWait(queryValue(Request.Target_, "wait")));
  }

  void put(const std::string &Key, HttpRequest Request, HttpRespond Respond) {
    ++Calls_.Writes_;
    if (Faults_.Down_)
      return;
    if (Request.Body_.size() > MaxStoreValueBytes)
      return reply(plain(413, "value too large\n"), std::move(Respond));
    const auto Expected = queryValue(Request.Target_, "cas");
    const auto Found = Values_.find(Key);
    const std::uint64_t Current =
        Found == Values_.end() ? 0 : Found->second.ModifyIndex_;
    const bool Swapped = !Expected || parseNumber(*Expected) == Current;
    if (Swapped)
      write(Key, std::move(Request.Body_));
    if (Faults_.LoseWriteReplies_ > 0) {
      --Faults_.LoseWriteReplies_;
      return;
    }
    reply({200, {}, Swapped ? "true" : "false"}, std::move(Respond));
  }

  void write(const std::string &Key, std::string Value) {
    StoredValue &Stored = Values_[Key];
    Stored.Value_ = std::move(Value);
    Stored.ModifyIndex_ = ++LastIndex_;
    if (Stored.CreateIndex_ == 0)
      Stored.CreateIndex_ = LastIndex_;
    if (Faults_.LoseWatchEvents_ > 0)
      --Faults_.LoseWatchEvents_;
    else
      notifyWatches();
  }

  /// Answers when the key changes or \p Wait has passed. Destroying a responder
  /// closes its connection.
  void addWatch(PendingWatch Query, std::chrono::milliseconds Wait) {
    const auto Position =
        PendingWatches_.insert(PendingWatches_.end(), std::move(Query));
    Position->Timer_.expires_after(Wait);
    Position->Timer_.async_wait([=, Weak = weak_from_this()](auto Error) {
      auto Self = Weak.lock();
      if (Error || !Self || Self->Faults_.FreezeWatches_)
        return;
      Self->reply(Self->readReply(Position->Key_),
                  std::move(Position->Respond_));
      Self->PendingWatches_.erase(Position);
    });
  }

  void notifyWatches() {
    if (Faults_.FreezeWatches_)
      return;
    for (auto Position = PendingWatches_.begin();
         Position != PendingWatches_.end();) {
      const auto Query = Position++;
      if (indexOf(Query->Key_) <= Query->Index_)
        continue;
      reply(readReply(Query->Key_), std::move(Query->Respond_));
      PendingWatches_.erase(Query);
    }
  }

  /// An absent key has the index of the last write of any key, as in Consul.
  [[nodiscard]] std::uint64_t indexOf(const std::string &Key) const {
    const auto Found = Values_.find(Key);
    return Found == Values_.end() ? LastIndex_ : Found->second.ModifyIndex_;
  }

  [[nodiscard]] HttpResponse readReply(const std::string &Key) const {
    HttpResponse Response;
    Response.Headers_ = {{"X-Consul-Index", std::to_string(indexOf(Key))}};
    const auto Found = Values_.find(Key);
    if (Found == Values_.end()) {
      Response.Status_ = 404;
      return Response;
    }
    Json::Value Entry;
    Entry["Key"] = Key;
    Entry["Flags"] = 0;
    Entry["LockIndex"] = 0;
    Entry["CreateIndex"] = Json::UInt64(Found->second.CreateIndex_);
    Entry["ModifyIndex"] = Json::UInt64(Found->second.ModifyIndex_);
    if (!Found->second.Value_.empty())
      Entry["Value"] = encodeBase64(Found->second.Value_);
    else
      Entry["Value"] = Json::Value();
    Json::Value Array(Json::arrayValue);
    Array.append(std::move(Entry));
    Response.Body_ = request::writeJson(Array);
    return Response;
  }

  void reply(HttpResponse Response, HttpRespond Respond) {
    if (!Faults_.MalformedReply_.empty())
      Response = {200, {}, Faults_.MalformedReply_};
    if (Faults_.Delay_.count() == 0)
      return Respond(std::move(Response));
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Faults_.Delay_);
    Timer->async_wait([=](auto) {
      (void)Timer;
      Respond(Response);
    });
  }

  void replaceFaults(const HttpRequest &Request, const HttpRespond &Respond) {
    request::CodecFault Ignored;
    const auto Value = request::parseJson(Request.Body_, Ignored);
    auto Faults = Value ? decodeFaults(*Value) : std::nullopt;
    if (!Faults)
      return Respond(plain(400, "malformed faults\n"));
    Faults_ = std::move(*Faults);
    Respond({200, {}, "true"});
  }

  [[nodiscard]] Json::Value encodeCalls() const {
    Json::Value Value;
    Value["reads"] = Json::UInt64(Calls_.Reads_);
    Value["writes"] = Json::UInt64(Calls_.Writes_);
    Value["watches"] = Json::UInt64(Calls_.Watches_);
    return Value;
  }

  asio::io_context &Context_;
  KeyValueFaults Faults_;
  KeyValueCalls Calls_;
  std::map<std::string, StoredValue> Values_;
  std::list<PendingWatch> PendingWatches_;
  std::uint64_t LastIndex_ = 1;
};

KeyValueServer::KeyValueServer(asio::io_context &Context, Endpoint Address)
    : State_(std::make_shared<State>(Context)),
      Server_(Context, std::move(Address), {.BodyBytes_ = 2 * 1024 * 1024},
              [Shared = State_](HttpRequest Request, HttpRespond Respond) {
                Shared->handle(std::move(Request), std::move(Respond));
              }) {}

KeyValueServer::~KeyValueServer() {
  // Breaks a reference cycle: each watch owns its session, which owns this
  // state.
  State_->PendingWatches_.clear();
}

bool KeyValueServer::listen() { return Server_.listen(); }

std::uint16_t KeyValueServer::port() const noexcept { return Server_.port(); }

void KeyValueServer::setFaults(KeyValueFaults Faults) {
  State_->Faults_ = std::move(Faults);
}

KeyValueCalls KeyValueServer::calls() const { return State_->Calls_; }

std::optional<std::string> KeyValueServer::value(const std::string &Key) const {
  const auto Found = State_->Values_.find(Key);
  if (Found == State_->Values_.end())
    return std::nullopt;
  return Found->second.Value_;
}

std::optional<KeyValueFaults> decodeFaults(const Json::Value &Value) {
  request::CodecFault Ignored;
  request::FieldReader Reader(Value, "", Ignored);
  KeyValueFaults Faults;
  std::int64_t DelayMs = 0;
  std::int64_t LostReplies = 0;
  std::int64_t LostEvents = 0;
  Reader.optionalBoolean("down", Faults.Down_);
  Reader.optionalInteger("delay_ms", 0, MaxFaultNumber, DelayMs);
  Reader.optionalInteger("lose_write_replies", 0, MaxFaultNumber, LostReplies);
  Reader.optionalBoolean("freeze_watches", Faults.FreezeWatches_);
  Reader.optionalInteger("lose_watch_events", 0, MaxFaultNumber, LostEvents);
  Reader.optionalString("malformed_reply", Faults.MalformedReply_);
  if (!Reader.finish())
    return std::nullopt;
  Faults.Delay_ = std::chrono::milliseconds(DelayMs);
  Faults.LoseWriteReplies_ = static_cast<unsigned>(LostReplies);
  Faults.LoseWatchEvents_ = static_cast<unsigned>(LostEvents);
  return Faults;
}

} // namespace wigeonwall::standins
