/// \file
/// \brief Builders of replies and answers shared by the job components.
#ifndef WIGEONWALL_PROCESS_JOBS_REPLIES_H
#define WIGEONWALL_PROCESS_JOBS_REPLIES_H

#include "wigeonwall/request/record_copies.h"
#include "wigeonwall/request/types.h"

#include <string>

namespace wigeonwall::process {

/// \brief Returns an answer without results.
[[nodiscard]] request::JobAnswer
negativeAnswer(request::Outcome Kind, request::Reason Why, std::string Detail);

/// \brief `{"state": STATE}`.
[[nodiscard]] Json::Value stateReply(const std::string &State);
/// \brief `{"state": "refused", "reason": REASON}`.
[[nodiscard]] Json::Value refusedReply(request::Reason Why);
/// \brief `{"state": "final", "answer": {...}}`.
[[nodiscard]] Json::Value finalReply(const request::JobAnswer &Answer);
/// \brief State, home and answer of a record copy in the format of the reply to
/// `record.seal`.
[[nodiscard]] Json::Value copyReply(const request::RecordCopy &Copy);

} // namespace wigeonwall::process

#endif
