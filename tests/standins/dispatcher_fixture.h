/// \file
/// \brief JobDispatcher in virtual time; the test plays the agents.
#ifndef WIGEONWALL_STANDINS_DISPATCHER_FIXTURE_H
#define WIGEONWALL_STANDINS_DISPATCHER_FIXTURE_H

#include "standins/virtual_time.h"
#include "wigeonwall/process/dispatch/job_dispatcher.h"

#include <string>
#include <utility>
#include <vector>

namespace wigeonwall::standins {

using namespace std::chrono_literals;
using namespace process::dispatch;
using request::RunEnd;

/// \brief A dispatcher with two agents, "a" and "b". Records what it sends.
struct DispatcherFixture {
  standins::VirtualTime Time_;
  request::FleetView View_{{}, Time_.clock(), [] { return 0.0; }};
  std::vector<std::pair<std::string, RunOrder>> Orders_;
  std::vector<std::pair<std::string, std::string>> Cancels_;
  std::vector<std::string> Queries_;
  std::vector<JobAnswer> Answers_;
  JobDispatcher Jobs_{{}, View_, hooks()};
  request::RoutePolicy Policy_;

  DispatcherFixture() {
    Policy_.Service_ = "permit-desk";
    Policy_.MaxAttempts_ = 2;
    Policy_.SlackFactor_ = 1.6;
    Policy_.TargetLatency_ = 60ms;
    report("a");
    report("b");
  }

  JobDispatcherHooks hooks() {
    JobDispatcherHooks Hooks;
    Hooks.Now_ = Time_.clock();
    Hooks.SendOrder_ = [this](const auto &Agent, const auto &Order) {
      Orders_.emplace_back(Agent, Order);
      return Orders_.size();
    };
    Hooks.SendQuery_ = [this](const auto &Agent) { Queries_.push_back(Agent); };
    Hooks.After_ = [this](request::Duration Delay, std::function<void()> Task) {
      Time_.after(Delay, std::move(Task));
    };
    Hooks.SendCancel_ = [this](const auto &Agent, const auto &Job) {
      Cancels_.emplace_back(Agent, Job);
    };
    Hooks.Count_ = [](auto, auto) {};
    Hooks.OnAnswered_ = [](auto, auto) {};
    Hooks.Log_ = [](const auto &, const auto &, const auto &) {};
    return Hooks;
  }

  void report(const std::string &Agent, request::Duration Wait = 0ms,
              std::int64_t Free = 32'000, bool ReportsChanges = true) {
    request::AgentReport Report;
    Report.ReportsChanges_ = ReportsChanges;
    Report.Accepting_ = true;
    Report.Service_ = "permit-desk";
    Report.Capacity_ = {32'000, 65'536, 0};
    Report.Free_ = {Free, 65'536, 0};
    Report.Waits_.fill(Wait);
    View_.onReport(Agent, Report);
    Jobs_.onReport(Agent);
  }

  /// Lets the reports of the agents become too old to be used.
  void ageReports() {
    report("a", 0ms, 32'000, false);
    report("b", 0ms, 32'000, false);
    Time_.advance(1s);
  }

  AttemptId submit(std::uint32_t Tasks, const std::string &Id = "job") {
    request::BatchJob Job;
    Job.Id_ = Id;
    Job.TaskCount_ = Tasks;
    Job.Needs_ = {3'000, 64, 0};
    Job.Estimate_ = 100ms;
    return Jobs_.submit(Job, Policy_, "queue", [this](const JobAnswer &Answer) {
      Answers_.push_back(Answer);
    });
  }

  /// Returns the agent that a task was last sent to.
  std::string agentOf(std::uint32_t Index) {
    for (auto Each = Orders_.rbegin(); Each != Orders_.rend(); ++Each)
      for (const RunOrderTask &Task : Each->second.Tasks_)
        if (Task.Index_ == Index)
          return Each->first;
    return {};
  }

  void end(std::uint32_t Index, RunEnd End, std::int64_t Run = 1) {
    Jobs_.onOutcome(agentOf(Index), {"job", Index, End, Run, ""});
  }
};

} // namespace wigeonwall::standins

#endif
