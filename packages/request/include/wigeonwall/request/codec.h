/// \file
/// \brief JSON encoding of jobs, answers and task results.
///
/// Decoding is strict: an unknown field, a wrong type or a value out of range
/// is an error that carries the JSON pointer of the field.
#ifndef WIGEONWALL_REQUEST_CODEC_H
#define WIGEONWALL_REQUEST_CODEC_H

#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwall::request {

/// \brief Error codes of decoding.
enum class CodecError : std::uint8_t { None, Syntax, Field };

using CodecFault = Fault<CodecError>;

/// \brief Parses JSON text. The error message contains the line and column, or
/// the byte offset of an invalid Unicode character.
[[nodiscard]] std::optional<Json::Value> parseJson(std::string_view Text,
                                                   CodecFault &Error);

/// \brief Parses JSON text from a client that is not trusted; refuses a text
/// with more than \p MaxValues values and member names before it is parsed.
[[nodiscard]] std::optional<Json::Value> parseLimitedJson(std::string_view Text,
                                                          std::size_t MaxValues,
                                                          CodecFault &Error);

/// \brief Serializes JSON without white space.
[[nodiscard]] std::string writeJson(const Json::Value &Value);

/// \brief Decodes a job from the body of a submission.
[[nodiscard]] std::optional<JobSpec> decodeJobSpec(const Json::Value &Value,
                                                   CodecFault &Error);

/// \brief Encodes a job in the format that decodeJobSpec() reads.
[[nodiscard]] Json::Value encodeJobSpec(const JobSpec &Spec);

/// \brief Hash of the content of a job.
///
/// A resubmission must have the same fingerprint as the original. Any changed
/// field changes it.
[[nodiscard]] std::uint64_t fingerprint(const JobSpec &Spec);

[[nodiscard]] Json::Value encodeAnswer(const JobAnswer &Answer);
[[nodiscard]] std::optional<JobAnswer> decodeAnswer(const Json::Value &Value,
                                                    CodecFault &Error);

[[nodiscard]] Json::Value encodeTaskResult(const TaskResult &Result);
[[nodiscard]] std::optional<TaskResult>
decodeTaskResult(const Json::Value &Value, CodecFault &Error);

[[nodiscard]] Json::Value encodeLoad(const AgentLoad &Load);
[[nodiscard]] std::optional<AgentLoad> decodeLoad(const Json::Value &Value,
                                                  CodecFault &Error);

} // namespace wigeonwall::request

#endif
