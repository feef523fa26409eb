/// \file
/// \brief MessagePack encoding of the messages between processes.
///
/// Entries decode thousands of messages per second, so fields are positional
/// and strings are not copied. Both peers must run the same build.
#ifndef WIGEONWALL_CONNECTION_MSGPACK_CODEC_H
#define WIGEONWALL_CONNECTION_MSGPACK_CODEC_H

#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <tuple>

namespace wigeonwall::connection {

namespace detail {

/// Maximum array length, string length and nesting depth of a message.
inline constexpr std::size_t MaxArrayItems = 16 * 1024;
inline constexpr std::size_t MaxStringBytes = 4 * 1024 * 1024;
inline constexpr std::size_t MaxNestingDepth = 2;
/// Messages are arrays of up to 15 fields, whose first byte has the number.
inline constexpr unsigned char ShortArray = 0x90;
inline constexpr std::size_t MaxFields = 15;

struct StringBuffer {
  std::string Text_;

  // The library requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char *Data, std::size_t Size) { Text_.append(Data, Size); }
};

/// Makes strings refer to the input instead of being copied.
inline bool referenceInput(msgpack::type::object_type /*Type*/,
                           std::size_t /*Size*/, void * /*Unused*/) {
  return true;
}

} // namespace detail

/// \brief Encodes fields as one array.
template <typename... Fields>
[[nodiscard]] std::string pack(const Fields &...Values) {
  detail::StringBuffer Buffer;
  msgpack::packer<detail::StringBuffer> Packer(Buffer);
  Packer.pack_array(sizeof...(Fields));
  (Packer.pack(Values), ...);
  return std::move(Buffer.Text_);
}

/// \brief Decodes the result of pack(); string views refer to \p Bytes.
///
/// The number of fields is checked before anything is parsed: an array of
/// arrays takes 24 times its size.
///
/// Throws msgpack::unpack_error if the bytes are not a valid message, and
/// msgpack::type_error if the number or types of the fields differ.
template <typename... Fields>
[[nodiscard]] std::tuple<Fields...> unpack(std::string_view Bytes) {
  static_assert(sizeof...(Fields) <= detail::MaxFields);
  if (Bytes.empty() || static_cast<unsigned char>(Bytes.front()) !=
                           (detail::ShortArray | sizeof...(Fields)))
    throw msgpack::type_error();
  thread_local msgpack::zone Zone;
  Zone.clear();
  std::size_t Used = 0;
  const msgpack::object Array = msgpack::unpack(
      Zone, Bytes.data(), Bytes.size(), Used, &detail::referenceInput, nullptr,
      msgpack::unpack_limit(detail::MaxArrayItems, 0, detail::MaxStringBytes,
                            detail::MaxStringBytes, 0,
                            detail::MaxNestingDepth));
  if (Used != Bytes.size() || Array.type != msgpack::type::ARRAY ||
      Array.via.array.size != sizeof...(Fields))
    throw msgpack::type_error();
  return Array.as<std::tuple<Fields...>>();
}

} // namespace wigeonwall::connection

#endif
