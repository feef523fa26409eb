/// \file
/// \brief Parsing and validation of command line options.
#ifndef WIGEONWALLCTL_OPTIONS_H
#define WIGEONWALLCTL_OPTIONS_H

#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/request/fault.h"

#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

using Arguments = std::map<std::string, docopt::value>;

enum class OptionError : std::uint8_t { None, BadValue };

/// Position_ is the name of the option.
using OptionFault = request::Fault<OptionError>;

/// \brief Parses a decimal number; empty if \p Text is not entirely a number.
[[nodiscard]] std::optional<double> parseNumber(const std::string &Text);

/// \brief Reads options with type and range checks and keeps the first error.
///
/// An option that is not given leaves its output unchanged.
/// \code
/// OptionReader Reader(Args, Why);
/// Reader.integer("--seed", 0, INT64_MAX, Seed);
/// if (!Reader.finish())
///   return reportBadOption(Why);
/// \endcode
class OptionReader {
public:
  OptionReader(const Arguments &Args, OptionFault &Why)
      : Args_(Args), Why_(Why) {}

  void integer(const char *Name, std::int64_t Min, std::int64_t Max,
               std::int64_t &Out);
  void milliseconds(const char *Name, std::int64_t Min, std::int64_t Max,
                    std::chrono::milliseconds &Out);
  void number(const char *Name, double Min, double Max, double &Out);
  void string(const char *Name, std::string &Out);
  /// \brief Reads an identifier in the character set of the API, which needs no
  /// escaping in a URL path.
  void identifier(const char *Name, std::string &Out);
  void strings(const char *Name, std::vector<std::string> &Out);
  /// \brief Reads a repeatable IP:PORT option; defaults to the address in
  /// `examples/entry.ini`.
  void entries(const char *Name, std::vector<connection::Endpoint> &Out);
  /// \brief Reads a repeatable IP:PORT option; defaults to \p Default.
  void endpoints(const char *Name, const char *Default,
                 std::vector<connection::Endpoint> &Out);
  [[nodiscard]] bool flag(const char *Name) const;
  [[nodiscard]] bool given(const char *Name) const;
  void fail(const char *Name, std::string Message);
  [[nodiscard]] bool finish() const noexcept { return !Failed_; }

private:
  [[nodiscard]] const docopt::value *find(const char *Name) const;

  const Arguments &Args_;
  OptionFault &Why_;
  bool Failed_ = false;
};

} // namespace wigeonwall::ctl

#endif
