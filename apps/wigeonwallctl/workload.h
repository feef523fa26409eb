/// \file
/// \brief Workload profiles and the generator of their arrivals.
#ifndef WIGEONWALLCTL_WORKLOAD_H
#define WIGEONWALLCTL_WORKLOAD_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::ctl {

/// \brief One component of a mixture of uniform distributions over [Min_,
/// Max_].
struct UniformRange {
  /// Probability of this component; the shares of a distribution add up to 1.
  double Share_ = 0;
  std::uint32_t Min_ = 0;
  std::uint32_t Max_ = 0;
};

using Distribution = std::vector<UniformRange>;

[[nodiscard]] double mean(const Distribution &Values) noexcept;

/// \brief One job kind of a workload.
struct KindProfile {
  std::string Name_;
  std::string Team_;
  /// Share of the jobs; the shares of a workload add up to 1.
  double Share_ = 0;
  bool NonIdempotent_ = false;
  Distribution RunTimeMs_;
  Distribution TasksPerJob_;
};

struct WorkloadProfile {
  std::string Service_;
  std::vector<KindProfile> Kinds_;

  /// \brief Mean total run time of the tasks of a job, in ms.
  [[nodiscard]] double meanWorkMsPerJob() const noexcept;
};

/// \brief Finds a profile by name; null when there is none.
[[nodiscard]] const WorkloadProfile *findProfile(std::string_view Name);
/// \brief Comma-separated names of all profiles, for messages.
[[nodiscard]] std::string profileNames();

/// \brief A period in which the arrival rate of one kind is multiplied.
struct Flood {
  std::string Kind_;
  /// Multiplies the rate of the kind.
  double Factor_ = 1;
  std::chrono::nanoseconds Start_{0};
  std::chrono::nanoseconds Duration_{0};

  [[nodiscard]] bool covers(std::chrono::nanoseconds Offset) const noexcept {
    return Offset >= Start_ && Offset < Start_ + Duration_;
  }
};

/// \brief A job with its scheduled submission time.
struct PlannedJob {
  /// From the start of the run to the submission by the client.
  std::chrono::nanoseconds Offset_{0};
  std::string Service_;
  std::string Id_;
  std::string Kind_;
  std::string Team_;
  bool NonIdempotent_ = false;
  std::chrono::milliseconds Timeout_{10'000};
  /// `work_ms` of each task.
  std::vector<std::uint32_t> WorkMs_;
  /// Delay after which the client resubmits the job if the first request is
  /// still pending; empty for no resubmission.
  std::optional<std::chrono::nanoseconds> ResubmitAfter_;
};

struct ArrivalOptions {
  double JobsPerSecond_ = 1;
  std::chrono::nanoseconds Duration_{0};
  std::uint64_t Seed_ = 1;
  double ResubmitProbability_ = 0;
  std::chrono::milliseconds Timeout_{10'000};
  std::optional<Flood> Flood_ = std::nullopt;
};

/// \brief Generates the Poisson arrivals of a profile in order of time.
///
/// Each kind has its own random number stream, so that a flood of one kind does
/// not change the arrivals of the others.
class ArrivalGenerator {
public:
  ArrivalGenerator(const WorkloadProfile &Profile, ArrivalOptions Options);

  /// \brief The next job; empty after the end of the duration. Ids are
  /// "1", "2" and so on.
  [[nodiscard]] std::optional<PlannedJob> next();

private:
  struct Stream {
    const KindProfile *Kind_;
    std::mt19937_64 Random_;
    double PeakPerSecond_;
    std::chrono::nanoseconds Next_{0};
  };

  void advance(Stream &Each);
  [[nodiscard]] double rateAt(const Stream &Each,
                              std::chrono::nanoseconds Offset) const;

  const WorkloadProfile &Profile_;
  ArrivalOptions Options_;
  std::vector<Stream> Streams_;
  std::uint64_t Count_ = 0;
};

} // namespace wigeonwall::ctl

#endif
