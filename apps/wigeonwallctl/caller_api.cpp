#include "wigeonwallctl/caller_api.h"

#include "wigeonwall/request/codec.h"

namespace wigeonwall::ctl {

namespace {

using request::Outcome;
using request::Reason;

CallerReply invalid(int Status, std::string Detail,
                    bool NamesOtherJob = false) {
  CallerReply Reply;
  Reply.Kind_ = ReplyKind::Invalid;
  Reply.Status_ = Status;
  Reply.Detail_ = std::move(Detail);
  Reply.NamesOtherJob_ = NamesOtherJob;
  return Reply;
}

std::string textOf(const Json::Value &Body, const char *Name) {
  const Json::Value &Field = Body[Name];
  return Field.isString() ? Field.asString() : std::string();
}

bool statusFits(const request::JobAnswer &Answer, int Status) {
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

ReplyKind kindOf(Outcome Value) {
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

CallerReply readAnswer(const request::JobKey &Key, int Status,
                       Json::Value Body) {
  const bool Named = Body.isMember("service") || Body.isMember("job_id");
  if (Named && (textOf(Body, "service") != Key.Service_ ||
                textOf(Body, "job_id") != Key.Id_))
    return invalid(Status,
                   "answer belongs to job " + textOf(Body, "service") + "/" +
                       textOf(Body, "job_id"),
                   true);
  Body.removeMember("service");
  Body.removeMember("job_id");
  request::CodecFault Why;
  auto Answer = request::decodeAnswer(Body, Why);
  if (!Answer)
    return invalid(Status, "answer at " + Why.Position_ + ": " + Why.Message_);
  if (Answer->Outcome_ == Outcome::Complete && !Named)
    return invalid(Status, "complete answer names no job");
  if (!statusFits(*Answer, Status))
    return invalid(Status, "outcome \"" + textOf(Body, "outcome") +
                               "\" does not fit HTTP status " +
                               std::to_string(Status));
  CallerReply Reply;
  Reply.Kind_ = kindOf(Answer->Outcome_);
  Reply.Status_ = Status;
  Reply.Answer_ = std::move(*Answer);
  return Reply;
}

CallerReply readConflict(const Json::Value &Body) {
  CallerReply Reply;
  Reply.Kind_ = ReplyKind::Failed;
  Reply.Status_ = 409;
  Reply.Answer_.Outcome_ = Outcome::Failed;
  Reply.Answer_.Reason_ = Reason::Conflict;
  Reply.Answer_.Detail_ = textOf(Body, "error");
  return Reply;
}

CallerReply readState(int Status, const Json::Value &Body) {
  CallerReply Reply;
  Reply.Status_ = Status;
  Reply.Detail_ = textOf(Body, "error");
  if (Status == 202) {
    Reply.Kind_ = ReplyKind::Running;
  } else if (Status == 404 && textOf(Body, "state") == "unknown") {
    Reply.Kind_ = ReplyKind::UnknownJob;
  } else if (Status == 429 || Status == 503) {
    Reply.Kind_ = ReplyKind::Refused;
  } else if (Status >= 400 && Status < 500) {
    Reply.Kind_ = ReplyKind::Malformed;
    if (const std::string At = textOf(Body, "position"); !At.empty())
      Reply.Detail_ += " at " + At;
  } else {
    return invalid(Status, "HTTP status " + std::to_string(Status) +
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
  request::CodecFault Why;
  auto Body = request::parseJson(Result.Response_.Body_, Why);
  // The HTTP layer refuses oversized or malformed requests in plain text.
  if (!Body || !Body->isObject())
    return Status >= 400 ? readState(Status, Json::Value(Json::objectValue))
                         : invalid(Status, "body is not a JSON object");
  if (Body->isMember("outcome"))
    return readAnswer(Key, Status, std::move(*Body));
  return Status == 409 ? readConflict(*Body) : readState(Status, *Body);
}

CallerReply sendToEntries(const std::vector<connection::Endpoint> &Entries,
                          const request::JobKey &Key,
                          const connection::HttpRequest &Request,
                          std::chrono::milliseconds Timeout) {
  CallerReply Last;
  for (const connection::Endpoint &Entry : Entries) {
    connection::asio::io_context Context;
    connection::HttpClient Client(Context, {});
    connection::HttpResult Received;
    Client.send(Entry, Request, Timeout, [&](connection::HttpResult Result) {
      Received = std::move(Result);
      // Idle connections would keep the context running.
      Context.stop();
    });
    Context.run();
    Last = classifyReply(Key, Received);
    if (Last.Kind_ != ReplyKind::NoReply && Last.Kind_ != ReplyKind::Refused)
      return Last;
    Last.Detail_ =
        "entry " + connection::formatEndpoint(Entry) + ": " + Last.Detail_;
  }
  return Last;
}

} // namespace wigeonwall::ctl
