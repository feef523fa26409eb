/// \file
/// \brief Stand-in of the platform's key-value service.
#ifndef WIGEONWALL_STANDINS_KEY_VALUE_SERVER_H
#define WIGEONWALL_STANDINS_KEY_VALUE_SERVER_H

#include "wigeonwall/connection/http_server.h"

#include <json/json.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::standins {

/// \brief Injected faults of the service; JSON names in parentheses.
struct KeyValueFaults {
  /// Closes the connection of every call without a reply (`down`).
  bool Down_ = false;
  /// Delay before each reply; a write takes effect before the delay
  /// (`delay_ms`).
  std::chrono::milliseconds Delay_{0};
  /// Number of next writes that take effect but whose connection is closed
  /// without a reply (`lose_write_replies`).
  unsigned LoseWriteReplies_ = 0;
  /// Watches neither return on a change nor time out (`freeze_watches`).
  bool FreezeWatches_ = false;
  /// Number of next writes that notify no watch; a watcher sees such a write
  /// only when its watch times out (`lose_watch_events`).
  unsigned LoseWatchEvents_ = 0;
  /// When not empty, reads and writes answer 200 with this body
  /// (`malformed_reply`).
  std::string MalformedReply_{};
};

/// \brief Number of calls since the start; a read with `index` is a watch.
struct KeyValueCalls {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Watches_ = 0;
};

/// \brief Serves GET and PUT of `/v1/kv/KEY` in the form of the Consul API.
///
/// `PUT /standin/faults` replaces all faults by those of a JSON object, and
/// `GET /standin/calls` returns the counts; faults do not apply to these two
/// calls.
class KeyValueServer {
public:
  KeyValueServer(connection::asio::io_context &Context,
                 connection::Endpoint Address);
  ~KeyValueServer();
  KeyValueServer(const KeyValueServer &) = delete;
  KeyValueServer &operator=(const KeyValueServer &) = delete;

  [[nodiscard]] bool listen();
  [[nodiscard]] std::uint16_t port() const noexcept;
  void setFaults(KeyValueFaults Faults);
  [[nodiscard]] KeyValueCalls calls() const;
  /// \brief Value of a key; std::nullopt when absent.
  [[nodiscard]] std::optional<std::string> value(const std::string &Key) const;

private:
  struct State;
  std::shared_ptr<State> State_;
  connection::HttpServer Server_;
};

/// \brief Reads the body of `PUT /standin/faults`; std::nullopt for an
/// unknown field or a wrong type.
[[nodiscard]] std::optional<KeyValueFaults>
decodeFaults(const Json::Value &Value);

} // namespace wigeonwall::standins

#endif
