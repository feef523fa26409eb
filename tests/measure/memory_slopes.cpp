#include "sections.h"

#include "standins/resource_usage.h"
#include "standins/target_size.h"

#include "wigeonwall/process/membership/member_table.h"
#include "wigeonwall/request/job_table.h"
#include "wigeonwall/request/record_copies.h"
#include "wigeonwall/request/start_deduplicator.h"

#include <cstdio>
#include <malloc.h>
#include <memory>
#include <vector>

namespace wigeonwall::measure {

using request::JobKey;

namespace {

constexpr std::chrono::seconds Retention{600};

request::Clock steadyClock() {
  return [] { return std::chrono::steady_clock::now(); };
}

JobKey makeKey(unsigned Number) {
  // Has the length of the UUIDs that callers send as job ids.
  char Id[40];
  std::snprintf(Id, sizeof Id, "%08x-7c1e-4b1f-9f3d-%012x", Number, Number);
  return {"permit-desk", Id};
}

request::HomeIdentity makeHome() {
  return {"a17", 1'790'000'000'000, "10.20.0.18:7401"};
}

/// Returns a payload or result of about 200 bytes.
Json::Value makePayload() {
  Json::Value Value;
  Value["address"] = "14 Kiepersol Road, Midrand";
  Value["permit"] = "KSP-2026-118841";
  Value["note"] = std::string(120, 'x');
  return Value;
}

request::JobSpec makeJob(unsigned Number, unsigned Tasks) {
  request::JobSpec Spec;
  Spec.Key_ = makeKey(Number);
  Spec.Kind_ = "setback-check";
  Spec.Team_ = "installers";
  Spec.Timeout_ = std::chrono::seconds(30);
  Spec.Tasks_.resize(Tasks);
  for (request::TaskSpec &Task : Spec.Tasks_)
    Task.Payload_ = makePayload();
  return Spec;
}

/// Keeps measured objects allocated, so that later measurements cannot reuse
/// their memory.
std::vector<std::shared_ptr<void>> RetainedObjects;

/// Prints and returns the growth of resident memory per object when \p Make
/// creates \p Count objects.
template <typename MakeObjects>
double measureGrowth(const char *What, unsigned Count, MakeObjects Make) {
  malloc_trim(0);
  const std::size_t Before = standins::residentBytes();
  RetainedObjects.push_back(Make());
  const double Each =
      double(standins::residentBytes() - Before) / double(Count);
  std::printf("%s: %.0f B\n", What, Each);
  return Each;
}

void measureMembers() {
  constexpr unsigned Copies = 50;
  const auto Members = standins::makeMembers(620);
  measureGrowth("member in the table", Copies * 620, [&] {
    auto Tables = std::make_shared<std::vector<process::MemberTable>>(Copies);
    for (process::MemberTable &Table : *Tables)
      for (const process::Member &Each : Members) {
        process::MemberUpdate Update;
        Update.Member_ = Each;
        Table.apply(Update, {}, false);
      }
    return Tables;
  });
  measureGrowth("member in a view", Copies * 620, [&] {
    return std::make_shared<std::vector<std::vector<process::Member>>>(Copies,
                                                                       Members);
  });
}

void measureDocuments() {
  constexpr unsigned Copies = 50;
  const auto Map = standins::makeMap(standins::makeMembers(620));
  measureGrowth("agent in a map", Copies * 620, [&] {
    return std::make_shared<std::vector<version::AgentMap>>(Copies, Map);
  });
  measureGrowth("agent in the kept JSON of a map", Copies * 620, [&] {
    auto All = std::make_shared<std::vector<Json::Value>>();
    for (unsigned I = 0; I < Copies; ++I)
      All->push_back(version::encodeMap(Map));
    return All;
  });
  const auto Config = [&](const char *What, unsigned Teams, unsigned Kinds) {
    const version::Config Value = standins::makeConfig(Teams, Kinds);
    return measureGrowth(What, Copies, [&] {
      auto All = std::make_shared<
          std::vector<std::pair<version::Config, Json::Value>>>();
      for (unsigned I = 0; I < Copies; ++I)
        All->emplace_back(Value,
                          version::encodeStoredConfig({Value, {{"e1", 1}}}));
      return All;
    });
  };
  const double Small = Config("configuration of 20 teams, 12 kinds", 20, 12);
  const double Teams = Config("configuration of 820 teams, 12 kinds", 820, 12);
  const double Kinds = Config("configuration of 20 teams, 412 kinds", 20, 412);
  std::printf("per team %.0f B, per kind %.0f B (value and JSON)\n",
              (Teams - Small) / 800, (Kinds - Small) / 400);
}

void measureJobRecords(unsigned Tasks, unsigned Count, bool Final) {
  char What[80];
  std::snprintf(What, sizeof What, "%s job record of %u tasks",
                Final ? "final" : "running", Tasks);
  measureGrowth(What, Count, [&] {
    auto Jobs = std::make_shared<request::JobTable>(steadyClock());
    for (unsigned I = 0; I < Count; ++I) {
      request::JobRecord &Record = Jobs->create(makeJob(I, Tasks), I);
      for (unsigned Task = 0; Task < Tasks; ++Task) {
        Record.Tasks_[Task].State_ = request::TaskState::Placed;
        Record.Tasks_[Task].Agent_ = "a17";
        if (Final)
          Jobs->completeTask(Record, Task, makePayload());
      }
      if (!Final)
        continue;
      request::JobAnswer Answer;
      Answer.Outcome_ = request::Outcome::Complete;
      for (request::TaskRecord &Task : Record.Tasks_)
        Answer.Results_.push_back(std::move(Task.Result_));
      Jobs->finalize(Record, std::move(Answer), Retention);
    }
    return Jobs;
  });
}

void measureCopies(unsigned Results, unsigned Count) {
  char What[80];
  std::snprintf(What, sizeof What, "copy with %u results", Results);
  measureGrowth(What, Count, [&] {
    auto All = std::make_shared<request::RecordCopies>(steadyClock());
    request::JobAnswer Answer;
    Answer.Outcome_ = request::Outcome::Complete;
    Answer.Results_.assign(Results, makePayload());
    for (unsigned I = 0; I < Count; ++I) {
      (void)All->prepare(makeKey(I), I, makeHome(), 1, 1, Retention);
      All->finish(makeKey(I), makeHome(), Answer, Retention);
    }
    return All;
  });
}

} // namespace

void memoryUse() {
  measureMembers();
  measureDocuments();
  for (const bool Final : {false, true}) {
    measureJobRecords(1, 20'000, Final);
    measureJobRecords(20, 2'000, Final);
    measureJobRecords(170, 400, Final);
  }
  measureCopies(1, 20'000);
  measureCopies(20, 2'000);
  measureCopies(170, 400);
  constexpr unsigned Entries = 100'000;
  measureGrowth("gate entry", Entries, [&] {
    auto Gate =
        std::make_shared<request::StartDeduplicator>(steadyClock(), Retention);
    for (unsigned I = 0; I < Entries; ++I)
      (void)Gate->admit(makeKey(I), 0, {"a17", 1'790'000'000'000, 1, 1});
    return Gate;
  });
  measureGrowth("seal", Entries, [&] {
    auto All = std::make_shared<request::RecordCopies>(steadyClock());
    for (unsigned I = 0; I < Entries; ++I)
      All->seal(makeKey(I), 2, Retention);
    return All;
  });
}

} // namespace wigeonwall::measure
