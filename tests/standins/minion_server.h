/// \file
/// \brief Stand-in of a backend server: runs tasks by sleeping and logs each
/// start.
#ifndef WIGEONWALL_STANDINS_MINION_SERVER_H
#define WIGEONWALL_STANDINS_MINION_SERVER_H

#include "wigeonwall/connection/http_server.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>

namespace wigeonwall::standins {

/// \brief Faults that a test injects.
struct MinionFaults {
  /// Answer every task with 500 immediately.
  bool FailAll_ = false;
  /// Multiplies the run time of every task.
  double Slowness_ = 1.0;
  /// Answer 503 with `X-Not-Started: 1`.
  bool RefuseAll_ = false;
};

/// \brief Serves `POST /run` for the payload {"work_ms": N}.
///
/// The result is {"job", "task", "work_ms"}. `GET /starts` returns the number
/// of starts by "SERVICE/JOB/TASK", so that a test can detect duplicate starts;
/// `PUT /standin/faults` sets MinionFaults by the JSON fields fail_all,
/// slowness and refuse_all.
class MinionServer {
public:
  /// Writes a line "SERVICE JOB TASK" per start to \p StartLog, unless null.
  MinionServer(connection::asio::io_context &Context,
               connection::Endpoint Address, std::ostream *StartLog);

  [[nodiscard]] bool listen() { return Http_.listen(); }
  [[nodiscard]] std::uint16_t port() const noexcept { return Http_.port(); }
  void setFaults(const MinionFaults &Faults) { Faults_ = Faults; }
  [[nodiscard]] const std::map<std::string, unsigned> &starts() const noexcept {
    return Starts_;
  }
  /// \brief Maximum number of tasks that ran concurrently.
  [[nodiscard]] unsigned peak() const noexcept { return Peak_; }

private:
  void handle(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  void run(const connection::HttpRequest &Request,
           const connection::HttpRespond &Respond);
  void readFaults(const std::string &Body);

  connection::asio::io_context &Context_;
  std::ostream *StartLog_;
  MinionFaults Faults_;
  std::map<std::string, unsigned> Starts_;
  unsigned Running_ = 0;
  unsigned Peak_ = 0;
  connection::HttpServer Http_;
};

} // namespace wigeonwall::standins

#endif
