/// \file
/// \brief Submits jobs to real entries at a constant rate and checks the
/// guarantees that callers have.
#ifndef WIGEONWALL_STANDINS_JOB_STREAM_H
#define WIGEONWALL_STANDINS_JOB_STREAM_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/workload.h"

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace wigeonwall::standins {

struct JobStreamOptions {
  std::vector<connection::Endpoint> Entries_;
  double JobsPerSecond_ = 10;
  std::chrono::milliseconds Timeout_{6'000};
  std::uint64_t Seed_ = 1;
};

/// \brief Number of jobs by the outcome of their first answer.
struct JobStreamCounts {
  std::size_t Jobs_ = 0;
  std::size_t Complete_ = 0;
  std::size_t NotRun_ = 0;
  std::size_t Failed_ = 0;
};

/// \brief Submits jobs from its own thread and collects every reply.
///
/// Jobs have 1 to 170 tasks of 50 ms to 1 s and load about 17 slots. One in
/// five is also submitted through another entry while it runs. A submission
/// that reached no entry is repeated through another one, as a caller would.
class JobStream {
public:
  explicit JobStream(JobStreamOptions Options);
  ~JobStream();
  JobStream(const JobStream &) = delete;
  JobStream &operator=(const JobStream &) = delete;

  /// \brief Sends no further requests to an entry, as a load balancer does when
  /// its readiness check fails.
  void avoid(const connection::Endpoint &Entry);
  void add(const connection::Endpoint &Entry);
  /// \brief From now on, a connection to the entry may be lost without a
  /// violation; its request is retried through another entry.
  void expectLoss(const connection::Endpoint &Entry);
  /// \brief Stops submitting and waits for all replies, at most until the jobs
  /// time out.
  void finish();

  // The functions below may be called after finish().
  /// \brief Violated guarantees; \p Starts is the number of starts by line
  /// "SERVICE JOB TASK".
  [[nodiscard]] std::vector<std::string>
  violations(const std::map<std::string, unsigned> &Starts) const;
  [[nodiscard]] JobStreamCounts counts() const;
  /// \brief Jobs created after \p Since that did not complete.
  [[nodiscard]] std::vector<std::string>
  incompleteSince(std::chrono::steady_clock::time_point Since) const;
  /// \brief Number of answers by outcome and reason, for failure messages.
  [[nodiscard]] std::string summary() const;

private:
  struct JobRecord;
  using JobRecordPointer = std::shared_ptr<JobRecord>;
  struct Submission;

  void tick();
  void submit();
  [[nodiscard]] JobRecordPointer makeJob();
  [[nodiscard]] std::size_t chooseEntry(std::size_t Avoided);
  void send(const JobRecordPointer &Record, std::size_t Avoided);
  void sendLater(const JobRecordPointer &Record, std::size_t Avoided,
                 std::chrono::milliseconds Delay);
  void onReply(const JobRecordPointer &Record, const Submission &Sent,
               const connection::HttpResult &Result);
  void checkReply(const JobRecordPointer &Record, const Submission &Sent,
                  const ctl::CallerReply &Reply);
  void endSubmission();
  void addViolation(const JobRecordPointer &Record, const std::string &Message);
  void checkStarts(const JobRecord &Record,
                   const std::map<std::string, unsigned> &Starts,
                   std::vector<std::string> &Found) const;

  JobStreamOptions Options_;
  connection::asio::io_context Context_{1};
  connection::HttpClient Client_;
  connection::asio::steady_timer Timer_{Context_};
  std::mt19937_64 Random_;
  std::chrono::steady_clock::time_point NextAt_;
  std::vector<bool> Avoided_;
  std::vector<bool> LossExpected_;
  std::vector<JobRecordPointer> Jobs_;
  std::vector<std::string> Violations_;
  /// Submissions without an answer; a submission and its retries count as one.
  std::size_t PendingSubmissions_ = 0;
  bool Finishing_ = false;
  std::thread Thread_;
};

} // namespace wigeonwall::standins

#endif
