/// \file
/// \brief Fuzz target for the agent map decoder: an accepted map must
/// round-trip through the encoder and yield consistent holders for a job.
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
  version::MapFault Fault;
  const auto Map = Value ? version::decodeMap(*Value, Fault) : std::nullopt;
  if (!Map)
    return 0;
  const Json::Value Encoded = version::encodeMap(*Map);
  const auto RoundTrip = version::decodeMap(Encoded, Fault);
  if (!RoundTrip || version::encodeMap(*RoundTrip) != Encoded)
    std::abort();
  const version::HolderPair Holders = Map->holders({"s", "j"});
  if (Holders.Home_ == nullptr && Holders.Copy_ != nullptr)
    std::abort();
  return 0;
}
