/// \file
/// \brief Fuzz target of the map decoder: a map that is accepted must survive
/// encoding and give holders for any job.
#include "wigeonwall/request/codec.h"
#include "wigeonwall/version/agent_map.h"

#include <cstdlib>

using namespace wigeonwall;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  request::CodecFault Syntax;
  const auto Value =
      request::parseJson({reinterpret_cast<const char *>(Data), Size}, Syntax);
  version::MapFault Why;
  const auto Map = Value ? version::decodeMap(*Value, Why) : std::nullopt;
  if (!Map)
    return 0;
  const Json::Value Encoded = version::encodeMap(*Map);
  const auto Again = version::decodeMap(Encoded, Why);
  if (!Again || version::encodeMap(*Again) != Encoded)
    std::abort();
  const version::HolderPair Pair = Map->holders({"s", "j"});
  if (Pair.Home_ == nullptr && Pair.Copy_ != nullptr)
    std::abort();
  return 0;
}
