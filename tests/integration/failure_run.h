/// \file
/// \brief Load on a system of processes, and the checks after a fault.
#ifndef WIGEONWALL_INTEGRATION_FAILURE_RUN_H
#define WIGEONWALL_INTEGRATION_FAILURE_RUN_H

#include "standins/job_stream.h"
#include "standins/process_cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

namespace wigeonwall::integration {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// \brief Starts a system and loads it until check().
class FailureRun {
public:
  explicit FailureRun(standins::ProcessClusterOptions Options = {})
      : Cluster_(Options) {
    Cluster_.start();
    startLoad({"entry-0", "entry-1"});
  }
  /// \brief Leaves the start of the processes and of the load to the test.
  struct Manual {};
  FailureRun(Manual, standins::ProcessClusterOptions Options)
      : Cluster_(Options) {}

  void startLoad(const std::vector<std::string> &Entries,
                 milliseconds Timeout = seconds(6)) {
    standins::JobStreamOptions Options;
    Options.Timeout_ = Timeout;
    for (const std::string &Entry : Entries)
      Options.Entries_.push_back(Cluster_.callers(Entry));
    Stream_ = std::make_unique<standins::JobStream>(std::move(Options));
  }

  static void load(milliseconds Time) { std::this_thread::sleep_for(Time); }

  void kill(const std::string &Name) { Cluster_.signal(Name, SIGKILL); }

  /// \brief Ends the load and checks what callers are promised; at least
  /// \p LeastComplete of the jobs must have completed, so that a system that
  /// refuses everything does not pass.
  void check(double LeastComplete) {
    Stream_->finish();
    BOOST_TEST_MESSAGE(Stream_->summary());
    for (const std::string &Each : Stream_->incompleteSince({}))
      BOOST_TEST_MESSAGE("  " << Each);
    for (const std::string &Each : Stream_->violations(Cluster_.startCounts()))
      BOOST_ERROR(Each);
    const auto Counts = Stream_->counts();
    BOOST_TEST(Counts.Jobs_ > 0U);
    BOOST_TEST(static_cast<double>(Counts.Complete_) >=
               LeastComplete * static_cast<double>(Counts.Jobs_));
  }

  /// \brief After check(): every job submitted after \p Since completed.
  void checkRecovered(steady_clock::time_point Since) {
    for (const std::string &Each : Stream_->incompleteSince(Since))
      BOOST_ERROR("after the recovery, " << Each);
  }

  standins::ProcessCluster Cluster_;
  std::unique_ptr<standins::JobStream> Stream_;
};

} // namespace wigeonwall::integration

#endif
