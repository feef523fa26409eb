#include "config_validation.h"

#include <algorithm>
#include <set>

namespace wigeonwall::version::detail {

namespace {

/// Absorbs the rounding of sums such as 0.1 + 0.2 + 0.7.
constexpr double ShareTolerance = 1e-9;
/// A request older than the retention less this margin is refused as expired.
constexpr std::chrono::seconds ExpiryMargin{60};

using Faults = std::vector<ConfigFault>;

void add(Faults &Found, std::string Position, std::string Message) {
  Found.push_back(
      {ConfigError::Meaning, std::move(Message), std::move(Position)});
}

std::string item(const std::string &Array, std::size_t Index) {
  return Array + "/" + std::to_string(Index);
}

template <typename Item>
void checkNames(const std::vector<Item> &Items, const std::string &Array,
                Faults &Found) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Items.size(); ++I)
    if (!Seen.insert(Items[I].Name_).second)
      add(Found, item(Array, I) + "/name",
          "name \"" + Items[I].Name_ + "\" is used twice");
}

void checkShares(const ServiceConfig &Service, const std::string &Kinds,
                 Faults &Found) {
  double Sum = 0;
  for (const KindConfig &Kind : Service.Kinds_)
    Sum += Kind.MinShare_;
  if (Sum > 1 + ShareTolerance)
    add(Found, Kinds,
        "guaranteed shares add up to " + std::to_string(Sum) +
            ", expected at most 1");
}

void checkKind(const KindConfig &Kind, const Config &Document,
               const std::string &Position, Faults &Found) {
  const auto Expiry = Document.Limits_.RecordRetention_ - ExpiryMargin;
  if (Kind.MaxTimeout_ > Expiry)
    add(Found, Position + "/max_timeout_ms",
        "requests expire after " + std::to_string(Expiry.count()) +
            " s (record_retention_s less 60)");
  unsigned Largest = 0;
  for (const TeamConfig &Team : Document.Teams_)
    Largest = std::max(Largest, Team.MaxTasksInFlight_);
  if (Largest != 0 && Kind.MaxTasksPerJob_ > Largest)
    add(Found, Position + "/max_tasks_per_job",
        "no team may have more than " + std::to_string(Largest) +
            " tasks in flight");
}

} // namespace

void checkMeaning(const Config &Document, Faults &Found) {
  checkNames(Document.Services_, "/services", Found);
  for (std::size_t I = 0; I < Document.Services_.size(); ++I) {
    const ServiceConfig &Service = Document.Services_[I];
    const std::string Kinds = item("/services", I) + "/kinds";
    checkNames(Service.Kinds_, Kinds, Found);
    checkShares(Service, Kinds, Found);
    for (std::size_t K = 0; K < Service.Kinds_.size(); ++K)
      checkKind(Service.Kinds_[K], Document, item(Kinds, K), Found);
  }
  checkNames(Document.Teams_, "/teams", Found);
  checkNames(Document.FailureDomains_, "/failure_domains", Found);
}

} // namespace wigeonwall::version::detail
