/// \file
/// \brief Queries the record holders of earlier map epochs for a job.
#ifndef WIGEONWALL_PROCESS_JOBS_EARLIER_HOLDERS_H
#define WIGEONWALL_PROCESS_JOBS_EARLIER_HOLDERS_H

#include "wigeonwall/process/jobs/agent_context.h"

#include <map>
#include <string>

namespace wigeonwall::process {

/// \brief Result of querying the earlier holders of a job.
enum class PriorRecord : std::uint8_t {
  /// No record exists: each earlier holder pair is sealed for the job, or one
  /// of its holders stopped or left the pair's epoch before the job was
  /// created.
  None,
  /// A holder returned the final answer.
  Answered,
  /// A home that is alive runs the job.
  RunningElsewhere,
  /// A home that is dead or left had the job, or neither holder of a pair
  /// answered.
  Lost,
};

struct PriorRecordResult {
  PriorRecord Kind_ = PriorRecord::None;
  request::JobAnswer Answer_;
  request::HomeIdentity Home_;
};

using PriorRecordCallback = std::function<void(const PriorRecordResult &)>;

/// \brief Sends `record.seal` to the holder pairs of earlier epochs, which
/// stops them from running the job and returns their records of it.
class EarlierHolders {
public:
  explicit EarlierHolders(AgentContext Context);

  /// \brief True when no earlier holder pair needs to be queried for the job.
  [[nodiscard]] bool allPairsCleared(const request::JobKey &Key,
                                     std::int64_t CreatedAtMs) const;

  /// \brief Queries all pairs in parallel; \p Done is called once, never from
  /// within this function.
  void query(const request::JobKey &Key, std::int64_t CreatedAtMs,
             PriorRecordCallback Done);

private:
  struct Inquiry;

  void recordEpoch(const version::MapAgent &Holder, const Json::Value &Reply);
  /// Whether \p Holder refused epochs up to \p Last before the job was created.
  [[nodiscard]] bool leftEpochBefore(const version::MapAgent *Holder,
                                     version::Epoch Last,
                                     std::int64_t CreatedAtMs) const;
  [[nodiscard]] bool isSelf(const version::MapAgent *Agent) const;
  [[nodiscard]] bool isPairCleared(const version::HolderPair &Pair,
                                   std::int64_t CreatedAtMs) const;
  /// Earlier holder pairs of the job that must be queried.
  [[nodiscard]] std::vector<version::HolderPair>
  pairsToQuery(const request::JobKey &Key, std::int64_t CreatedAtMs,
               const ClusterView &View) const;
  void sendSeal(const std::shared_ptr<Inquiry> &State, std::size_t Pair,
                const version::MapAgent &Holder, unsigned Attempt);
  void onReply(const std::shared_ptr<Inquiry> &State, std::size_t Pair,
               const Json::Value &Reply);
  void onHolderFailed(const std::shared_ptr<Inquiry> &State, std::size_t Pair);
  void finish(const std::shared_ptr<Inquiry> &State, PriorRecordResult Result);

  AgentContext Context_;
  /// Epochs reported in replies to `record.seal`.
  ObservedEpochs ObservedEpochs_;
  Counters::Value &SealsSent_;
};

/// \brief Parses the reply to `record.seal`; empty for the state `sealed`.
[[nodiscard]] std::optional<PriorRecordResult>
readSealReply(const Json::Value &Reply, const ClusterView &View);

} // namespace wigeonwall::process

#endif
