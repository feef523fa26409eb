/// \file
/// \brief Fuzz target for the decoders of task results, answers and loads:
/// accepted values must round-trip.
#include "wigeonwall/request/codec.h"

#include <cstdlib>

using namespace wigeonwall::request;

namespace {

template <typename Decode, typename Encode>
void checkRoundTrip(const Json::Value &Value, Decode DecodeValue,
                    Encode EncodeValue) {
  CodecFault Fault;
  const auto Decoded = DecodeValue(Value, Fault);
  if (!Decoded)
    return;
  const std::string Text = writeJson(EncodeValue(*Decoded));
  const auto Parsed = parseJson(Text, Fault);
  const auto RoundTrip = Parsed ? DecodeValue(*Parsed, Fault) : std::nullopt;
  if (!RoundTrip || writeJson(EncodeValue(*RoundTrip)) != Text)
    std::abort();
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  CodecFault Fault;
  const auto Value =
      parseJson({reinterpret_cast<const char *>(Data), Size}, Fault);
  if (!Value)
    return 0;
  checkRoundTrip(*Value, decodeTaskResult, encodeTaskResult);
  checkRoundTrip(*Value, decodeAnswer, encodeAnswer);
  checkRoundTrip(*Value, decodeLoad, encodeLoad);
  return 0;
}
