#include "wigeonwall/process/observation/counters.h"

#include <sstream>

namespace wigeonwall::process {

namespace {

constexpr double FirstBoundSeconds = 0.001;
constexpr const char *MetricPrefix = "wigeonwall_";
constexpr double NanosecondsPerSecond = 1e9;

std::string seriesName(const std::string &Name, const std::string &Label,
                       const std::string &LabelValue) {
  if (Label.empty())
    return Name;
  return Name + "{" + Label + "=\"" + LabelValue + "\"}";
}

/// Adds `_bucket` and the `le` label to a series name.
std::string bucketName(const std::string &Series, const std::string &Bound) {
  const std::size_t Brace = Series.find('{');
  const std::string Label = "le=\"" + Bound + "\"";
  if (Brace == std::string::npos)
    return Series + "_bucket{" + Label + "}";
  return Series.substr(0, Brace) + "_bucket{" + Label + "," +
         Series.substr(Brace + 1);
}

std::string withSuffix(const std::string &Series, const std::string &Suffix) {
  const std::size_t Brace = Series.find('{');
  if (Brace == std::string::npos)
    return Series + Suffix;
  return Series.substr(0, Brace) + Suffix + Series.substr(Brace);
}

void writeHistogram(std::ostream &Out, const std::string &Series,
                    const Histogram &Values) {
  std::uint64_t Total = 0;
  for (std::size_t I = 0; I < Histogram::BucketCount; ++I) {
    Total += Values.count(I);
    std::ostringstream Bound;
    if (I + 1 == Histogram::BucketCount)
      Bound << "+Inf";
    else
      Bound << Histogram::upperBoundSeconds(I);
    Out << bucketName(Series, Bound.str()) << ' ' << Total << '\n';
  }
  Out << withSuffix(Series, "_sum") << ' ' << Values.sumSeconds() << '\n';
  Out << withSuffix(Series, "_count") << ' ' << Total << '\n';
}

} // namespace

void Histogram::record(std::chrono::nanoseconds Value) noexcept {
  const double Seconds =
      static_cast<double>(Value.count()) / NanosecondsPerSecond;
  std::size_t Bucket = 0;
  while (Bucket + 1 < BucketCount && Seconds > upperBoundSeconds(Bucket))
    ++Bucket;
  Buckets_[Bucket].fetch_add(1, std::memory_order_relaxed);
  SumNanoseconds_.fetch_add(static_cast<std::uint64_t>(Value.count()),
                            std::memory_order_relaxed);
}

double Histogram::upperBoundSeconds(std::size_t Bucket) noexcept {
  return FirstBoundSeconds * static_cast<double>(1ULL << Bucket);
}

std::uint64_t Histogram::count(std::size_t Bucket) const noexcept {
  return Buckets_[Bucket].load(std::memory_order_relaxed);
}

double Histogram::sumSeconds() const noexcept {
  return static_cast<double>(SumNanoseconds_.load(std::memory_order_relaxed)) /
         NanosecondsPerSecond;
}

Counters::Value &Counters::counter(const std::string &Name,
                                   const std::string &Label,
                                   const std::string &LabelValue) {
  const std::scoped_lock Lock(Mutex_);
  auto &Entry = Values_[seriesName(Name, Label, LabelValue)];
  if (!Entry)
    Entry = std::make_unique<Value>(0);
  return *Entry;
}

Histogram &Counters::histogram(const std::string &Name,
                               const std::string &Label,
                               const std::string &LabelValue) {
  const std::scoped_lock Lock(Mutex_);
  auto &Entry = Histograms_[seriesName(Name, Label, LabelValue)];
  if (!Entry)
    Entry = std::make_unique<Histogram>();
  return *Entry;
}

std::map<std::string, std::int64_t>
Counters::labelled(const std::string &Name) const {
  const std::scoped_lock Lock(Mutex_);
  std::map<std::string, std::int64_t> Result;
  const std::string SeriesPrefix = Name + "{";
  for (auto Position = Values_.lower_bound(SeriesPrefix);
       Position != Values_.end() &&
       Position->first.compare(0, SeriesPrefix.size(), SeriesPrefix) == 0;
       ++Position) {
    const std::string &Series = Position->first;
    const std::size_t First = Series.find('"') + 1;
    Result[Series.substr(First, Series.rfind('"') - First)] =
        Position->second->load(std::memory_order_relaxed);
  }
  return Result;
}

std::string Counters::exposition() const {
  const std::scoped_lock Lock(Mutex_);
  std::ostringstream Out;
  for (const auto &[Series, Value] : Values_)
    Out << MetricPrefix << Series << ' '
        << Value->load(std::memory_order_relaxed) << '\n';
  for (const auto &[Series, Values] : Histograms_)
    writeHistogram(Out, MetricPrefix + Series, *Values);
  return Out.str();
}

} // namespace wigeonwall::process
