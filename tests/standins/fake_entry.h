/// \file
/// \brief Stand-in for an entry: answers jobs as if a minion had slept for
/// each task.
#ifndef WIGEONWALL_STANDINS_FAKE_ENTRY_H
#define WIGEONWALL_STANDINS_FAKE_ENTRY_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/request/types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace wigeonwall::standins {

/// \brief Serves the callers' API on a loopback port with a thread of its own.
///
/// A job completes after its longest `work_ms`; a resubmission is answered
/// with the same result.
class FakeEntry {
public:
  /// May change the answer of a submission before it is sent.
  using Alter =
      std::function<void(const request::JobSpec &, connection::HttpResponse &)>;

  explicit FakeEntry(Alter Change = {});
  ~FakeEntry();
  FakeEntry(const FakeEntry &) = delete;
  FakeEntry &operator=(const FakeEntry &) = delete;

  /// \brief "127.0.0.1:PORT".
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t submissions() const { return Submissions_; }

private:
  void handle(connection::HttpRequest Request, connection::HttpRespond Respond);
  void submit(const std::string &Body, connection::HttpRespond Respond);

  Alter Change_;
  connection::asio::io_context Context_{1};
  std::unique_ptr<connection::HttpServer> Server_;
  std::atomic<std::size_t> Submissions_{0};
  std::thread Thread_;
};

} // namespace wigeonwall::standins

#endif
