/// \file
/// \brief Submits planned jobs at their scheduled times and collects the
/// answers.
#ifndef WIGEONWALLCTL_LOAD_RUN_H
#define WIGEONWALLCTL_LOAD_RUN_H

#include "wigeonwallctl/answer_check.h"
#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/workload.h"

#include "wigeonwall/connection/http_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

struct LoadRunOptions {
  std::vector<connection::Endpoint> Entries_;
  /// Simulated one-way network delay between client and entry.
  std::chrono::milliseconds ClientDelay_{3};
  std::size_t ConnectionsPerEntry_ = 1000;
  /// Concurrent jobs of a closed loop; 0 for an open loop, which submits each
  /// job at its scheduled time.
  std::size_t InFlight_ = 0;
  /// How long a closed loop submits new jobs; unused when InFlight_ is 0.
  std::chrono::nanoseconds Duration_{0};
  /// Prefix of each job id; unique per run, because job records are retained
  /// after the run ends.
  std::string IdPrefix_;
};

/// \brief Outcome of a job as its client sees it.
struct JobOutcome {
  /// The first final answer, or the last reply when there was none.
  CallerReply Reply_;
  /// From the intended submission to the arrival at the client.
  std::chrono::nanoseconds Latency_{0};
  /// From the start of the run to the arrival at the client.
  std::chrono::nanoseconds ArrivalOffset_{0};
  /// The most severe check result over all replies.
  AnswerCheck Check_ = AnswerCheck::Good;
  /// A resubmission got an answer that is incompatible with the first.
  bool Contradicted_ = false;
};

/// \brief Counters of a run in progress.
struct LoadProgress {
  std::chrono::seconds Elapsed_{0};
  std::uint64_t Sent_ = 0;
  std::uint64_t InFlight_ = 0;
  /// Longest delay of a submission behind its scheduled time, caused by this
  /// tool; included in the latencies.
  std::chrono::nanoseconds MaxSendLag_{0};
};

/// \brief Generates open-loop load: submission times do not depend on the
/// answers, unless LoadRunOptions::InFlight_ selects a closed loop.
class LoadRun {
public:
  /// Returns the jobs in order of submission time; empty at the end.
  using JobSource = std::function<std::optional<PlannedJob>()>;
  using CompletionCallback =
      std::function<void(const PlannedJob &, const JobOutcome &)>;
  using ProgressCallback = std::function<void(const LoadProgress &)>;

  LoadRun(LoadRunOptions Options, JobSource Jobs,
          CompletionCallback OnCompletion, ProgressCallback OnProgress);
  ~LoadRun();
  LoadRun(const LoadRun &) = delete;
  LoadRun &operator=(const LoadRun &) = delete;

  /// \brief Returns when all jobs have ended.
  LoadProgress run();

private:
  struct ActiveJob;
  using ActivePointer = std::shared_ptr<ActiveJob>;

  void submitDueJobs();
  void refillInFlight();
  void start(PlannedJob Plan);
  void scheduleResubmission(const ActivePointer &Job, std::size_t Entry);
  void send(const ActivePointer &Job, std::size_t Entry);
  void onReply(const ActivePointer &Job, const connection::HttpResult &Result);
  void finishIfDone(const ActivePointer &Job);
  void scheduleProgress();

  LoadRunOptions Options_;
  JobSource JobSource_;
  CompletionCallback OnCompletion_;
  ProgressCallback OnProgress_;
  connection::asio::io_context Context_{1};
  connection::HttpClient Client_;
  connection::asio::steady_timer SubmitTimer_{Context_};
  connection::asio::steady_timer ProgressTimer_{Context_};
  std::chrono::steady_clock::time_point Start_;
  std::optional<PlannedJob> NextJob_;
  LoadProgress Progress_;
};

} // namespace wigeonwall::ctl

#endif
