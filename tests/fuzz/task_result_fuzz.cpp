/// \file
/// \brief Fuzz target of the decoders of task results, answers and loads: what
/// is accepted must survive encoding.
#include "wigeonwall/request/codec.h"

#include <cstdlib>

using namespace wigeonwall::request;

namespace {

template <typename Decode, typename Encode>
void checkRoundTrip(const Json::Value &Value, Decode From, Encode To) {
  CodecFault Why;
  const auto Decoded = From(Value, Why);
  if (!Decoded)
    return;
  const std::string Text = writeJson(To(*Decoded));
  const auto Parsed = parseJson(Text, Why);
  const auto Again = Parsed ? From(*Parsed, Why) : std::nullopt;
  if (!Again || writeJson(To(*Again)) != Text)
    std::abort();
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  CodecFault Why;
  const auto Value =
      parseJson({reinterpret_cast<const char *>(Data), Size}, Why);
  if (!Value)
    return 0;
  checkRoundTrip(*Value, decodeTaskResult, encodeTaskResult);
  checkRoundTrip(*Value, decodeAnswer, encodeAnswer);
  checkRoundTrip(*Value, decodeLoad, encodeLoad);
  return 0;
}
