#include "config_validation.h"

#include <algorithm>
#include <set>

namespace wigeonwall::version::detail {

namespace {

/// Tolerance for rounding errors in sums such as 0.1 + 0.2 + 0.7.
constexpr double ShareTolerance = 1e-9;
/// A request older than the record retention minus this margin is rejected as
/// expired.
constexpr std::chrono::seconds ExpiryMargin{60};

using FaultList = std::vector<ConfigFault>;

void addFault(FaultList &Faults, std::string Position, std::string Message) {
  Faults.push_back(
      {ConfigError::Semantics, std::move(Message), std::move(Position)});
}

std::string itemPointer(const std::string &Array, std::size_t Index) {
  return Array + "/" + std::to_string(Index);
}

template <typename Item>
void checkNames(const std::vector<Item> &Items, const std::string &Array,
                FaultList &Faults) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Items.size(); ++I)
    if (!Seen.insert(Items[I].Name_).second)
      addFault(Faults, itemPointer(Array, I) + "/name",
               "name \"" + Items[I].Name_ + "\" is used twice");
}

void checkShares(const ServiceConfig &Service, const std::string &Kinds,
                 FaultList &Faults) {
  double Sum = 0;
  for (const KindConfig &Kind : Service.Kinds_)
    Sum += Kind.MinShare_;
  if (Sum > 1 + ShareTolerance)
    addFault(Faults, Kinds,
             "guaranteed shares add up to " + std::to_string(Sum) +
                 ", expected at most 1");
}

void checkKind(const KindConfig &Kind, const Config &Document,
               const std::string &Position, FaultList &Faults) {
  const auto Expiry = Document.Limits_.RecordRetention_ - ExpiryMargin;
  if (Kind.MaxTimeout_ > Expiry)
    addFault(Faults, Position + "/max_timeout_ms",
             "requests expire after " + std::to_string(Expiry.count()) +
                 " s (record_retention_s minus 60)");
  unsigned MaxInFlight = 0;
  for (const TeamConfig &Team : Document.Teams_)
    MaxInFlight = std::max(MaxInFlight, Team.MaxTasksInFlight_);
  if (MaxInFlight != 0 && Kind.MaxTasksPerJob_ > MaxInFlight)
    addFault(Faults, Position + "/max_tasks_per_job",
             "no team may have more than " + std::to_string(MaxInFlight) +
                 " tasks in flight");
}

} // namespace

void checkSemantics(const Config &Document, FaultList &Faults) {
  checkNames(Document.Services_, "/services", Faults);
  for (std::size_t I = 0; I < Document.Services_.size(); ++I) {
    const ServiceConfig &Service = Document.Services_[I];
    const std::string Kinds = itemPointer("/services", I) + "/kinds";
    checkNames(Service.Kinds_, Kinds, Faults);
    checkShares(Service, Kinds, Faults);
    for (std::size_t K = 0; K < Service.Kinds_.size(); ++K)
      checkKind(Service.Kinds_[K], Document, itemPointer(Kinds, K), Faults);
  }
  checkNames(Document.Teams_, "/teams", Faults);
  checkNames(Document.FailureDomains_, "/failure_domains", Faults);
}

} // namespace wigeonwall::version::detail
