#include "wigeonwall/process/jobs/replies.h"

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::process {

request::JobAnswer negativeAnswer(request::Outcome Kind, request::Reason Why,
                                  std::string Detail) {
  request::JobAnswer Answer;
  Answer.Outcome_ = Kind;
  Answer.Reason_ = Why;
  Answer.Detail_ = std::move(Detail);
  return Answer;
}

Json::Value stateReply(const std::string &State) {
  Json::Value Reply;
  Reply["state"] = State;
  return Reply;
}

Json::Value refusedReply(request::Reason Why) {
  Json::Value Reply = stateReply("refused");
  Reply["reason"] = std::string(request::findName(request::ReasonNames, Why));
  return Reply;
}

Json::Value finalReply(const request::JobAnswer &Answer) {
  Json::Value Reply = stateReply("final");
  Reply["answer"] = request::encodeAnswer(Answer);
  return Reply;
}

Json::Value copyReply(const request::RecordCopy &Copy) {
  Json::Value Reply = stateReply(Copy.Final_ ? "final" : "active");
  Reply["home"] = encodeHome(Copy.Home_);
  if (Copy.Answer_)
    Reply["answer"] = request::encodeAnswer(*Copy.Answer_);
  return Reply;
}

} // namespace wigeonwall::process
