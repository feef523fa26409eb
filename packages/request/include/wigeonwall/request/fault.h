/// \file
/// \brief Error details of functions that return an empty optional.
#ifndef WIGEONWALL_REQUEST_FAULT_H
#define WIGEONWALL_REQUEST_FAULT_H

#include <string>

namespace wigeonwall::request {

/// \brief Why a call returned no value.
///
/// Each module instantiates it with its own enumeration of error codes.
/// \code
/// Fault<CodecError> Error;
/// if (auto Spec = decodeJobSpec(Value, Error))
///   use(*Spec);
/// else
///   report(Error.Position_, Error.Message_);
/// \endcode
template <typename Code> struct Fault {
  Code Code_{};
  /// Human-readable message of one sentence.
  std::string Message_;
  /// JSON pointer of the invalid field, or "file:line", or empty.
  std::string Position_;
};

} // namespace wigeonwall::request

#endif
