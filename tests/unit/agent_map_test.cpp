/// \file
/// \brief Tests that the same map always gives the same holders of a job, that
/// earlier holders can be computed, and that removed agents are kept for the
/// retention.
#include "wigeonwall/version/agent_map.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace wigeonwall::version;
using wigeonwall::request::JobKey;

namespace {

constexpr std::int64_t RetentionMs = 600'000;

MapAgent agent(const std::string &Id, const std::string &Domain,
               std::int64_t Incarnation = 1) {
  MapAgent Agent;
  Agent.Id_ = Id;
  Agent.FailureDomain_ = Domain;
  Agent.Service_ = "permit-desk";
  Agent.Incarnation_ = Incarnation;
  return Agent;
}

AgentMap fourAgents() {
  MapChange Change;
  Change.Joins_ = {agent("a1", "midrand"), agent("a2", "midrand"),
                   agent("a3", "joburg-north"), agent("a4", "joburg-south")};
  return *applyChange(AgentMap{}, Change, 0, RetentionMs);
}

JobKey key(int Number) {
  return {"permit-desk", "job-" + std::to_string(Number)};
}

} // namespace

BOOST_AUTO_TEST_CASE(copy_holder_is_in_another_failure_domain) {
  const AgentMap Map = fourAgents();
  for (int I = 0; I < 200; ++I) {
    const HolderPair Pair = Map.holders(key(I));
    BOOST_REQUIRE(Pair.Home_ != nullptr);
    BOOST_REQUIRE(Pair.Copy_ != nullptr);
    BOOST_TEST(Pair.Home_->FailureDomain_ != Pair.Copy_->FailureDomain_);
  }
}

/// Processes of different releases compute holders from the same map. A
/// different result would give a job two home agents.
BOOST_AUTO_TEST_CASE(holders_are_the_same_in_every_release) {
  MapChange Change;
  for (int I = 0; I < 620; ++I)
    Change.Joins_.push_back(
        agent("a" + std::to_string(I), "d" + std::to_string(I % 10)));
  const AgentMap Map = *applyChange(AgentMap{}, Change, 0, RetentionMs);
  const std::pair<std::string, std::string> Pairs[] = {
      {"a447", "a272"}, {"a567", "a245"}, {"a31", "a475"},  {"a116", "a567"},
      {"a428", "a426"}, {"a459", "a227"}, {"a197", "a244"}, {"a350", "a442"}};
  int Number = 0;
  for (const auto &[Home, Copy] : Pairs) {
    const HolderPair Pair = Map.holders(key(Number++));
    BOOST_TEST(Pair.Home_->Id_ == Home);
    BOOST_TEST(Pair.Copy_->Id_ == Copy);
  }
}

/// The copy holder must be next in rank, because it becomes the home agent when
/// the failure domain of the home agent is lost, or the home agent itself if
/// there is only one domain.
BOOST_AUTO_TEST_CASE(copy_holder_is_next_in_rank) {
  for (const int Domains : {1, 2, 5}) {
    MapChange Change;
    for (int I = 0; I < 20; ++I)
      Change.Joins_.push_back(
          agent("a" + std::to_string(I), "d" + std::to_string(I % Domains)));
    const AgentMap Map = *applyChange(AgentMap{}, Change, 0, RetentionMs);
    for (int I = 0; I < 200; ++I) {
      const HolderPair Pair = Map.holders(key(I));
      AgentMap Remaining = Map;
      std::erase_if(Remaining.Agents_, [&](const MapAgent &Each) {
        return Domains == 1 ? Each.Id_ == Pair.Home_->Id_
                            : Each.FailureDomain_ == Pair.Home_->FailureDomain_;
      });
      BOOST_TEST(Remaining.holders(key(I)).Home_->Id_ == Pair.Copy_->Id_);
    }
  }
}

BOOST_AUTO_TEST_CASE(jobs_spread_evenly_over_homes) {
  const AgentMap Map = fourAgents();
  std::map<std::string, int> Counts;
  for (int I = 0; I < 4000; ++I)
    ++Counts[Map.holders(key(I)).Home_->Id_];
  for (const auto &[Id, Count] : Counts)
    BOOST_TEST((Count > 850 && Count < 1150), Id << " has " << Count);
}

BOOST_AUTO_TEST_CASE(removal_moves_only_the_jobs_of_the_removed_home) {
  const AgentMap Before = fourAgents();
  MapChange Change;
  Change.Removals_ = {{"a1", 1, 0}};
  const AgentMap After = *applyChange(Before, Change, 1000, RetentionMs);
  for (int I = 0; I < 500; ++I) {
    const std::string Old = Before.holders(key(I)).Home_->Id_;
    const std::string New = After.holders(key(I)).Home_->Id_;
    BOOST_TEST((Old == "a1" || Old == New));
  }
}

BOOST_AUTO_TEST_CASE(earlier_holders_are_computed_from_the_current_map) {
  const AgentMap Before = fourAgents();
  MapChange Change;
  Change.Removals_ = {{"a1", 1, 0}};
  const AgentMap After = *applyChange(Before, Change, 1000, RetentionMs);
  for (int I = 0; I < 200; ++I) {
    const HolderPair Old = Before.holders(key(I));
    const auto Earlier = After.earlierHolders(key(I), After.OldestEpoch_);
    const bool Moved = Old.Home_->Id_ == "a1" || Old.Copy_->Id_ == "a1";
    BOOST_TEST(Earlier.size() == (Moved ? 1U : 0U));
    if (Moved && !Earlier.empty())
      BOOST_TEST(Earlier.front().LastEpoch_ == 1U);
    if (Moved && !Earlier.empty())
      BOOST_TEST(Earlier.front().Home_->Id_ == Old.Home_->Id_);
  }
}

BOOST_AUTO_TEST_CASE(new_incarnation_replaces_the_old_and_sets_its_stop_time) {
  MapChange Change;
  Change.Joins_ = {agent("a1", "midrand", 5000)};
  const AgentMap Map = *applyChange(fourAgents(), Change, 6000, RetentionMs);
  BOOST_TEST(Map.findPresent("a1")->Incarnation_ == 5000);
  bool Found = false;
  for (const MapAgent &Agent : Map.Agents_)
    if (Agent.Id_ == "a1" && Agent.Incarnation_ == 1) {
      Found = true;
      BOOST_TEST(Agent.StoppedAtMs_ == 5000);
    }
  BOOST_TEST(Found);
}

BOOST_AUTO_TEST_CASE(an_old_incarnation_cannot_rejoin) {
  MapChange Change;
  Change.Joins_ = {agent("a1", "midrand", 5000)};
  const AgentMap Map = *applyChange(fourAgents(), Change, 6000, RetentionMs);
  Change.Joins_ = {agent("a1", "midrand", 1)};
  BOOST_TEST(!applyChange(Map, Change, 7000, RetentionMs).has_value());
}

BOOST_AUTO_TEST_CASE(removed_agents_are_dropped_after_the_retention) {
  MapChange Change;
  Change.Removals_ = {{"a1", 1, 0}};
  const AgentMap Removed =
      *applyChange(fourAgents(), Change, 1000, RetentionMs);
  Change.Removals_ = {{"a2", 1, 0}};
  const AgentMap WithinRetention =
      *applyChange(Removed, Change, RetentionMs, RetentionMs);
  BOOST_TEST(WithinRetention.Agents_.size() == 4U);
  const AgentMap AfterRetention =
      *applyChange(Removed, Change, 1001 + RetentionMs, RetentionMs);
  BOOST_TEST(AfterRetention.Agents_.size() == 3U);
  BOOST_TEST(AfterRetention.OldestEpoch_ == 2U);
}

BOOST_AUTO_TEST_CASE(map_round_trips_and_malformed_input_is_rejected) {
  MapFault Fault;
  const AgentMap Map = fourAgents();
  const auto Decoded = decodeMap(encodeMap(Map), Fault);
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Agents_.size() == 4U);
  Json::Value Malformed = encodeMap(Map);
  Malformed["agents"][1].removeMember("incarnation");
  BOOST_TEST(!decodeMap(Malformed, Fault).has_value());
  BOOST_TEST(Fault.Position_ == "/agents/1/incarnation");
}
