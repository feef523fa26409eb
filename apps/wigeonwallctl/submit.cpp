#include "wigeonwallctl/answer_output.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>

namespace wigeonwall::ctl {

const char SubmitUsage[] =
    R"(Submits one job, waits for its answer and prints it.

Usage:
  wigeonwallctl submit [options] [--entry ADDR]... --file FILE
  wigeonwallctl submit [options] [--entry ADDR]... --service NAME --kind NAME --team NAME (--payload JSON)...
  wigeonwallctl submit --help

Options:
  --entry ADDR      Entry as IP:PORT; repeat it to give fallbacks, tried
                    in order (default 127.0.0.1:7100).
  --file FILE       Job as JSON, as in docs/caller-api.md; job_id and
                    created_at_ms are filled in when missing.
  --service NAME    Service of the job.
  --kind NAME       Kind of the job.
  --team NAME       Team whose quota counts.
  --payload JSON    Payload of one task; repeat it for several tasks.
  --job-id ID       Job id (default: a new one).
  --created-at-ms N  Unix time of the first submission (default: now).
  --timeout-ms N    Latest useful answer after acceptance [default: 10000].
  --non-idempotent  The job must run at most once.
  --wait-ms N       Longest wait for the answer at one entry; a second entry is
                    tried when the first does not reply (default: timeout
                    and 1 s).
  --json            Print the answer as JSON.
  -h --help         Print this text.

Exit codes:
  0 complete, 1 failed answer, 2 usage or bad input, 3 not_run, 4 no answer
)";

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t MaxTimeoutMs = 600'000;
constexpr milliseconds AnswerMargin{1'000};
/// Upper bound of wait_ms per request, so that a stalled entry is abandoned in
/// favor of the next one.
constexpr milliseconds MaxRequestWait{30'000};
/// Time allowed for the reply to arrive after wait_ms has passed.
constexpr milliseconds TransportMargin{2'000};
constexpr milliseconds RetryDelay{100};

std::int64_t nowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string newJobId() {
  std::random_device Source;
  std::ostringstream Text;
  Text << "ctl-" << nowMs() << "-" << std::hex << Source() << Source();
  return Text.str();
}

bool readJobFile(const std::string &Path, OptionReader &Reader,
                 Json::Value &Job) {
  std::ifstream Input(Path);
  std::ostringstream Text;
  if (!Input || !(Text << Input.rdbuf())) {
    Reader.fail("--file", "\"" + Path + "\" cannot be read or is empty");
    return false;
  }
  request::CodecFault Fault;
  const auto Value = request::parseJson(Text.str(), Fault);
  if (!Value || !Value->isObject()) {
    Reader.fail("--file", Value ? "expected a JSON object" : Fault.Message_);
    return false;
  }
  Job = *Value;
  return true;
}

void readJobOptions(OptionReader &Reader, Json::Value &Job) {
  for (const char *Name : {"service", "kind", "team"}) {
    std::string Value;
    Reader.string((std::string("--") + Name).c_str(), Value);
    Job[Name] = Value;
  }
  std::int64_t Timeout = 0;
  Reader.integer("--timeout-ms", 1, MaxTimeoutMs, Timeout);
  Job["timeout_ms"] = Json::Int64(Timeout);
  if (Reader.flag("--non-idempotent"))
    Job["non_idempotent"] = true;
  std::vector<std::string> Payloads;
  Reader.strings("--payload", Payloads);
  for (const std::string &Text : Payloads) {
    request::CodecFault Fault;
    const auto Payload = request::parseJson(Text, Fault);
    if (!Payload)
      return Reader.fail("--payload", Fault.Message_);
    Job["tasks"].append(Json::Value())["payload"] = *Payload;
  }
}

std::optional<request::JobSpec> readJob(OptionReader &Reader) {
  Json::Value Job(Json::objectValue);
  std::string File;
  Reader.string("--file", File);
  if (File.empty())
    readJobOptions(Reader, Job);
  else if (!readJobFile(File, Reader, Job))
    return std::nullopt;
  std::string Id = Job.isMember("job_id") ? "" : newJobId();
  Reader.string("--job-id", Id);
  if (!Id.empty())
    Job["job_id"] = Id;
  std::int64_t CreatedAtMs = Job.isMember("created_at_ms") ? 0 : nowMs();
  Reader.integer("--created-at-ms", 1, INT64_MAX, CreatedAtMs);
  if (CreatedAtMs != 0)
    Job["created_at_ms"] = Json::Int64(CreatedAtMs);
  request::CodecFault Fault;
  auto Spec = request::decodeJobSpec(Job, Fault);
  if (!Spec)
    Reader.fail(File.empty() ? "job" : "--file",
                Fault.Position_ + ": " + Fault.Message_);
  return Spec;
}

/// Submits until there is a final answer or \p Wait has passed, starting each
/// attempt at the next entry. Every attempt sends the same content, so that the
/// service treats it as a resubmission of the same job.
CallerReply submitWithRetries(const request::JobSpec &Spec, milliseconds Wait,
                              std::vector<connection::Endpoint> Entries) {
  const auto Deadline = std::chrono::steady_clock::now() + Wait;
  const std::string Body = request::writeJson(request::encodeJobSpec(Spec));
  while (true) {
    const auto Remaining =
        std::max(std::chrono::ceil<milliseconds>(
                     Deadline - std::chrono::steady_clock::now()),
                 milliseconds(0));
    const milliseconds RequestWait = std::min(Remaining, MaxRequestWait);
    CallerReply Reply =
        sendToEntries(Entries, Spec.Key_, makeSubmitRequest(Body, RequestWait),
                      RequestWait + TransportMargin);
    if (isFinal(Reply.Kind_) || Reply.Kind_ == ReplyKind::Malformed ||
        Reply.Kind_ == ReplyKind::Invalid ||
        std::chrono::steady_clock::now() + RetryDelay >= Deadline)
      return Reply;
    std::rotate(Entries.begin(), Entries.begin() + 1, Entries.end());
    connection::asio::io_context Context;
    connection::asio::steady_timer(Context, RetryDelay).wait();
  }
}

} // namespace

int runSubmit(const Arguments &Args, Console Streams) {
  OptionFault Fault;
  OptionReader Reader(Args, Fault);
  std::vector<connection::Endpoint> Entries;
  Reader.entries("--entry", Entries);
  const auto Spec = readJob(Reader);
  milliseconds Wait = Spec ? Spec->Timeout_ + AnswerMargin : AnswerMargin;
  Reader.milliseconds("--wait-ms", 0, MaxTimeoutMs, Wait);
  if (!Reader.finish() || !Spec)
    return reportBadOption(Streams, Fault);
  return printReply(Streams, Reader.flag("--json"), Spec->Key_,
                    submitWithRetries(*Spec, Wait, std::move(Entries)));
}

} // namespace wigeonwall::ctl
