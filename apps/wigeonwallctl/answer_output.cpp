#include "wigeonwallctl/answer_output.h"

#include "wigeonwall/request/codec.h"

namespace wigeonwall::ctl {

namespace {

std::string replyKindName(ReplyKind Kind) {
  return std::string(request::findName(ReplyKindNames, Kind));
}

void printTable(std::ostream &Out, const request::JobKey &Key,
                const CallerReply &Reply) {
  Out << "job      " << Key.Service_ << "/" << Key.Id_ << "\n"
      << (isFinal(Reply.Kind_) ? "outcome  " : "state    ")
      << replyKindName(Reply.Kind_) << "\n";
  const request::JobAnswer &Answer = Reply.Answer_;
  if (Reply.Kind_ == ReplyKind::NotRun || Reply.Kind_ == ReplyKind::Failed)
    Out << "reason   "
        << request::findName(request::ReasonNames, Answer.Reason_)
        << "\ndetail   " << Answer.Detail_ << "\n";
  if (Reply.Kind_ != ReplyKind::Complete)
    return;
  Out << "results  " << Answer.Results_.size() << "\n";
  for (std::size_t I = 0; I < Answer.Results_.size(); ++I)
    Out << "  " << I << "  " << request::writeJson(Answer.Results_[I]) << "\n";
}

void printJson(std::ostream &Out, const request::JobKey &Key,
               const CallerReply &Reply) {
  Json::Value Value(Json::objectValue);
  if (isFinal(Reply.Kind_)) {
    Value = request::encodeAnswer(Reply.Answer_);
  } else {
    Value["state"] = replyKindName(Reply.Kind_);
    Value["error"] = Reply.Detail_;
  }
  Value["service"] = Key.Service_;
  Value["job_id"] = Key.Id_;
  Out << request::writeJson(Value) << "\n";
}

const char *nextStep(ReplyKind Kind) {
  switch (Kind) {
  case ReplyKind::NotRun:
    return "no task started; submit again under a new job id";
  case ReplyKind::Failed:
    return "tasks may have run; check their effects before submitting again";
  case ReplyKind::Running:
    return "query the job again with \"wigeonwallctl status\"";
  case ReplyKind::UnknownJob:
    return "check the service and job id; records are kept for 600 s";
  case ReplyKind::Malformed:
    return "correct the request; see docs/caller-api.md";
  case ReplyKind::Invalid:
    return "the entry violated the API; run \"status\" with another --entry";
  default:
    return "resubmit the job with the same id, time and content, or use "
           "another "
           "--entry";
  }
}

} // namespace

int exitCodeOf(ReplyKind Kind) noexcept {
  switch (Kind) {
  case ReplyKind::Complete:
    return ExitComplete;
  case ReplyKind::Failed:
    return ExitFailed;
  case ReplyKind::Malformed:
    return ExitUsage;
  case ReplyKind::NotRun:
    return ExitNotRun;
  default:
    return ExitNoAnswer;
  }
}

void printAnswer(Console Streams, bool AsJson, const request::JobKey &Key,
                 const CallerReply &Reply) {
  if (AsJson)
    printJson(Streams.Out_, Key, Reply);
  else
    printTable(Streams.Out_, Key, Reply);
}

int printReply(Console Streams, bool AsJson, const request::JobKey &Key,
               const CallerReply &Reply) {
  printAnswer(Streams, AsJson, Key, Reply);
  if (Reply.Kind_ == ReplyKind::Complete)
    return ExitComplete;
  std::string Message =
      "job " + Key.Service_ + "/" + Key.Id_ + ": " + replyKindName(Reply.Kind_);
  if (!Reply.Detail_.empty())
    Message += ": " + Reply.Detail_;
  reportError(Streams, Message, nextStep(Reply.Kind_));
  return exitCodeOf(Reply.Kind_);
}

int reportBadOption(Console Streams, const OptionFault &Fault) {
  reportError(Streams, Fault.Position_ + ": " + Fault.Message_,
              "correct the option; \"--help\" lists the allowed values");
  return ExitUsage;
}

} // namespace wigeonwall::ctl
