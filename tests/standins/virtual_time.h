/// \file
/// \brief Clock and timers that advance only on request of a test.
#ifndef WIGEONWALL_STANDINS_VIRTUAL_TIME_H
#define WIGEONWALL_STANDINS_VIRTUAL_TIME_H

#include "wigeonwall/request/clock.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace wigeonwall::standins {

class VirtualTime {
public:
  [[nodiscard]] request::TimePoint now() const noexcept { return Now_; }
  [[nodiscard]] request::Clock clock() {
    return [this] { return Now_; };
  }
  /// \brief Schedules \p Callback for \p When; callbacks with equal times run
  /// in order of insertion.
  void at(request::TimePoint When, std::function<void()> Callback) {
    Callbacks_.emplace(When, std::move(Callback));
  }
  void after(request::Duration Delay, std::function<void()> Callback) {
    at(Now_ + Delay, std::move(Callback));
  }
  /// \brief Advances the clock by \p Span and runs the callbacks that fall due.
  void advance(request::Duration Span) {
    const request::TimePoint End = Now_ + Span;
    while (!Callbacks_.empty() && Callbacks_.begin()->first <= End) {
      auto Node = Callbacks_.extract(Callbacks_.begin());
      Now_ = std::max(Now_, Node.key());
      Node.mapped()();
    }
    Now_ = End;
  }

private:
  request::TimePoint Now_{std::chrono::hours(1)};
  std::multimap<request::TimePoint, std::function<void()>> Callbacks_;
};

} // namespace wigeonwall::standins

#endif
