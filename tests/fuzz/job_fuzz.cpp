/// \file
/// \brief Fuzz target of the job decoder: a job that is accepted must keep its
/// fingerprint when it is encoded for its home.
#include "wigeonwall/request/codec.h"

#include <cstdlib>

using namespace wigeonwall::request;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  CodecFault Why;
  const auto Value =
      parseJson({reinterpret_cast<const char *>(Data), Size}, Why);
  const auto Spec = Value ? decodeJobSpec(*Value, Why) : std::nullopt;
  if (!Spec)
    return 0;
  const auto Sent = parseJson(writeJson(encodeJobSpec(*Spec)), Why);
  const auto Received = Sent ? decodeJobSpec(*Sent, Why) : std::nullopt;
  if (!Received || fingerprint(*Received) != fingerprint(*Spec))
    std::abort();
  return 0;
}
