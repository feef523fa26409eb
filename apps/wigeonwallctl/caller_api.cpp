#include "wigeonwallctl/caller_api.h"

#include "wigeonwall/request/codec.h"

namespace wigeonwall::ctl {

namespace {

using request::Outcome;
using request::Reason;

CallerReply makeInvalidReply(int Status, std::string Detail,
                             bool NamesOtherJob = false) {
  CallerReply Reply;
  Reply.Kind_ = ReplyKind::Invalid;
  Reply.Status_ = Status;
  Reply.Detail_ = std::move(Detail);
  Reply.NamesOtherJob_ = NamesOtherJob;
  return Reply;
}

std::string stringField(const Json::Value &Body, const char *Name) {
  const Json::Value &Field = Body[Name];
  return Field.isString() ? Field.asString() : std::string();
}

bool statusMatchesOutcome(const request::JobAnswer &Answer, int Status) {
  switch (Answer.Outcome_) {
  case Outcome::Complete:
    return Status == 200;
  case Outcome::NotRun:
    return Status == 503;
  case Outcome::Failed:
    break;
  }
  if (Answer.Reason_ == Reason::Conflict)
    return Status == 409;
  return Status == (Answer.Reason_ == Reason::DeadlineExceeded ? 504 : 502);
}

ReplyKind replyKindOf(Outcome Value) {
  switch (Value) {
  case Outcome::Complete:
    return ReplyKind::Complete;
  case Outcome::NotRun:
    return ReplyKind::NotRun;
  case Outcome::Failed:
    break;
  }
  return ReplyKind::Failed;
}

CallerReply parseAnswer(const request::JobKey &Key, int Status,
                        Json::Value Body) {
  const bool NamesJob = Body.isMember("service") || Body.isMember("job_id");
  if (NamesJob && (stringField(Body, "service") != Key.Service_ ||
                   stringField(Body, "job_id") != Key.Id_))
    return makeInvalidReply(Status,
                            "answer belongs to job " +
                                stringField(Body, "service") + "/" +
                                stringField(Body, "job_id"),
                            true);
  Body.removeMember("service");
  Body.removeMember("job_id");
  request::CodecFault Fault;
  auto Answer = request::decodeAnswer(Body, Fault);
  if (!Answer)
    return makeInvalidReply(Status, "answer at " + Fault.Position_ + ": " +
                                        Fault.Message_);
  if (Answer->Outcome_ == Outcome::Complete && !NamesJob)
    return makeInvalidReply(Status, "complete answer does not name a job");
  if (!statusMatchesOutcome(*Answer, Status))
    return makeInvalidReply(
        Status, "outcome \"" + stringField(Body, "outcome") +
                    "\" does not match HTTP status " + std::to_string(Status));
  CallerReply Reply;
  Reply.Kind_ = replyKindOf(Answer->Outcome_);
  Reply.Status_ = Status;
  Reply.Answer_ = std::move(*Answer);
  return Reply;
}

CallerReply parseConflict(const Json::Value &Body) {
  CallerReply Reply;
  Reply.Kind_ = ReplyKind::Failed;
  Reply.Status_ = 409;
  Reply.Answer_.Outcome_ = Outcome::Failed;
  Reply.Answer_.Reason_ = Reason::Conflict;
  Reply.Answer_.Detail_ = stringField(Body, "error");
  return Reply;
}

CallerReply parseState(int Status, const Json::Value &Body) {
  CallerReply Reply;
  Reply.Status_ = Status;
  Reply.Detail_ = stringField(Body, "error");
  if (Status == 202) {
    Reply.Kind_ = ReplyKind::Running;
  } else if (Status == 404 && stringField(Body, "state") == "unknown") {
    Reply.Kind_ = ReplyKind::UnknownJob;
  } else if (Status == 429 || Status == 503) {
    Reply.Kind_ = ReplyKind::Refused;
  } else if (Status >= 400 && Status < 500) {
    Reply.Kind_ = ReplyKind::Malformed;
    if (const std::string Position = stringField(Body, "position");
        !Position.empty())
      Reply.Detail_ += " at " + Position;
  } else {
    return makeInvalidReply(Status, "HTTP status " + std::to_string(Status) +
                                        " without an outcome");
  }
  if (Reply.Detail_.empty())
    Reply.Detail_ = "HTTP status " + std::to_string(Status);
  return Reply;
}

} // namespace

connection::HttpRequest makeSubmitRequest(std::string Body,
                                          std::chrono::milliseconds Wait) {
  return {"POST",
          "/v1/jobs?wait_ms=" + std::to_string(Wait.count()),
          {{"content-type", "application/json"}},
          std::move(Body)};
}

connection::HttpRequest makeStatusRequest(const request::JobKey &Key,
                                          std::chrono::milliseconds Wait) {
  return {"GET",
          "/v1/jobs/" + Key.Service_ + "/" + Key.Id_ +
              "?wait_ms=" + std::to_string(Wait.count()),
          {},
          {}};
}

connection::HttpRequest makeCancelRequest(const request::JobKey &Key) {
  return {"DELETE", "/v1/jobs/" + Key.Service_ + "/" + Key.Id_, {}, {}};
}

CallerReply classifyReply(const request::JobKey &Key,
                          const connection::HttpResult &Result) {
  if (Result.Error_ != connection::TransportError::None) {
    CallerReply Reply;
    Reply.Detail_ = Result.Detail_;
    return Reply;
  }
  const int Status = Result.Response_.Status_;
  request::CodecFault Fault;
  auto Body = request::parseJson(Result.Response_.Body_, Fault);
  // The HTTP server rejects oversized or malformed requests with a plain-text
  // body.
  if (!Body || !Body->isObject())
    return Status >= 400
               ? parseState(Status, Json::Value(Json::objectValue))
               : makeInvalidReply(Status, "body is not a JSON object");
  if (Body->isMember("outcome"))
    return parseAnswer(Key, Status, std::move(*Body));
  return Status == 409 ? parseConflict(*Body) : parseState(Status, *Body);
}

CallerReply sendToEntries(const std::vector<connection::Endpoint> &Entries,
                          const request::JobKey &Key,
                          const connection::HttpRequest &Request,
                          std::chrono::milliseconds Timeout) {
  CallerReply LastReply;
  for (const connection::Endpoint &Entry : Entries) {
    connection::asio::io_context Context;
    connection::HttpClient Client(Context, {});
    connection::HttpResult HttpReply;
    Client.send(Entry, Request, Timeout, [&](connection::HttpResult Result) {
      HttpReply = std::move(Result);
      // Pooled idle connections would otherwise keep run() from returning.
      Context.stop();
    });
    Context.run();
    LastReply = classifyReply(Key, HttpReply);
    if (LastReply.Kind_ != ReplyKind::NoReply &&
        LastReply.Kind_ != ReplyKind::Refused)
      return LastReply;
    LastReply.Detail_ =
        "entry " + connection::formatEndpoint(Entry) + ": " + LastReply.Detail_;
  }
  return LastReply;
}

} // namespace wigeonwall::ctl
