/// \file
/// \brief Submits planned jobs at their times and collects the answers.
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
  /// One-way delay between client and entry that is added by the tool.
  std::chrono::milliseconds ClientDelay_{3};
  std::size_t ConnectionsPerEntry_ = 1000;
  /// Jobs kept in flight whatever their planned times; 0 to follow the times.
  std::size_t InFlight_ = 0;
  /// Jobs in flight are replaced for this long; unused when InFlight_ is 0.
  std::chrono::nanoseconds Duration_{0};
  /// Put before the id of each job; unique per run, because records outlive
  /// a run.
  std::string IdPrefix_;
};

/// \brief How a job ended for its client.
struct JobEnd {
  /// The first answer, or the last reply when there was none.
  CallerReply Reply_;
  /// From the intended submission to the arrival at the client.
  std::chrono::nanoseconds Latency_{0};
  /// From the start of the run to the arrival at the client.
  std::chrono::nanoseconds EndOffset_{0};
  /// The worst check of all replies.
  AnswerCheck Check_ = AnswerCheck::Good;
  /// A resubmission got an answer that excludes the first.
  bool Contradicted_ = false;
};

/// \brief Counts for the progress line.
struct LoadProgress {
  std::chrono::seconds Elapsed_{0};
  std::uint64_t Sent_ = 0;
  std::uint64_t InFlight_ = 0;
  /// Longest time by which a submission was late, which is the tool's own
  /// fault; included in the latencies.
  std::chrono::nanoseconds MaxLag_{0};
};

/// \brief Submissions follow the times of the plan, not the answers, unless
/// LoadRunOptions::InFlight_ asks for a closed loop.
class LoadRun {
public:
  /// Jobs in order of time; empty at the end.
  using Source = std::function<std::optional<PlannedJob>()>;
  using Sink = std::function<void(const PlannedJob &, const JobEnd &)>;
  using Tick = std::function<void(const LoadProgress &)>;

  LoadRun(LoadRunOptions Options, Source Jobs, Sink OnEnd, Tick OnSecond);
  ~LoadRun();
  LoadRun(const LoadRun &) = delete;
  LoadRun &operator=(const LoadRun &) = delete;

  /// \brief Returns when all jobs have ended.
  LoadProgress run();

private:
  struct ActiveJob;
  using ActivePointer = std::shared_ptr<ActiveJob>;

  void submitDue();
  void refill();
  void start(PlannedJob Plan);
  void scheduleResubmission(const ActivePointer &Job, std::size_t Entry);
  void send(const ActivePointer &Job, std::size_t Entry);
  void onReply(const ActivePointer &Job, const connection::HttpResult &Result);
  void finishIfDone(const ActivePointer &Job);
  void tick();

  LoadRunOptions Options_;
  Source Jobs_;
  Sink OnEnd_;
  Tick OnSecond_;
  connection::asio::io_context Context_{1};
  connection::HttpClient Client_;
  connection::asio::steady_timer SubmitTimer_{Context_};
  connection::asio::steady_timer TickTimer_{Context_};
  std::chrono::steady_clock::time_point Start_;
  std::optional<PlannedJob> Next_;
  LoadProgress Progress_;
};

} // namespace wigeonwall::ctl

#endif
