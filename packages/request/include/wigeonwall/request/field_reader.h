/// \file
/// \brief Strict reading of the fields of one JSON object.
#ifndef WIGEONWALL_REQUEST_FIELD_READER_H
#define WIGEONWALL_REQUEST_FIELD_READER_H

#include "wigeonwall/request/codec.h"

#include <set>
#include <string>

namespace wigeonwall::request {

/// \brief Reads fields with type and range checks and keeps the first error.
///
/// \code
/// FieldReader Reader(Value, "/tasks/0", Error);
/// Reader.integer("task", 0, 169, Index);
/// if (!Reader.finish()) // also fails on unknown fields
///   return std::nullopt;
/// \endcode
class FieldReader {
public:
  FieldReader(const Json::Value &Object, std::string Position,
              CodecFault &Error);

  /// \brief Reads a non-empty string of letters, digits and "-_.:".
  void identifier(const char *Name, std::size_t MaxLength, std::string &Out);
  void string(const char *Name, std::string &Out);
  void optionalString(const char *Name, std::string &Out);
  void integer(const char *Name, std::int64_t Min, std::int64_t Max,
               std::int64_t &Out);
  void optionalInteger(const char *Name, std::int64_t Min, std::int64_t Max,
                       std::int64_t &Out);
  void optionalBoolean(const char *Name, bool &Out);
  void optionalArray(const char *Name, Json::Value &Out);
  /// \brief Reads any JSON value; leaves \p Out unchanged if the field is
  /// absent.
  void any(const char *Name, Json::Value &Out);
  /// \brief Marks a field as known without reading it.
  void allow(const char *Name);

  /// \brief Reads a string that must be one of the names in \p Table.
  template <typename Enum, std::size_t N>
  void name(const char *Name, const std::array<EnumName<Enum>, N> &Table,
            Enum &Out) {
    if (std::string Text; readString(Name, true, Text))
      assignName(Name, Table, Text, Out);
  }

  template <typename Enum, std::size_t N>
  void optionalName(const char *Name,
                    const std::array<EnumName<Enum>, N> &Table, Enum &Out) {
    if (std::string Text; readString(Name, false, Text))
      assignName(Name, Table, Text, Out);
  }

  /// \brief Returns true if all reads succeeded and the object has no unknown
  /// field.
  [[nodiscard]] bool finish();

private:
  const Json::Value *find(const char *Name, bool Required);
  bool readString(const char *Name, bool Required, std::string &Out);
  void readInteger(const char *Name, bool Required, std::int64_t Min,
                   std::int64_t Max, std::int64_t &Out);
  void fail(const std::string &Name, std::string Message);

  template <typename Enum, std::size_t N>
  void assignName(const char *Name, const std::array<EnumName<Enum>, N> &Table,
                  const std::string &Text, Enum &Out) {
    if (auto Value = findValue(Table, Text))
      Out = *Value;
    else
      fail(Name, "unknown name \"" + Text + "\"");
  }

  const Json::Value &Object_;
  std::string Position_;
  CodecFault &Error_;
  std::set<std::string> Known_;
  bool Failed_ = false;
};

} // namespace wigeonwall::request

#endif
