/// \file
/// \brief Event loop with its thread, timers, clocks and RPC calls.
#ifndef WIGEONWALL_PROCESS_RUNTIME_EVENT_LOOP_H
#define WIGEONWALL_PROCESS_RUNTIME_EVENT_LOOP_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/process/runtime/peer_call.h"

#include <memory>
#include <thread>

namespace wigeonwall::process {

/// \brief Called with the message of an exception that a handler did not catch.
using HandlerErrorHook = std::function<void(const std::string &Message)>;

/// \brief Runs the handlers of \p Context until it is stopped or has no work.
///
/// An exception that a handler does not catch is passed to \p OnError and ends
/// only that handler, so that one unexpected message does not end the process.
/// Without a hook it is not caught.
void runHandlers(connection::asio::io_context &Context,
                 const HandlerErrorHook &OnError);

/// \brief Owns an io_context and the thread that runs it.
class EventLoop {
public:
  /// See runHandlers() for \p OnError.
  explicit EventLoop(HandlerErrorHook OnError = nullptr)
      : OnError_(std::move(OnError)) {}
  ~EventLoop() { stop(); }
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  [[nodiscard]] connection::asio::io_context &context() noexcept {
    return Context_;
  }
  /// \brief Starts the thread.
  void start();
  /// \brief Stops the loop and joins the thread.
  void stop();
  /// \brief Schedules \p Task on the loop and returns at once.
  void post(std::function<void()> Task);
  /// \brief Runs \p Task on the loop and waits for its end. Must not be called
  /// on the loop.
  void run(const std::function<void()> &Task);

private:
  // The concurrency hint 1 lets Asio omit locks: one thread runs the loop.
  connection::asio::io_context Context_{1};
  HandlerErrorHook OnError_;
  std::thread Thread_;
};

/// \brief Creates a scheduler that uses timers of \p Context.
[[nodiscard]] Schedule makeSchedule(connection::asio::io_context &Context);

/// \brief Creates a function that calls peers through \p Client. A call to an
/// invalid address fails with NotSent.
[[nodiscard]] PeerCall
makePeerCall(connection::asio::io_context &Context,
             std::shared_ptr<connection::RpcClient> Client);

/// \brief Calls \p Tick every \p Period until the event loop ends, also after
/// a call that threw an exception.
void tickEvery(const Schedule &After, request::Duration Period,
               std::function<void()> Tick);

/// \brief Returns the monotonic clock.
[[nodiscard]] request::Clock steadyClock();
/// \brief Returns the system clock.
[[nodiscard]] WallClock systemClock();

} // namespace wigeonwall::process

#endif
