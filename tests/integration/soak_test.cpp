/// \file
/// \brief Checks the guarantees to callers under random faults, for some seeds
/// of the soak test and for every seed that has failed before.
#include "soak/soak_run.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wigeonwall::soak;

namespace {

SoakResult runSeed(std::uint32_t Seed) {
  SoakOptions Options;
  Options.Seed_ = Seed;
  return SoakRun(Options).run();
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(Fault)

BOOST_DATA_TEST_CASE(guarantees_hold_under_faults,
                     boost::unit_test::data::make({1U, 2U, 9U}), Seed) {
  const SoakResult Result = runSeed(Seed);
  BOOST_TEST_MESSAGE(Result.Summary_);
  for (const std::string &Each : Result.Violations_)
    BOOST_TEST_ERROR(Each);
}
