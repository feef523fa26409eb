/// \file
/// \brief Workload profiles and the arrivals that follow from them.
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

/// \brief One piece of a distribution: uniform over [Min_, Max_].
struct UniformPiece {
  /// Share of the values; the shares of a distribution add up to 1.
  double Share_ = 0;
  std::uint32_t Min_ = 0;
  std::uint32_t Max_ = 0;
};

using Distribution = std::vector<UniformPiece>;

[[nodiscard]] double meanOf(const Distribution &Values) noexcept;

/// \brief One request kind of a workload.
struct KindProfile {
  std::string Name_;
  std::string Team_;
  /// Share of the jobs; the shares of a workload add up to 1.
  double Share_ = 0;
  bool NonIdempotent_ = false;
  Distribution RunMs_;
  Distribution TasksPerJob_;
};

struct WorkloadProfile {
  std::string Service_;
  std::vector<KindProfile> Kinds_;

  /// \brief Mean run time of all tasks of a job, in ms.
  [[nodiscard]] double meanWorkMsPerJob() const noexcept;
};

/// \brief Profile by name; null when there is none.
[[nodiscard]] const WorkloadProfile *findProfile(std::string_view Name);
/// \brief "permit-desk, planting-dispatch", for messages.
[[nodiscard]] std::string profileNames();

/// \brief A time in which one kind arrives more often.
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

/// \brief A job that is to be submitted at a given time.
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
  /// Set when the client submits again while the first request waits.
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

/// \brief Poisson arrivals of a profile in order of time.
///
/// Each kind has its own random sequence, so that the other kinds arrive
/// alike with and without a flood.
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
