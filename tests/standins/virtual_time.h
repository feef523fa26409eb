/// \file
/// \brief Clock and timers that advance only when a test says so.
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
  /// \brief Runs \p Task at \p When, in order of insertion for equal times.
  void at(request::TimePoint When, std::function<void()> Task) {
    Tasks_.emplace(When, std::move(Task));
  }
  void after(request::Duration Delay, std::function<void()> Task) {
    at(Now_ + Delay, std::move(Task));
  }
  /// \brief Runs all tasks that are due within \p Time.
  void advance(request::Duration Time) {
    const request::TimePoint End = Now_ + Time;
    while (!Tasks_.empty() && Tasks_.begin()->first <= End) {
      auto Node = Tasks_.extract(Tasks_.begin());
      Now_ = std::max(Now_, Node.key());
      Node.mapped()();
    }
    Now_ = End;
  }

private:
  request::TimePoint Now_{std::chrono::hours(1)};
  std::multimap<request::TimePoint, std::function<void()>> Tasks_;
};

} // namespace wigeonwall::standins

#endif
