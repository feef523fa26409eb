#include "standins/target_size.h"

#include <string>

namespace wigeonwall::standins {

namespace {

constexpr unsigned DomainCount = 10;
constexpr unsigned RegionCount = 3;
constexpr std::int64_t StartMs = 1'790'000'000'000;
constexpr std::int64_t RetentionMs = 600'000;

std::string numberedName(const char *Prefix, unsigned Number) {
  return Prefix + std::to_string(Number);
}

} // namespace

version::Config makeConfig(unsigned Teams, unsigned Kinds) {
  version::Config Result;
  Result.Version_ = 1;
  Result.EditId_ = "e1";
  version::ServiceConfig Service{"permit-desk", {}};
  for (unsigned I = 0; I < Kinds; ++I) {
    version::KindConfig Kind;
    Kind.Name_ = numberedName("kind-", I);
    Kind.QueueLimit_ = 1'000;
    Kind.MaxTasksPerJob_ = 170;
    Kind.MaxTimeout_ = std::chrono::seconds(30);
    Service.Kinds_.push_back(Kind);
  }
  Result.Services_ = {Service};
  for (unsigned I = 0; I < Teams; ++I)
    Result.Teams_.push_back({numberedName("team-", I), 1'000});
  for (unsigned I = 0; I < DomainCount; ++I)
    Result.FailureDomains_.push_back(
        {numberedName("domain-", I), numberedName("region-", I % RegionCount)});
  return Result;
}

version::AgentMap makeMap(const std::vector<process::Member> &Members) {
  version::MapChange Joins;
  for (const process::Member &Joining : Members) {
    version::MapAgent Agent;
    Agent.Id_ = Joining.Id_;
    Agent.Incarnation_ = Joining.Incarnation_;
    Agent.ControlAddress_ = Joining.ControlAddress_;
    Agent.TrafficAddress_ = Joining.TrafficAddress_;
    Agent.FailureDomain_ = Joining.FailureDomain_;
    Agent.Service_ = Joining.Service_;
    Joins.Joins_.push_back(Agent);
  }
  return version::applyChange({}, Joins, StartMs, RetentionMs)
      .value_or(version::AgentMap{});
}

std::vector<process::Member> makeMembers(unsigned Count) {
  std::vector<process::Member> Result;
  for (unsigned I = 0; I < Count; ++I) {
    const std::string Host =
        "10.20." + std::to_string(I / 200) + "." + std::to_string(I % 200 + 1);
    Result.push_back({numberedName("a", I), process::Role::Agent, StartMs,
                      Host + ":7400", Host + ":7401",
                      numberedName("domain-", I % DomainCount), "permit-desk"});
  }
  return Result;
}

} // namespace wigeonwall::standins
