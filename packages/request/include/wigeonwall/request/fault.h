/// \file
/// \brief The last reason of a function that returns an empty optional.
#ifndef WIGEONWALL_REQUEST_FAULT_H
#define WIGEONWALL_REQUEST_FAULT_H

#include <string>

namespace wigeonwall::request {

/// \brief Why a call returned no value.
///
/// Each layer instantiates it with its own `enum class`.
/// \code
/// Fault<CodecError> Why;
/// if (auto Spec = decodeJobSpec(Value, Why))
///   use(*Spec);
/// else
///   report(Why.Position_, Why.Message_);
/// \endcode
template <typename Code> struct Fault {
  Code Code_{};
  /// One sentence for a person.
  std::string Message_;
  /// JSON pointer of the offending field, or "file:line", or empty.
  std::string Position_;
};

} // namespace wigeonwall::request

#endif
