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

// The values may come from another writer; the other members hold.
BOOST_AUTO_TEST_CASE(odd_values_exclude_only_their_own_key) {
  PrefixFollower::Values Values{{"wigeonwall/agents/a1", "127.0.0.2:9000"}};
  const std::vector<std::string> Odd{"",
                                     "127.0.0.3",
                                     "127.0.0.3:",
                                     "127.0.0.3:0",
                                     "127.0.0.3:65536",
                                     "127.0.0.3:99999999999999999999",
                                     "127.0.0.3:-1",
                                     "127.0.0.3:+1",
                                     "127.0.0.3:9000 ",
                                     "127.0.0.999:9000",
                                     "host:9000",
                                     std::string(100'000, '['),
                                     std::string("127.0.0.3:9000\0", 15),
                                     "\xff\xfe\x80",
                                     R"({"address":"127.0.0.3:9000"})",
                                     std::string(1'000'000, '1') + ":1"};
  for (std::size_t I = 0; I < Odd.size(); ++I)
    Values["wigeonwall/agents/odd" + std::to_string(I)] = Odd[I];
  Values["wigeonwall/entries/odd"] = "127.0.0.3:0";
  const MemberList List = parseMembers(Values, {"127.0.0.1", 9000});
  BOOST_REQUIRE(List.Agents_.size() == 1u);
  BOOST_TEST(List.Agents_.at("a1").Port_ == 9000);
  BOOST_TEST(List.Entries_.empty());
  BOOST_TEST(List.InvalidKeys_.size() == Odd.size() + 1);
}

BOOST_AUTO_TEST_SUITE_END()
