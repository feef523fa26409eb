#include "wigeonwallctl/run_options.h"

#include "wigeonwall/request/codec.h"

#include <iomanip>
#include <random>
#include <sstream>

namespace wigeonwall::ctl {

namespace {

constexpr std::int64_t MaxClientDelayMs = 10'000;
constexpr std::int64_t MaxConnections = 16'000;

std::string makeIdPrefix(const std::string &Prefix) {
  std::random_device Source;
  std::ostringstream Text;
  Text << Prefix << "-" << std::hex << std::setfill('0') << std::setw(8)
       << Source() << "-";
  return Text.str();
}

} // namespace

void writeJsonReport(Console Streams, const RunOptions &Run,
                     const Json::Value &Value) {
  if (!Run.Json_)
    return;
  *Run.Json_ << request::writeJson(Value) << "\n" << std::flush;
  if (!*Run.Json_)
    reportError(Streams, "--json: the statistics could not be written",
                "check the free disk space and run again");
}

void readRunOptions(OptionReader &Reader, const std::string &IdPrefix,
                    RunOptions &Out) {
  Reader.entries("--entry", Out.Load_.Entries_);
  Reader.milliseconds("--client-delay-ms", 0, MaxClientDelayMs,
                      Out.Load_.ClientDelay_);
  std::int64_t Connections = 1'000;
  Reader.integer("--connections", 1, MaxConnections, Connections);
  Out.Load_.ConnectionsPerEntry_ = static_cast<std::size_t>(Connections);
  Out.Load_.IdPrefix_ = makeIdPrefix(IdPrefix);
  std::string Path;
  Reader.string("--json", Path);
  if (Path.empty())
    return;
  Out.Json_ = std::make_unique<std::ofstream>(Path);
  if (!Out.Json_->is_open())
    Reader.fail("--json", "\"" + Path + "\" cannot be written");
}

void printProgress(Console Streams, const LoadProgress &Progress,
                   const KindStats &Overall) {
  Streams.Err_ << Progress.Elapsed_.count() << " s: sent " << Progress.Sent_
               << ", complete " << Overall.Complete_ << ", not_run "
               << totalCount(Overall.NotRun_) << ", failed "
               << totalCount(Overall.Failed_) << ", no answer "
               << totalCount(Overall.NoAnswer_) << ", in flight "
               << Progress.InFlight_ << ", longest send lag "
               << std::chrono::duration_cast<std::chrono::milliseconds>(
                      Progress.MaxSendLag_)
                      .count()
               << " ms\n";
}

} // namespace wigeonwall::ctl
