#include "wigeonwall/process/runtime/event_loop.h"

#include <future>

namespace wigeonwall::process {

namespace asio = connection::asio;

void runHandlers(asio::io_context &Context, const HandlerErrorHook &OnError) {
  for (;;) {
    try {
      Context.run();
      return;
    } catch (const std::exception &Error) {
      if (!OnError)
        throw;
      OnError(Error.what());
    }
  }
}

void EventLoop::start() {
  Thread_ = std::thread([this] {
    const auto Guard = asio::make_work_guard(Context_);
    runHandlers(Context_, OnError_);
  });
}

void EventLoop::stop() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

void EventLoop::post(std::function<void()> Task) {
  asio::post(Context_, std::move(Task));
}

void EventLoop::run(const std::function<void()> &Task) {
  std::promise<void> Done;
  post([&] {
    Task();
    Done.set_value();
  });
  Done.get_future().wait();
}

Schedule makeSchedule(asio::io_context &Context) {
  return [&Context](request::Duration Delay, std::function<void()> Task) {
    if (Delay <= request::Duration::zero())
      return asio::post(Context, std::move(Task));
    auto Timer = std::make_shared<asio::steady_timer>(Context, Delay);
    Timer->async_wait([Timer, Task = std::move(Task)](auto Error) {
      if (!Error)
        Task();
    });
  };
}

PeerCall makePeerCall(asio::io_context &Context,
                      std::shared_ptr<connection::RpcClient> Client) {
  return [&Context, Client = std::move(Client)](
             const std::string &Address, const std::string &Method,
             Json::Value Params, std::chrono::milliseconds Timeout,
             connection::RpcCallback Done) {
    if (const auto Peer = connection::parseEndpoint(Address))
      return Client->call(*Peer, Method, std::move(Params), Timeout,
                          std::move(Done));
    asio::post(Context, [Address, Done = std::move(Done)] {
      connection::RpcResult Result;
      Result.Error_ = connection::TransportError::NotSent;
      Result.Detail_ = "invalid address \"" + Address + "\"";
      Done(std::move(Result));
    });
  };
}

void tickEvery(const Schedule &After, request::Duration Period,
               std::function<void()> Tick) {
  After(Period, [After, Period, Tick = std::move(Tick)]() {
    try {
      Tick();
    } catch (...) {
      tickEvery(After, Period, Tick);
      throw;
    }
    tickEvery(After, Period, Tick);
  });
}

request::Clock steadyClock() {
  return [] {
    return request::TimePoint(
        std::chrono::steady_clock::now().time_since_epoch());
  };
}

WallClock systemClock() {
  return [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
}

} // namespace wigeonwall::process
