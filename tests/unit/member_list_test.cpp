/// \file
/// \brief Tests parsing of the registered members.
#include "wigeonwall/process/dispatch/member_list.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;

BOOST_AUTO_TEST_SUITE(member_list)

BOOST_AUTO_TEST_CASE(separates_roles_and_omits_the_own_address) {
  const connection::Endpoint Own{"127.0.0.1", 9000};
  const MemberList List =
      parseMembers({{"wigeonwall/agents/a1", "127.0.0.2:9000"},
                    {"wigeonwall/entries/e1", "127.0.0.1:9000"},
                    {"wigeonwall/entries/e2", "127.0.0.3:9000"},
                    {"wigeonwall/agents/a2", "nowhere"},
                    {"wigeonwall/other/x", "127.0.0.4:9000"}},
                   Own);
  BOOST_REQUIRE(List.Agents_.size() == 1u);
  BOOST_TEST(List.Agents_.at("a1").Host_ == "127.0.0.2");
  BOOST_REQUIRE(List.Entries_.size() == 1u);
  BOOST_TEST(List.Entries_.front().Host_ == "127.0.0.3");
  BOOST_TEST(
      (List.InvalidKeys_ == std::vector<std::string>{"wigeonwall/agents/a2"}));
}

BOOST_AUTO_TEST_SUITE_END()
