/// \file
/// \brief A steady stream of jobs against real entries, with the checks of what
/// callers are promised.
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

/// \brief Numbers of jobs by their first answer.
struct JobStreamCounts {
  std::size_t Jobs_ = 0;
  std::size_t Complete_ = 0;
  std::size_t NotRun_ = 0;
  std::size_t Failed_ = 0;
};

/// \brief Submits jobs from a thread of its own and collects every reply.
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

  /// \brief Sends nothing more to an entry, as a balancer does that sees it
  /// not ready.
  void avoid(const connection::Endpoint &Entry);
  void add(const connection::Endpoint &Entry);
  /// \brief From now on, requests to the entry may be cut off; they are
  /// repeated through another entry.
  void expectLoss(const connection::Endpoint &Entry);
  /// \brief Submits no new job and waits for the replies of all; bounded by
  /// the timeouts of the jobs.
  void finish();

  // After finish().
  /// \brief Broken promises to callers, given the starts of each line
  /// "SERVICE JOB TASK".
  [[nodiscard]] std::vector<std::string>
  violations(const std::map<std::string, unsigned> &Starts) const;
  [[nodiscard]] JobStreamCounts counts() const;
  /// \brief Jobs first submitted after \p Since that did not complete.
  [[nodiscard]] std::vector<std::string>
  incompleteSince(std::chrono::steady_clock::time_point Since) const;
  /// \brief Jobs by outcome and reason, for messages.
  [[nodiscard]] std::string summary() const;

private:
  struct Job;
  using JobPointer = std::shared_ptr<Job>;
  struct Submission;

  void tick();
  void submit();
  [[nodiscard]] JobPointer makeJob();
  [[nodiscard]] std::size_t chooseEntry(std::size_t Avoided);
  void send(const JobPointer &Each, std::size_t Avoided);
  void sendLater(const JobPointer &Each, std::size_t Avoided,
                 std::chrono::milliseconds Delay);
  void onReply(const JobPointer &Each, const Submission &Sent,
               const connection::HttpResult &Result);
  void checkReply(const JobPointer &Each, const Submission &Sent,
                  const ctl::CallerReply &Reply);
  void endChain();
  void fail(const JobPointer &Each, const std::string &What);
  void checkStarts(const Job &Each,
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
  std::vector<JobPointer> Jobs_;
  std::vector<std::string> Violations_;
  /// Submissions, with their repetitions, that have no answer yet.
  std::size_t OpenChains_ = 0;
  bool Finishing_ = false;
  std::thread Thread_;
};

} // namespace wigeonwall::standins

#endif
