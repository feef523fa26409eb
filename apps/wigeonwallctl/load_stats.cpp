#include "wigeonwallctl/load_stats.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace wigeonwall::ctl {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

Json::Value encodeCounts(const ReasonCounts &Counts) {
  Json::Value Value(Json::objectValue);
  for (const auto &[Name, Count] : Counts)
    Value[Name] = Json::UInt64(Count);
  return Value;
}

Json::Value encodePercentiles(const Percentiles &Values) {
  Json::Value Value;
  Value["p50"] = Values.at(0.5);
  Value["p99"] = Values.at(0.99);
  Value["max"] = Values.max();
  return Value;
}

void printReasons(std::ostream &Out, const char *Label,
                  const ReasonCounts &Counts) {
  for (const auto &[Name, Count] : Counts)
    Out << "  " << Label << " " << Name << ": " << Count << "\n";
}

void printRow(std::ostream &Out, const std::string &Name,
              const KindStats &Stats, double Seconds) {
  std::array<char, 256> Line{};
  std::snprintf(Line.data(), Line.size(),
                "%-24s %8llu %8llu %8llu %7llu %9llu %8.3f %8.3f %9.1f %9.1f "
                "%8.1f\n",
                Name.c_str(), static_cast<unsigned long long>(Stats.Sent_),
                static_cast<unsigned long long>(Stats.Complete_),
                static_cast<unsigned long long>(totalCount(Stats.NotRun_)),
                static_cast<unsigned long long>(totalCount(Stats.Failed_)),
                static_cast<unsigned long long>(totalCount(Stats.NoAnswer_)),
                Stats.Ratio_.at(0.5), Stats.Ratio_.at(0.99),
                Stats.LatencyMs_.at(0.5), Stats.LatencyMs_.at(0.99),
                static_cast<double>(Stats.Complete_) / Seconds);
  Out << Line.data();
}

} // namespace

std::uint64_t totalCount(const ReasonCounts &Counts) {
  std::uint64_t Sum = 0;
  for (const auto &[Name, Count] : Counts)
    Sum += Count;
  return Sum;
}

void KindStats::record(const PlannedJob &Job, const JobOutcome &Outcome,
                       std::chrono::milliseconds ClientDelay) {
  ++Sent_;
  Crossed_ += Outcome.Check_ == AnswerCheck::Crossed ? 1 : 0;
  Partial_ += Outcome.Check_ == AnswerCheck::Partial ? 1 : 0;
  Invalid_ += Outcome.Check_ == AnswerCheck::Invalid ? 1 : 0;
  Contradicted_ += Outcome.Contradicted_ ? 1 : 0;
  const CallerReply &Reply = Outcome.Reply_;
  const std::string Reason(
      request::findName(request::ReasonNames, Reply.Answer_.Reason_));
  if (Reply.Kind_ == ReplyKind::NotRun) {
    ++NotRun_[Reason];
  } else if (Reply.Kind_ == ReplyKind::Failed) {
    ++Failed_[Reason];
  } else if (Reply.Kind_ != ReplyKind::Complete) {
    ++NoAnswer_[std::string(request::findName(ReplyKindNames, Reply.Kind_))];
  } else {
    ++Complete_;
    const double LatencyMs = Milliseconds(Outcome.Latency_).count();
    const double IdealMs =
        2.0 * static_cast<double>(ClientDelay.count()) +
        *std::max_element(Job.WorkMs_.begin(), Job.WorkMs_.end());
    LatencyMs_.record(LatencyMs);
    // The ratio is undefined for a job without client delay and work.
    if (IdealMs > 0)
      Ratio_.record(LatencyMs / IdealMs);
  }
}

bool KindStats::hasInvalidAnswers() const noexcept {
  return Crossed_ + Partial_ + Contradicted_ + Invalid_ != 0;
}

Json::Value KindStats::toJson(double Seconds) const {
  Json::Value Value;
  Value["sent"] = Json::UInt64(Sent_);
  Value["complete"] = Json::UInt64(Complete_);
  Value["not_run"] = encodeCounts(NotRun_);
  Value["failed"] = encodeCounts(Failed_);
  Value["no_answer"] = encodeCounts(NoAnswer_);
  Value["crossed"] = Json::UInt64(Crossed_);
  Value["partial"] = Json::UInt64(Partial_);
  Value["contradicted"] = Json::UInt64(Contradicted_);
  Value["invalid"] = Json::UInt64(Invalid_);
  Value["response_ratio"] = encodePercentiles(Ratio_);
  Value["latency_ms"] = encodePercentiles(LatencyMs_);
  Value["complete_per_s"] = static_cast<double>(Complete_) / Seconds;
  return Value;
}

void LoadStats::record(const PlannedJob &Job, const JobOutcome &Outcome) {
  Overall_.record(Job, Outcome, ClientDelay_);
  Kinds_[Job.Kind_].record(Job, Outcome, ClientDelay_);
}

Json::Value LoadStats::toJson(double Seconds) const {
  Json::Value Value;
  Value["overall"] = Overall_.toJson(Seconds);
  Value["kinds"] = Json::Value(Json::objectValue);
  for (const auto &[Name, Stats] : Kinds_)
    Value["kinds"][Name] = Stats.toJson(Seconds);
  return Value;
}

void LoadStats::printTable(std::ostream &Out, double Seconds) const {
  Out << "kind                         sent complete  not_run  failed "
         "no_answer ratio50  ratio99    p50_ms    p99_ms complete/s\n";
  for (const auto &[Name, Stats] : Kinds_)
    printRow(Out, Name, Stats, Seconds);
  printRow(Out, "overall", Overall_, Seconds);
  printReasons(Out, "not_run", Overall_.NotRun_);
  printReasons(Out, "failed", Overall_.Failed_);
  printReasons(Out, "no answer", Overall_.NoAnswer_);
  Out << "crossed " << Overall_.Crossed_ << ", partial " << Overall_.Partial_
      << ", contradicted " << Overall_.Contradicted_ << ", invalid "
      << Overall_.Invalid_ << "\n";
}

Timeline::Second &Timeline::at(std::chrono::nanoseconds Offset) {
  const auto Index = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(Offset).count());
  if (Index >= Seconds_.size())
    Seconds_.resize(Index + 1);
  return Seconds_[Index];
}

void Timeline::record(const PlannedJob &Job, const JobOutcome &Outcome) {
  ++at(Job.Offset_).Sent_;
  if (Outcome.Reply_.Kind_ == ReplyKind::Complete)
    ++at(Outcome.ArrivalOffset_).Complete_;
}

Json::Value Timeline::toJson() const {
  Json::Value Value(Json::arrayValue);
  for (std::size_t I = 0; I < Seconds_.size(); ++I) {
    Json::Value Row;
    Row["second"] = Json::UInt64(I);
    Row["sent"] = Json::UInt64(Seconds_[I].Sent_);
    Row["complete"] = Json::UInt64(Seconds_[I].Complete_);
    Value.append(std::move(Row));
  }
  return Value;
}

} // namespace wigeonwall::ctl
