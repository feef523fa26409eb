/// \file
/// \brief Test fixture that loads a cluster of processes and checks it after
/// faults.
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

/// \brief Starts a cluster and submits jobs to it until check() is called.
class FailureRun {
public:
  explicit FailureRun(standins::ProcessClusterOptions Options = {})
      : Cluster_(Options) {
    Cluster_.start();
    startLoad({"entry-0", "entry-1"});
  }
  /// \brief Tag of the constructor that starts neither processes nor load.
  struct ManualStart {};
  FailureRun(ManualStart, standins::ProcessClusterOptions Options)
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

  /// \brief Stops the load and checks the guarantees given to callers.
  ///
  /// At least the fraction \p MinCompleteRatio of the jobs must have completed,
  /// so that a cluster that rejects every job fails the test.
  void check(double MinCompleteRatio) {
    Stream_->finish();
    BOOST_TEST_MESSAGE(Stream_->summary());
    for (const std::string &Each : Stream_->incompleteSince({}))
      BOOST_TEST_MESSAGE("  " << Each);
    for (const std::string &Each : Stream_->violations(Cluster_.startCounts()))
      BOOST_ERROR(Each);
    const auto Counts = Stream_->counts();
    BOOST_TEST(Counts.Jobs_ > 0U);
    BOOST_TEST(static_cast<double>(Counts.Complete_) >=
               MinCompleteRatio * static_cast<double>(Counts.Jobs_));
  }

  /// \brief Checks that every job submitted after \p Since completed.
  ///
  /// Must be called after check().
  void checkRecovered(steady_clock::time_point Since) {
    for (const std::string &Each : Stream_->incompleteSince(Since))
      BOOST_ERROR("after recovery: " << Each);
  }

  standins::ProcessCluster Cluster_;
  std::unique_ptr<standins::JobStream> Stream_;
};

} // namespace wigeonwall::integration

#endif
