/// \file
/// \brief Tests which observations prove that a job was not started under an
/// earlier epoch when no holder of that epoch answers.
#include "wigeonwall/process/jobs/earlier_holders.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using process::ClusterView;
using process::EarlierHolders;

namespace {

constexpr std::int64_t RetentionMs = 600'000;
constexpr std::int64_t NowMs = 1'700'000'000'000;
/// When the lost agents were observed in the second epoch.
constexpr std::int64_t ObservedAtMs = NowMs - 60'000;

version::MapAgent agent(const std::string &Id, const std::string &Domain) {
  version::MapAgent Agent;
  Agent.Id_ = Id;
  Agent.Incarnation_ = 1;
  Agent.FailureDomain_ = Domain;
  Agent.Service_ = "permit-desk";
  return Agent;
}

/// Epoch 1 has agents x and y, epoch 2 adds a and b, epoch 3 removes x and y.
version::AgentMap lostFirstAgents() {
  version::MapChange First;
  First.Joins_ = {agent("x", "d0"), agent("y", "d0")};
  version::MapChange Second;
  Second.Joins_ = {agent("a", "d1"), agent("b", "d2")};
  version::MapChange Third;
  Third.Removals_ = {{"x", 1, 0}, {"y", 1, 0}};
  auto Map = *version::applyChange({}, First, NowMs - 90'000, RetentionMs);
  Map = *version::applyChange(Map, Second, NowMs - 80'000, RetentionMs);
  return *version::applyChange(Map, Third, NowMs - 10'000, RetentionMs);
}

/// A job whose home in epoch 2 is this process, so that only the holder pair of
/// epoch 1 is left to query.
request::JobKey jobOfOwnHome(const version::AgentMap &Map) {
  request::JobKey Key{"permit-desk", "j"};
  while (Map.holders(Key, 2).Home_->Id_ != "a")
    Key.Id_ += "j";
  return Key;
}

bool allPairsCleared(const process::ObservedEpochs &Observed,
                     std::int64_t CreatedAtMs) {
  auto View = std::make_shared<ClusterView>();
  View->Map_ = std::make_shared<const version::AgentMap>(lostFirstAgents());
  View->Config_ = std::make_shared<const version::Config>();
  View->ObservedEpochs_ = Observed;
  process::Counters Counters;
  const EarlierHolders Holders(
      {{"a", 1, "a"},
       [] { return request::TimePoint{}; },
       [] { return NowMs; },
       [](request::Duration, const std::function<void()> &) {},
       [](const std::string &, const std::string &, const Json::Value &,
          std::chrono::milliseconds, const connection::RpcCallback &) {},
       [View] { return View; },
       Counters});
  return Holders.allPairsCleared(jobOfOwnHome(*View->Map_), CreatedAtMs);
}

} // namespace

BOOST_AUTO_TEST_CASE(lost_holders_that_were_observed_in_a_newer_epoch) {
  // The first case guards against the refusal of every new job for the whole
  // record retention after the loss of the first agents in the map.
  struct Case {
    const char *Name_;
    process::ObservedEpochs ObservedEpochs_;
    std::int64_t CreatedAtMs_;
    bool Cleared_;
  };
  const std::int64_t Late = ObservedAtMs + 5'001;
  const Case Cases[] = {
      {"one left the epoch before the job",
       {{"x", {1, 2, ObservedAtMs}}},
       Late,
       true},
      {"the other one left the epoch",
       {{"y", {1, 2, ObservedAtMs}}},
       Late,
       true},
      {"within the clock tolerance",
       {{"x", {1, 2, ObservedAtMs}}},
       ObservedAtMs + 5'000,
       false},
      {"observed in the old epoch only",
       {{"x", {1, 1, ObservedAtMs}}},
       Late,
       false},
      {"another incarnation", {{"x", {2, 2, ObservedAtMs}}}, Late, false},
      {"never observed", {}, Late, false},
  };
  for (const Case &Each : Cases)
    BOOST_TEST(allPairsCleared(Each.ObservedEpochs_, Each.CreatedAtMs_) ==
                   Each.Cleared_,
               Each.Name_);
}

BOOST_AUTO_TEST_CASE(observed_epochs_only_advance) {
  process::ObservedEpoch Seen;
  BOOST_TEST(Seen.advance(1, 5, 10));
  BOOST_TEST(!Seen.advance(1, 5, 20));
  BOOST_TEST(!Seen.advance(1, 4, 20));
  BOOST_TEST(Seen.ObservedAtMs_ == 10);
  BOOST_TEST(Seen.advance(2, 3, 30));
  BOOST_TEST(!Seen.advance(1, 9, 40));
}
