/// \file
/// \brief MessagePack codec of the messages between processes.
///
/// Entries read thousands of these messages a second, so fields have places
/// instead of names and strings are not copied. Both ends are of one build.
#ifndef WIGEONWALL_CONNECTION_MSGPACK_CODEC_H
#define WIGEONWALL_CONNECTION_MSGPACK_CODEC_H

#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <tuple>

namespace wigeonwall::connection {

namespace detail {

/// Largest array, string and depth that a message may have.
inline constexpr std::size_t MaxPackedItems = 16 * 1024;
inline constexpr std::size_t MaxPackedBytes = 4 * 1024 * 1024;
inline constexpr std::size_t MaxPackedDepth = 8;

struct StringBuffer {
  std::string Text_;

  // The name is given by the library.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char *Data, std::size_t Size) { Text_.append(Data, Size); }
};

/// Strings refer to the input instead of being copied.
inline bool refersToInput(msgpack::type::object_type /*Type*/,
                          std::size_t /*Size*/, void * /*Unused*/) {
  return true;
}

} // namespace detail

/// \brief Writes fields as one array.
template <typename... Fields>
[[nodiscard]] std::string pack(const Fields &...Values) {
  detail::StringBuffer Buffer;
  msgpack::packer<detail::StringBuffer> Packer(Buffer);
  Packer.pack_array(sizeof...(Fields));
  (Packer.pack(Values), ...);
  return std::move(Buffer.Text_);
}

/// \brief Reads what pack() has written; views refer to \p Bytes.
///
/// Throws msgpack::unpack_error for bytes that are no message, and
/// msgpack::type_error for another number or type of fields.
template <typename... Fields>
[[nodiscard]] std::tuple<Fields...> unpack(std::string_view Bytes) {
  thread_local msgpack::zone Zone;
  Zone.clear();
  std::size_t Used = 0;
  const msgpack::object Array = msgpack::unpack(
      Zone, Bytes.data(), Bytes.size(), Used, &detail::refersToInput, nullptr,
      msgpack::unpack_limit(detail::MaxPackedItems, 0, detail::MaxPackedBytes,
                            detail::MaxPackedBytes, 0, detail::MaxPackedDepth));
  if (Used != Bytes.size() || Array.type != msgpack::type::ARRAY ||
      Array.via.array.size != sizeof...(Fields))
    throw msgpack::type_error();
  return Array.as<std::tuple<Fields...>>();
}

} // namespace wigeonwall::connection

#endif
