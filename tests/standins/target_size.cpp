#include "standins/target_size.h"

#include <string>

namespace wigeonwall::standins {

namespace {

constexpr unsigned Domains = 10;
constexpr unsigned Regions = 3;
constexpr std::int64_t StartMs = 1'790'000'000'000;
constexpr std::int64_t RetentionMs = 600'000;

std::string number(const char *Prefix, unsigned Value) {
  return Prefix + std::to_string(Value);
}

} // namespace

version::Config makeConfig(unsigned Teams, unsigned Kinds) {
  version::Config Result;
  Result.Version_ = 1;
  Result.EditId_ = "e1";
  version::ServiceConfig Service{"permit-desk", {}};
  for (unsigned I = 0; I < Kinds; ++I) {
    version::KindConfig Kind;
    Kind.Name_ = number("kind-", I);
    Kind.QueueLimit_ = 1'000;
    Kind.MaxTasksPerJob_ = 170;
    Kind.MaxTimeout_ = std::chrono::seconds(30);
    Service.Kinds_.push_back(Kind);
  }
  Result.Services_ = {Service};
  for (unsigned I = 0; I < Teams; ++I)
    Result.Teams_.push_back({number("team-", I), 1'000});
  for (unsigned I = 0; I < Domains; ++I)
    Result.FailureDomains_.push_back(
        {number("domain-", I), number("region-", I % Regions)});
  return Result;
}

version::AgentMap makeMap(const std::vector<process::Member> &Members) {
  version::MapChange Joins;
  for (const process::Member &Each : Members) {
    version::MapAgent Agent;
    Agent.Id_ = Each.Id_;
    Agent.Incarnation_ = Each.Incarnation_;
    Agent.ControlAddress_ = Each.ControlAddress_;
    Agent.TrafficAddress_ = Each.TrafficAddress_;
    Agent.FailureDomain_ = Each.FailureDomain_;
    Agent.Service_ = Each.Service_;
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
    Result.push_back({number("a", I), process::Role::Agent, StartMs,
                      Host + ":7400", Host + ":7401",
                      number("domain-", I % Domains), "permit-desk"});
  }
  return Result;
}

} // namespace wigeonwall::standins
