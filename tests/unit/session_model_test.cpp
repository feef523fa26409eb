/// \file
/// \brief Plays seeds of the session model: no task runs twice at a time, and
/// jobs are completed in spite of the faults. SESSION_MODEL_FIRST, _SEEDS and
/// _FAULTS select other seeds and the number of faults.
#include "standins/session_model.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace wigeonwall::standins;

namespace {

/// Value of an environment variable for runs by hand, or \p Default.
int readNumber(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::atoi(Text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(session_model)

BOOST_AUTO_TEST_CASE(jobs_are_completed_without_faults) {
  SessionModelOptions Options;
  Options.Faults_ = 0;
  const auto Result = SessionModel(Options).run();
  BOOST_TEST(Result.Violations_.empty());
  BOOST_TEST(Result.Completed_ * 10 >= Result.Jobs_ * 8);
}

BOOST_AUTO_TEST_CASE(no_task_runs_twice_at_a_time) {
  int Jobs = 0;
  int Completed = 0;
  const int First = readNumber("SESSION_MODEL_FIRST", 1);
  const int Count = readNumber("SESSION_MODEL_SEEDS", 300);
  for (int Seed = First; Seed < First + Count; ++Seed) {
    SessionModelOptions Options;
    Options.Seed_ = static_cast<std::uint32_t>(Seed);
    Options.Faults_ = readNumber("SESSION_MODEL_FAULTS", Options.Faults_);
    const auto Result = SessionModel(Options).run();
    for (const std::string &Each : Result.Violations_)
      BOOST_ERROR("seed " << Seed << ": " << Each);
    Jobs += Result.Jobs_;
    Completed += Result.Completed_;
  }
  // The faults hit many jobs, but not most of them.
  BOOST_TEST(Completed * 2 > Jobs);
}

BOOST_AUTO_TEST_SUITE_END()
