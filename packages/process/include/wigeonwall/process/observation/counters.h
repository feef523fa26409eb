/// \file
/// \brief Counters and latency histograms of one process.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_COUNTERS_H
#define WIGEONWALL_PROCESS_OBSERVATION_COUNTERS_H

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace wigeonwall::process {

/// \brief Latency histogram whose bucket bounds double, starting at 1 ms.
class Histogram {
public:
  static constexpr std::size_t BucketCount = 18;

  void record(std::chrono::nanoseconds Value) noexcept;
  /// \brief Returns the upper bound of a bucket in seconds; the last bucket is
  /// unbounded.
  [[nodiscard]] static double upperBoundSeconds(std::size_t Bucket) noexcept;
  [[nodiscard]] std::uint64_t count(std::size_t Bucket) const noexcept;
  [[nodiscard]] double sumSeconds() const noexcept;

private:
  std::array<std::atomic<std::uint64_t>, BucketCount> Buckets_{};
  std::atomic<std::uint64_t> SumNanoseconds_{0};
};

/// \brief Registry of named counters, gauges and histograms; thread-safe.
///
/// Names are given without the prefix `wigeonwall_`, which exposition() adds.
/// References stay valid for the lifetime of the object, so that hot paths need
/// to look a counter up only once.
/// \code
/// auto &Refused =
///     Registry.counter("jobs_refused_total", "reason", "draining");
/// Refused.fetch_add(1);
/// \endcode
class Counters {
public:
  using Value = std::atomic<std::int64_t>;

  /// \brief Returns the counter or gauge of a series, which is created if
  /// necessary.
  [[nodiscard]] Value &counter(const std::string &Name,
                               const std::string &Label = {},
                               const std::string &LabelValue = {});
  /// \brief Returns the histogram of a series, which is created if necessary.
  [[nodiscard]] Histogram &histogram(const std::string &Name,
                                     const std::string &Label = {},
                                     const std::string &LabelValue = {});

  /// \brief Returns the values of the counters named \p Name by label value.
  [[nodiscard]] std::map<std::string, std::int64_t>
  labelled(const std::string &Name) const;

  /// \brief Returns all series in the text exposition format for `/metrics`.
  [[nodiscard]] std::string exposition() const;

private:
  mutable std::mutex Mutex_;
  std::map<std::string, std::unique_ptr<Value>> Values_;
  std::map<std::string, std::unique_ptr<Histogram>> Histograms_;
};

} // namespace wigeonwall::process

#endif
