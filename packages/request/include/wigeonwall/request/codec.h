/// \file
/// \brief JSON form of jobs, answers and task results.
///
/// Decoding is strict: an unknown field, a wrong type or a value out of range
/// is one fault with the JSON pointer of the field.
#ifndef WIGEONWALL_REQUEST_CODEC_H
#define WIGEONWALL_REQUEST_CODEC_H

#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwall::request {

/// \brief Errors of decoding.
enum class CodecError : std::uint8_t { None, Syntax, Field };

using CodecFault = Fault<CodecError>;

/// \brief Parses JSON text; the fault carries line and column, or the byte
/// where a character is no Unicode.
[[nodiscard]] std::optional<Json::Value> parseJson(std::string_view Text,
                                                   CodecFault &Why);

/// \brief Writes JSON without white space.
[[nodiscard]] std::string writeJson(const Json::Value &Value);

/// \brief Decodes a job from the body of a submission.
[[nodiscard]] std::optional<JobSpec> decodeJobSpec(const Json::Value &Value,
                                                   CodecFault &Why);

/// \brief Encodes a job in the form that decodeJobSpec() reads.
[[nodiscard]] Json::Value encodeJobSpec(const JobSpec &Spec);

/// \brief Hash of everything that identifies the content of a job.
///
/// A resubmission must have the same value; it differs when any field differs.
[[nodiscard]] std::uint64_t fingerprint(const JobSpec &Spec);

[[nodiscard]] Json::Value encodeAnswer(const JobAnswer &Answer);
[[nodiscard]] std::optional<JobAnswer> decodeAnswer(const Json::Value &Value,
                                                    CodecFault &Why);

[[nodiscard]] Json::Value encodeTaskResult(const TaskResult &Result);
[[nodiscard]] std::optional<TaskResult>
decodeTaskResult(const Json::Value &Value, CodecFault &Why);

[[nodiscard]] Json::Value encodeLoad(const AgentLoad &Load);
[[nodiscard]] std::optional<AgentLoad> decodeLoad(const Json::Value &Value,
                                                  CodecFault &Why);

} // namespace wigeonwall::request

#endif
