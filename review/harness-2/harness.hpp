// Stand-ins of the store, the minions and the callers, and a runner of the
// project's own processes, for the scripts of this review. Everything runs on
// one thread. The interfaces follow the users' PROTOCOL.md.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <json/json.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using asio::awaitable;
using namespace std::chrono_literals;
using Error = boost::system::error_code;

/// Makes an operation of asio report its error in \p error.
inline auto token(Error &error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Millis = std::int64_t;

// ---------------------------------------------------------------- time, log

inline asio::io_context io;
inline std::ofstream record;
inline const auto started = std::chrono::steady_clock::now();

inline Millis now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - started)
      .count();
}

inline void note(const std::string &line) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%7.3f ", double(now()) / 1000);
  record << stamp << line << "\n" << std::flush;
}

inline awaitable<void> pause(Millis ms) {
  asio::steady_timer timer(io, std::chrono::milliseconds(ms));
  Error ignored;
  co_await timer.async_wait(token(ignored));
}

inline awaitable<void> until(Millis at) {
  const Millis left = at - now();
  if (left > 0)
    co_await pause(left);
}

inline std::string str(const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

inline Json::Value parse(const std::string &text) {
  Json::Value value;
  Json::CharReaderBuilder builder;
  std::string errors;
  std::istringstream stream(text);
  if (!Json::parseFromStream(builder, stream, &value, &errors) ||
      !value.isObject())
    return Json::Value(Json::objectValue);
  return value;
}

inline std::string base64(const std::string &text, bool decode) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const unsigned char c : text) {
    if (decode) {
      const auto at = digits.find(char(c));
      if (at == std::string::npos)
        break;
      bits = bits << 6 | unsigned(at);
      if ((count += 6) >= 8)
        out += char(bits >> (count -= 8) & 0xff);
    } else {
      bits = bits << 8 | c;
      for (count += 8; count >= 6;)
        out += digits[bits >> (count -= 6) & 63];
    }
  }
  if (!decode) {
    if (count > 0)
      out += digits[bits << (6 - count) & 63];
    while (out.size() % 4 != 0)
      out += '=';
  }
  return out;
}

// -------------------------------------------------------------- HTTP server

/// A listener. Connections that were open when silence() is called get no
/// further answer; new ones work.
class Server {
public:
  using Handler = std::function<awaitable<std::optional<Response>>(Request &)>;

  Server(std::string address, Handler handler)
      : handler_(std::move(handler)), address_(std::move(address)) {}

  void listen(unsigned short port = 0) {
    const tcp::endpoint at(asio::ip::make_address(address_), port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(io, accept(), asio::detached);
  }
  /// Closes the listener and all connections, as the end of a process does.
  void close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &weak : open_)
      if (const auto socket = weak.lock())
        socket->close(ignored);
    open_.clear();
  }
  void silence() { ++generation_; }
  [[nodiscard]] unsigned short port() const { return port_; }
  [[nodiscard]] std::string where() const {
    return address_ + ":" + std::to_string(port_);
  }

private:
  awaitable<void> accept() {
    for (;;) {
      Error error;
      tcp::socket socket = co_await acceptor_.async_accept(token(error));
      if (error)
        co_return;
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      open_.push_back(shared);
      asio::co_spawn(io, serve(shared, generation_), asio::detached);
    }
  }
  awaitable<void> serve(std::shared_ptr<tcp::socket> socket, int generation) {
    beast::flat_buffer buffer;
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    for (;;) {
      Request request;
      Error error;
      co_await http::async_read(*socket, buffer, request, token(error));
      if (error)
        break;
      const bool keep = request.keep_alive();
      auto response = co_await handler_(request);
      if (!response || generation != generation_) {
        // No answer on this connection any more; read until it is closed.
        std::array<char, 1024> sink;
        for (;;) {
          co_await socket->async_read_some(asio::buffer(sink), token(error));
          if (error)
            co_return;
        }
      }
      response->version(11);
      response->keep_alive(keep);
      response->prepare_payload();
      co_await http::async_write(*socket, *response, token(error));
      if (error || !keep)
        break;
    }
    socket->close(ignored);
  }

  Handler handler_;
  std::string address_;
  tcp::acceptor acceptor_{io};
  unsigned short port_ = 0;
  int generation_ = 0;
  std::vector<std::weak_ptr<tcp::socket>> open_;
};

inline Response answer(int status, const Json::Value &body) {
  Response response;
  response.result(unsigned(status));
  response.set(http::field::content_type, "application/json");
  response.body() = str(body);
  return response;
}

// -------------------------------------------------------------- HTTP client

struct Reply {
  int status = 0; ///< 0: no answer
  std::string body;
};

using Headers = std::map<std::string, std::string>;

/// Headers of a caller's request.
inline Headers callerHeaders(Millis deadline) {
  Headers out;
  out["Host"] = "desk.example";
  out["Wigeonwall-Deadline-Ms"] = std::to_string(deadline);
  return out;
}

/// Sends one request on a connection of its own. Closes the connection after
/// \p timeout.
inline awaitable<Reply> call(std::string method, std::string where,
                             std::string target, std::string body,
                             Millis timeout, Headers headers) {
  Reply reply;
  const auto colon = where.rfind(':');
  const tcp::endpoint peer(
      asio::ip::make_address(where.substr(0, colon)),
      static_cast<unsigned short>(std::stoi(where.substr(colon + 1))));
  beast::tcp_stream stream(io);
  stream.expires_after(std::chrono::milliseconds(timeout));
  Error error;
  co_await stream.async_connect(peer, token(error));
  if (error)
    co_return reply;
  Request request;
  request.method_string(method);
  request.target(target);
  request.version(11);
  request.set(http::field::host, where);
  for (const auto &[name, value] : headers)
    request.set(name, value);
  if (!body.empty())
    request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.prepare_payload();
  co_await http::async_write(stream, request, token(error));
  if (error)
    co_return reply;
  beast::flat_buffer buffer;
  Response response;
  co_await http::async_read(stream, buffer, response, token(error));
  if (error)
    co_return reply;
  reply.status = int(response.result_int());
  reply.body = response.body();
  boost::system::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  co_return reply;
}

// -------------------------------------------------------------------- store

/// How the store treats the machine that uses a listener.
enum class Access { Served, Busy, Silent };

class Store {
public:
  /// Each machine reaches the store at an address of its own, so that single
  /// machines can be turned away.
  std::string addAccess(const std::string &machine) {
    auto &entry = access_[machine];
    entry.server =
        std::make_unique<Server>("127.0.0.1", [this, machine](Request &r) {
          return handle(machine, r);
        });
    entry.server->listen();
    return entry.server->where();
  }
  void setAccess(const std::string &machine, Access value) {
    access_.at(machine).mode = value;
  }
  void silence(const std::string &machine) {
    access_.at(machine).server->silence();
  }
  /// Written by the operator; the return is the acknowledgement.
  void put(const std::string &key, const std::string &value) {
    change(key, value, 0);
  }
  [[nodiscard]] bool has(const std::string &key) const {
    const auto found = items_.find(key);
    return found != items_.end() && !found->second.deleted;
  }

  void start() { asio::co_spawn(io, expire(), asio::detached); }

private:
  struct Item {
    std::string value;
    Millis lease = 0;
    std::uint64_t revision = 0, created = 0;
    bool deleted = false;
  };
  struct Lease {
    Millis ttl = 0, ends = 0;
  };
  struct AccessPoint {
    std::unique_ptr<Server> server;
    Access mode = Access::Served;
  };

  void change(const std::string &key, const std::string &value, Millis lease) {
    Item &item = items_[key];
    if (item.revision == 0 || item.deleted)
      item.created = revision_ + 1;
    item.value = value;
    item.lease = lease;
    item.deleted = false;
    item.revision = ++revision_;
  }
  void remove(const std::string &key) {
    Item &item = items_[key];
    item.deleted = true;
    item.revision = ++revision_;
    note("store: key " + key + " removed");
  }
  void endLease(Millis id) {
    leases_.erase(id);
    for (auto &[key, item] : items_)
      if (!item.deleted && item.lease == id)
        remove(key);
  }
  awaitable<void> expire() {
    for (;;) {
      co_await pause(10);
      std::vector<Millis> over;
      for (const auto &[id, lease] : leases_)
        if (lease.ends < now())
          over.push_back(id);
      for (const Millis id : over)
        endLease(id);
    }
  }
  static std::string query(const std::string &target, const std::string &name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const std::string part =
          target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(name + "=", 0) == 0) {
        std::string out;
        for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
          if (part[i] == '%' && i + 2 < part.size()) {
            out += char(std::stoi(part.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            out += part[i];
          }
        }
        return out;
      }
      at = end;
    }
    return {};
  }
  static std::uint64_t number(const std::string &text) {
    return text.empty() ? 0 : std::stoull(text);
  }
  [[nodiscard]] static Json::Value row(const std::string &key,
                                       const Item &item) {
    Json::Value out(Json::objectValue);
    out["key"] = key;
    out["revision"] = Json::UInt64(item.revision);
    if (item.deleted) {
      out["deleted"] = true;
      return out;
    }
    out["value"] = base64(item.value, false);
    out["created"] = Json::UInt64(item.created);
    out["lease"] = Json::Int64(item.lease);
    return out;
  }

  awaitable<std::optional<Response>> handle(std::string machine,
                                            Request &request) {
    co_await pause(2);
    auto refuse = [&]() -> std::optional<Response> {
      if (access_.at(machine).mode == Access::Silent)
        return std::nullopt;
      return answer(503, Json::Value(Json::objectValue));
    };
    if (access_.at(machine).mode != Access::Served)
      co_return refuse();
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string last = path.substr(path.rfind('/') + 1);
    const Json::Value body = parse(request.body());
    Json::Value out(Json::objectValue);
    if (path == "/api/kv-range") {
      const std::string prefix = query(target, "prefix");
      const std::string after = query(target, "after");
      out["items"] = Json::Value(Json::arrayValue);
      for (const auto &[key, item] : items_)
        if (!item.deleted && key.rfind(prefix, 0) == 0 && key > after)
          out["items"].append(row(key, item));
      out["truncated"] = false;
      out["store_revision"] = Json::UInt64(revision_);
      co_return answer(200, out);
    }
    if (path == "/api/kv-key") {
      const auto found = items_.find(query(target, "key"));
      if (found == items_.end() || found->second.deleted)
        co_return answer(404, out);
      out = row(found->first, found->second);
      out["store_revision"] = Json::UInt64(revision_);
      co_return answer(200, out);
    }
    if (path == "/api/kv-watch") {
      const std::string prefix = query(target, "prefix");
      const auto after = number(query(target, "after"));
      const Millis end = now() + Millis(number(query(target, "wait_ms")));
      for (;;) {
        if (access_.at(machine).mode != Access::Served)
          co_return refuse();
        std::map<std::uint64_t, Json::Value> events;
        for (const auto &[key, item] : items_)
          if (item.revision > after && key.rfind(prefix, 0) == 0)
            events[item.revision] = row(key, item);
        if (!events.empty() || now() >= end) {
          out["events"] = Json::Value(Json::arrayValue);
          for (const auto &[revision, event] : events)
            out["events"].append(event);
          out["store_revision"] = Json::UInt64(revision_);
          co_return answer(200, out);
        }
        co_await pause(3);
      }
    }
    if (path == "/api/kv-lease") {
      const Millis ttl = body["ttl_ms"].asInt64();
      leases_[++lastLease_] = {ttl, now() + ttl};
      out["lease"] = Json::Int64(lastLease_);
      out["ttl_ms"] = Json::Int64(ttl);
      co_return answer(200, out);
    }
    if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto found = leases_.find(Millis(number(last)));
      if (found == leases_.end())
        co_return answer(404, out);
      found->second.ends = now() + found->second.ttl;
      out["ttl_ms"] = Json::Int64(found->second.ttl);
      co_return answer(200, out);
    }
    if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      endLease(Millis(number(last)));
      co_return answer(200, out);
    }
    if (path == "/api/kv-txn") {
      for (const Json::Value &each : body["precondition"]) {
        const auto found = items_.find(each["key"].asString());
        const std::uint64_t present =
            found == items_.end() || found->second.deleted
                ? 0
                : found->second.revision;
        if (present != each["revision"].asUInt64())
          co_return answer(412, out);
      }
      for (const Json::Value &each : body["puts"])
        if (each["lease"].asInt64() != 0 &&
            leases_.count(each["lease"].asInt64()) == 0)
          co_return answer(404, out);
      for (const Json::Value &each : body["puts"])
        change(each["key"].asString(), base64(each["value"].asString(), true),
               each["lease"].asInt64());
      for (const Json::Value &each : body["remove"])
        if (has(each.asString()))
          remove(each.asString());
      out["revision"] = Json::UInt64(revision_);
      co_return answer(200, out);
    }
    co_return answer(404, out);
  }

  std::map<std::string, AccessPoint> access_;
  std::map<std::string, Item> items_;
  std::map<Millis, Lease> leases_;
  Millis lastLease_ = 100;
  std::uint64_t revision_ = 10;
};

// ------------------------------------------------------------------ minions

/// One start or end of a run, as a minion saw it.
struct Event {
  Millis at;
  std::string minion, task;
  std::int64_t run;
  std::string how; ///< "start", or how it ended
};
inline std::vector<Event> events;

/// Returns a free port of the loopback interface.
unsigned short freePort();

/// The work of a task is in the spec of its job: "work=MS fail=0|1 cpu=N".
inline Millis specValue(const std::string &spec, const std::string &name,
                        Millis otherwise) {
  const auto at = spec.find(name + "=");
  return at == std::string::npos
             ? otherwise
             : std::atoll(spec.c_str() + at + name.size() + 1);
}

struct MinionOptions {
  std::string id, service = "desk";
  std::string control; ///< where the agent takes heartbeats
  Millis cpu = 32000, ram = 65536;
  std::vector<std::string> labels = {"a", "r1-1"};
  Millis beat = 1500;
  Millis stopTime = 30; ///< at most stop_timeout_ms (50)
  Millis maxHold = 1000;
};

class Minion {
public:
  explicit Minion(MinionOptions options)
      : options_(std::move(options)),
        server_(std::make_unique<Server>(
            "127.0.0.1", [this](Request &r) { return handle(r); })) {
    server_->listen(freePort());
    begin();
    asio::co_spawn(io, work(), asio::detached);
    asio::co_spawn(io, beats(), asio::detached);
  }
  /// The process crashes: connections break, nothing is said.
  void crash() {
    const auto port = server_->port();
    for (auto &[key, run] : runs_)
      events.push_back({now(), options_.id, key.first, key.second, "lost"});
    note("minion " + options_.id + ": crashed with " +
         std::to_string(runs_.size()) + " runs");
    runs_.clear();
    up_ = false;
    server_->close();
    port_ = port;
  }
  /// It starts again under its id at its address, as another process.
  void restart(std::function<void(MinionOptions &)> change = {}) {
    if (change)
      change(options_);
    server_ = std::make_unique<Server>(
        "127.0.0.1", [this](Request &r) { return handle(r); });
    server_->listen(port_);
    begin();
    note("minion " + options_.id + ": started again, born " +
         std::to_string(born_));
  }
  [[nodiscard]] Millis cpuInUse() const {
    Millis sum = 0;
    for (const auto &[key, run] : runs_)
      sum += run.cpu;
    return sum;
  }
  [[nodiscard]] const MinionOptions &options() const { return options_; }
  [[nodiscard]] std::size_t running() const { return runs_.size(); }
  void silence() { server_->silence(); }

  /// What happens to an order.
  struct Fault {
    bool answered = true;
    /// Not answered, and carried out after that many ms.
    Millis delay = 0;
    /// Carried out also if the minion has started again under its id meanwhile.
    bool outlasts = false;
  };
  std::function<Fault(const std::string &path, const Json::Value &)> onOrder;
  /// Called for each start that brings the minion over its capacity.
  std::function<void(const std::string &task)> onOver;
  /// Sends heartbeats while true.
  bool beating = true;
  /// When the last heartbeat was sent.
  Millis lastBeat = 0;

private:
  using Key = std::pair<std::string, std::int64_t>;
  struct Run {
    Millis startedAt, work, cpu, stopAt = -1;
    bool fail = false;
  };

  void begin() {
    up_ = true;
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    bornAt_ = now();
    sequence_ = token_ = lease_ = observed_ = 0;
    nextEnd_ = 1;
    finished_.clear();
    refused_.clear();
  }
  [[nodiscard]] Millis clock() const { return 5000 + now() - bornAt_; }

  void end(const Key &key, const std::string &how) {
    events.push_back({now(), options_.id, key.first, key.second, how});
    note("minion " + options_.id + ": " + key.first + " run " +
         std::to_string(key.second) + " ended " + how);
    runs_.erase(key);
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(nextEnd_));
    row.append(key.first);
    row.append(Json::Int64(key.second));
    row.append(how);
    row.append("");
    finished_[nextEnd_++] = row;
    refused_[key.first] = std::max(refused_[key.first], key.second);
  }
  void update() {
    std::vector<std::pair<Key, std::string>> over;
    for (const auto &[key, run] : runs_) {
      if (clock() > lease_)
        over.emplace_back(key, "lapsed");
      else if (run.stopAt >= 0 && now() >= run.stopAt)
        over.emplace_back(key, "stopped");
      else if (now() - run.startedAt >= run.work)
        over.emplace_back(key, run.fail ? "failed" : "done");
    }
    for (const auto &[key, how] : over)
      end(key, how);
  }
  awaitable<void> work() {
    for (;;) {
      co_await pause(2);
      update();
    }
  }
  awaitable<void> beats() {
    for (;;) {
      if (up_ && beating)
        co_await beat();
      co_await pause(options_.beat);
    }
  }

public:
  awaitable<void> beat() {
    lastBeat = now();
    Json::Value body(Json::objectValue);
    body["service"] = options_.service;
    body["address"] = server_->where();
    body["zone"] = "north";
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = "ready";
    body["cold_remaining_ms"] = 0;
    body["capacity"]["cpu"] = Json::Int64(options_.cpu);
    body["capacity"]["ram_mb"] = Json::Int64(options_.ram);
    body["capacity"]["gpu"] = 0;
    body["labels"] = Json::Value(Json::arrayValue);
    for (const std::string &label : options_.labels)
      body["labels"].append(label);
    body["clock_ms"] = Json::Int64(clock());
    body["sequence"] = Json::Int64(++sequence_);
    body["born"] = Json::Int64(born_);
    const std::string path = "/api/instances/" + options_.id;
    (void)co_await call("PUT", options_.control, path, str(body), 1000,
                        Headers());
  }

private:
  Response execute(const std::string &path, const Json::Value &body) {
    update();
    Json::Value out(Json::objectValue);
    out["clock_ms"] = Json::Int64(clock());
    out["born"] = Json::Int64(born_);
    const std::int64_t fence = body["fencing_token"].asInt64();
    if (fence < token_) {
      out["reason"] = "fence";
      return answer(409, out);
    }
    token_ = fence;
    const auto prolong = [&] {
      if (body.isMember("deadline_ms"))
        lease_ =
            std::max(lease_, std::min<Millis>(body["deadline_ms"].asInt64(),
                                              clock() + options_.maxHold));
    };
    const Key key{body["task"].asString(), body["run"].asInt64()};
    if (path == "/api/run-stop") {
      refused_[key.first] = std::max(refused_[key.first], key.second);
      const auto found = runs_.find(key);
      if (found != runs_.end() && found->second.stopAt < 0)
        found->second.stopAt = now() + options_.stopTime;
      return answer(200, out);
    }
    if (path == "/api/run-start") {
      if (body["deadline_ms"].asInt64() <= clock()) {
        out["reason"] = "late";
        return answer(409, out);
      }
      prolong();
      if (runs_.count(key) != 0)
        return answer(200, out);
      const auto refused = refused_.find(key.first);
      if (refused != refused_.end() && key.second <= refused->second) {
        out["reason"] = "old";
        return answer(409, out);
      }
      const std::string spec = body["spec"].asString();
      Run run{};
      run.startedAt = now();
      run.work = specValue(spec, "work", 500);
      run.cpu = specValue(spec, "cpu", 1000);
      run.fail = specValue(spec, "fail", 0) != 0;
      runs_[key] = run;
      events.push_back({now(), options_.id, key.first, key.second, "start"});
      note("minion " + options_.id + ": " + key.first + " run " +
           std::to_string(key.second) + " starts; cpu in use " +
           std::to_string(cpuInUse()) + " of " + std::to_string(options_.cpu));
      if (cpuInUse() > options_.cpu && onOver)
        onOver(key.first);
      return answer(200, out);
    }
    return answer(404, out);
  }

  awaitable<std::optional<Response>> handle(Request &request) {
    const std::string path(request.target());
    if (path == "/health")
      co_return answer(200, Json::Value(Json::objectValue));
    const auto expected = request.find("Wigeonwall-Expected-Instance");
    if (expected != request.end() && expected->value() != options_.id)
      co_return answer(421, Json::Value(Json::objectValue));
    const Json::Value body = parse(request.body());
    if (path != "/api/hold") {
      const Fault fault = onOrder ? onOrder(path, body) : Fault{};
      if (fault.delay > 0) {
        asio::co_spawn(
            io,
            [this, path, body, fault, life = born_]() -> awaitable<void> {
              co_await pause(fault.delay);
              if (up_ && (fault.outlasts || life == born_))
                (void)execute(path, body);
            },
            asio::detached);
        co_return std::nullopt;
      }
      Response response = execute(path, body);
      if (!fault.answered)
        co_return std::nullopt;
      co_return response;
    }
    update();
    Json::Value out(Json::objectValue);
    out["born"] = Json::Int64(born_);
    const std::int64_t fence = body["fencing_token"].asInt64();
    if (fence < token_) {
      out["clock_ms"] = Json::Int64(clock());
      out["reason"] = "fence";
      co_return answer(409, out);
    }
    token_ = fence;
    if (body.isMember("deadline_ms"))
      lease_ = std::max(lease_, std::min<Millis>(body["deadline_ms"].asInt64(),
                                                 clock() + options_.maxHold));
    observed_ = std::max<std::int64_t>(observed_, body["observed"].asInt64());
    finished_.erase(finished_.begin(), finished_.upper_bound(observed_));
    const Millis end =
        now() + std::min<Millis>(body["wait_ms"].asInt64(), 2000);
    const auto life = born_;
    while (finished_.empty() && now() < end && life == born_)
      co_await pause(2);
    if (life != born_)
      co_return std::nullopt;
    update();
    out["clock_ms"] = Json::Int64(clock());
    out["running"] = Json::Value(Json::arrayValue);
    for (const auto &[key, run] : runs_) {
      Json::Value row(Json::arrayValue);
      row.append(key.first);
      row.append(Json::Int64(key.second));
      row.append("");
      row.append(Json::Int64(std::min<Millis>(
          99, 100 * (now() - run.startedAt) / std::max<Millis>(1, run.work))));
      row.append(Json::Int64(run.cpu));
      out["running"].append(row);
    }
    out["finished"] = Json::Value(Json::arrayValue);
    for (const auto &[number, row] : finished_)
      if (out["finished"].size() < 500)
        out["finished"].append(row);
    co_return answer(200, out);
  }

  MinionOptions options_;
  std::unique_ptr<Server> server_;
  unsigned short port_ = 0;
  bool up_ = false;
  std::int64_t born_ = 0, sequence_ = 0, token_ = 0, observed_ = 0,
               nextEnd_ = 1;
  Millis bornAt_ = 0, lease_ = 0;
  std::map<Key, Run> runs_;
  std::map<std::int64_t, Json::Value> finished_;
  std::map<std::string, std::int64_t> refused_;
};

// ---------------------------------------------------------------- processes

/// Below the range of outgoing connections, which could take a port before its
/// process listens.
inline unsigned short freePort() {
  static std::set<unsigned short> used;
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    const auto port = static_cast<unsigned short>(
        std::uniform_int_distribution<int>(10000, 31000)(random));
    tcp::acceptor probe(io);
    Error error;
    const tcp::endpoint at(asio::ip::make_address("127.0.0.1"), port);
    probe.open(at.protocol());
    probe.bind(at, error);
    if (!error && used.insert(port).second)
      return port;
  }
}
inline std::string freeAddress() {
  return "127.0.0.1:" + std::to_string(freePort());
}

/// One of the project's own processes.
class Process {
public:
  Process(std::string binary, std::string name, std::string settings,
          std::string folder)
      : binary_(std::move(binary)), name_(std::move(name)),
        file_(folder + "/" + name_ + ".ini"),
        log_(folder + "/" + name_ + ".log") {
    std::ofstream(file_) << settings;
    start();
  }
  ~Process() { kill(SIGKILL); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start() {
    const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const pid_t parent = ::getpid();
    const std::string argument = "--settings=" + file_;
    id_ = ::fork();
    if (id_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent)
        ::_exit(127);
      ::dup2(log, 1);
      ::dup2(log, 2);
      for (int each = 3; each < 1024; ++each)
        ::close(each);
      ::execl(binary_.c_str(), binary_.c_str(), "--platform", argument.c_str(),
              nullptr);
      ::_exit(127);
    }
    ::close(log);
    note("process " + name_ + ": started");
  }
  void signal(int number) {
    note("process " + name_ + ": signal " + std::to_string(number));
    if (id_ > 0)
      ::kill(id_, number);
  }
  /// True once it has ended.
  bool ended() {
    if (id_ > 0 && ::waitpid(id_, &status_, WNOHANG) == id_) {
      note("process " + name_ + ": ended, status " + std::to_string(status_));
      id_ = 0;
    }
    return id_ <= 0;
  }
  void kill(int number) {
    if (id_ <= 0)
      return;
    ::kill(id_, number);
    if (number == SIGKILL) {
      ::kill(id_, SIGCONT);
      ::waitpid(id_, &status_, 0);
      id_ = 0;
    }
  }

private:
  std::string binary_, name_, file_, log_;
  pid_t id_ = 0;
  int status_ = 0;
};

// --------------------------------------------------------------- deployment

/// Entries and agents with settings as the platform renders them from
/// deploy/entry.ini and deploy/agent.ini.
class Deployment {
public:
  struct Entry {
    std::string name, callers, ready, peers;
    std::unique_ptr<Process> process;
  };
  struct Agent {
    std::string name, control, peers;
    std::unique_ptr<Process> process;
    std::unique_ptr<Minion> minion;
  };

  Deployment(std::string binary, std::string folder)
      : binary_(std::move(binary)), folder_(std::move(folder)) {
    store.start();
  }
  Entry &addEntry() {
    Entry each;
    each.name = "frontend-north-" + std::to_string(entries.size() + 1);
    each.callers = freeAddress();
    each.ready = freeAddress();
    each.peers = freeAddress();
    std::ostringstream text;
    text << common(each.name, "entry", each.peers)
         << "[entry]\ncallers_listen = " << each.callers
         << "\nreadiness_listen = " << each.ready
         << "\nremote_penalty = 1.5\nmax_report_age_ms = 25\n"
            "query_timeout_ms = 15\n";
    each.process =
        std::make_unique<Process>(binary_, each.name, text.str(), folder_);
    entries.push_back(std::move(each));
    return entries.back();
  }
  Agent &addAgent(MinionOptions minion = {}) {
    Agent each;
    each.name = "side-north-" + std::to_string(agents.size() + 1);
    each.control = freeAddress();
    each.peers = freeAddress();
    each.process = std::make_unique<Process>(
        binary_, each.name,
        common(each.name, "agent", each.peers) +
            "[agent]\nreports_listen = " + each.control + "\n",
        folder_);
    minion.id = "i-" + std::to_string(agents.size() + 1);
    minion.control = each.control;
    each.minion = std::make_unique<Minion>(minion);
    agents.push_back(std::move(each));
    return agents.back();
  }
  /// Waits until each entry is ready; false after 15 s.
  awaitable<bool> ready() {
    const Millis end = now() + 15000;
    for (Entry &each : entries)
      for (;;) {
        const Reply reply =
            co_await call("GET", each.ready, "/api/ready", "", 500, Headers());
        if (reply.status == 200)
          break;
        if (now() > end)
          co_return false;
        co_await pause(50);
      }
    // All members are listed and all minions are adopted by then.
    co_await pause(3500);
    co_return true;
  }

  Store store;
  std::vector<Entry> entries;
  std::vector<Agent> agents;

private:
  std::string common(const std::string &name, const std::string &role,
                     const std::string &peers) {
    std::ostringstream text;
    text << "[process]\nid = " << name << "\nrole = " << role
         << "\nfailure_domain = north\npeers_listen = " << peers
         << "\nmetrics_listen = " << freeAddress()
         << "\nstore = " << store.addAccess(name)
         << "\ngrace_period_s = 6\ncaller_resend_ms = 1300\n"
            "max_lease_ms = 1000\n";
    return text.str();
  }
  std::string binary_, folder_;
};

inline Json::Value route(const std::string &name, const std::string &prefix,
                         int attempts = 3, double slack = 1.6) {
  Json::Value out(Json::objectValue);
  out["name"] = name;
  out["host"] = "desk.example";
  out["prefix"] = prefix;
  out["kind"] = "non_idempotent";
  out["timeout_ms"] = 1500;
  out["target_latency_ms"] = 60;
  out["priority"] = 1;
  out["service"] = "desk";
  out["max_attempts"] = attempts;
  out["slack_factor"] = slack;
  return out;
}

inline std::string config(int version, const std::vector<Json::Value> &routes) {
  Json::Value out(Json::objectValue);
  out["version"] = version;
  out["routes"] = Json::Value(Json::arrayValue);
  for (const Json::Value &each : routes)
    out["routes"].append(each);
  Json::Value service(Json::objectValue);
  service["name"] = "desk";
  service["health_path"] = "/health";
  service["max_connections"] = 64;
  service["protocol"] = "h1";
  service["rejects_overload"] = false;
  service["standby"] = false;
  out["services"].append(service);
  out["limits"]["max_header_bytes"] = 16384;
  out["limits"]["max_body_bytes"] = 262144;
  return str(out);
}

struct Job {
  std::string id, spec, label;
  int count = 1;
  Millis cpu = 1000, ram = 64, estimated = 500, deadline = 5000;
};

inline std::string jobBody(const Job &job) {
  Json::Value out(Json::objectValue);
  out["spec"] = job.spec;
  out["best_effort"] = true;
  Json::Value step(Json::objectValue);
  step["count"] = job.count;
  step["cpu"] = Json::Int64(job.cpu);
  step["ram_mb"] = Json::Int64(job.ram);
  step["estimated_ms"] = Json::Int64(job.estimated);
  if (!job.label.empty())
    step["requirements"] = job.label;
  out["steps"].append(step);
  return str(out);
}

/// Hands a job in at an entry and waits for the answer.
inline awaitable<Reply> submit(std::string entry, Job job, std::string prefix) {
  note("caller: POST " + job.id + " at " + entry);
  const Reply reply =
      co_await call("POST", entry, prefix + job.id, jobBody(job), job.deadline,
                    callerHeaders(job.deadline));
  note("caller: POST " + job.id + " -> " + std::to_string(reply.status) + " " +
       reply.body);
  co_return reply;
}

/// A run that overlaps another run of its task, as minions saw both.
struct Overlap {
  Event first, second;
  Millis length;
};
inline std::vector<Overlap> overlaps() {
  std::vector<Overlap> out;
  const auto endOf = [](const Event &start) {
    for (const Event &each : events)
      if (each.how != "start" && each.minion == start.minion &&
          each.task == start.task && each.run == start.run &&
          each.at >= start.at)
        return each.at;
    return now();
  };
  for (std::size_t i = 0; i < events.size(); ++i)
    for (std::size_t j = i + 1; j < events.size(); ++j) {
      const Event &a = events[i], &b = events[j];
      if (a.how != "start" || b.how != "start" || a.task != b.task)
        continue;
      const Millis length = std::min(endOf(a), endOf(b)) - b.at;
      if (length > 0)
        out.push_back({a, b, length});
    }
  return out;
}

inline std::string jobId(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "5c0e7a21%08x", unsigned(number));
  return text;
}

/// Runs a case; returns its exit code: 1 rule broken, 0 held, 2 could not run.
inline int
run(int argc, char **argv,
    const std::function<awaitable<int>(Deployment &, bool trouble)> &scenario) {
  if (argc < 3) {
    std::cerr << "usage: case BINARY RECORD\n";
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[2]);
  const char *value = std::getenv("TROUBLE");
  const bool trouble = value == nullptr || std::string(value) != "0";
  char pattern[] = "/tmp/wigeonwall-review-XXXXXX";
  const std::string folder = ::mkdtemp(pattern);
  int result = 2;
  try {
    Deployment deployment(argv[1], folder);
    asio::co_spawn(io, scenario(deployment, trouble),
                   [&](std::exception_ptr failure, int code) {
                     result = failure ? 2 : code;
                     if (failure)
                       try {
                         std::rethrow_exception(failure);
                       } catch (const std::exception &error) {
                         note(std::string("error: ") + error.what());
                       }
                     io.stop();
                   });
    asio::steady_timer limit(io, 110s);
    limit.async_wait([](auto error) {
      if (!error)
        io.stop();
    });
    io.run();
    for (auto &each : deployment.entries)
      each.process.reset();
    for (auto &each : deployment.agents)
      each.process.reset();
    note("result " + std::to_string(result));
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(folder);
    else
      std::cerr << folder << "\n";
    record.flush();
    ::_exit(result);
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
  }
  std::filesystem::remove_all(folder);
  return 2;
}

} // namespace harness
