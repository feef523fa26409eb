/// \file
/// \brief Tests that VersionedDocument never returns to a lower version.
#include "wigeonwall/version/versioned_document.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace wigeonwall::version;

namespace {

struct UpdateCase {
  std::uint64_t Version_;
  bool Null_;
  bool Accepted_;
  std::uint64_t VersionAfter_;
};

} // namespace

/// A stale, repeated or null document must be ignored and must not notify the
/// observer.
BOOST_AUTO_TEST_CASE(only_a_higher_version_is_accepted) {
  int Changes = 0;
  VersionedDocument<std::uint64_t> Document(ConfigDocumentName,
                                            [&] { ++Changes; });
  int Expected = 0;
  const std::vector<UpdateCase> Cases{
      {0, false, false, 0}, {4, true, false, 0},  {4, false, true, 4},
      {3, false, false, 4}, {4, false, false, 4}, {9, true, false, 4},
      {5, false, true, 5}};
  for (const UpdateCase &Each : Cases) {
    const auto Value =
        Each.Null_ ? nullptr
                   : std::make_shared<const std::uint64_t>(Each.Version_);
    BOOST_TEST(Document.updateIfNewer(Each.Version_, Value,
                                      Json::UInt64(Each.Version_)) ==
               Each.Accepted_);
    Expected += Each.Accepted_ ? 1 : 0;
    BOOST_TEST(Document.version() == Each.VersionAfter_);
    BOOST_TEST(Changes == Expected);
    BOOST_TEST((Document.value() ? *Document.value() : 0) ==
               Each.VersionAfter_);
    BOOST_TEST(Document.source().asUInt64() == Each.VersionAfter_);
  }
}
