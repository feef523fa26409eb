/// \file
/// \brief Fuzz target for the configuration decoders: a document is either
/// accepted or has faults, and an accepted one must round-trip.
#include "wigeonwall/version/config_codec.h"

#include <cstdlib>

using namespace wigeonwall::version;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  std::vector<ConfigFault> Faults;
  const auto Document = parseConfig(Text, Faults);
  if (Document.has_value() != Faults.empty())
    std::abort();
  if (Document) {
    const Json::Value Encoded = encodeConfig(*Document);
    const auto RoundTrip = decodeConfig(Encoded, Faults);
    if (!RoundTrip || encodeConfig(*RoundTrip) != Encoded)
      std::abort();
  }
  Faults.clear();
  const auto Stored = parseStoredConfig(Text, Faults);
  if (Stored.has_value() != Faults.empty())
    std::abort();
  return 0;
}
