/// \file
/// \brief Fuzz target for the job decoder: an accepted job must keep its
/// fingerprint when it is encoded for its home and decoded again.
#include "wigeonwall/request/codec.h"

#include <cstdlib>

using namespace wigeonwall::request;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  CodecFault Fault;
  const auto Value =
      parseJson({reinterpret_cast<const char *>(Data), Size}, Fault);
  const auto Spec = Value ? decodeJobSpec(*Value, Fault) : std::nullopt;
  if (!Spec)
    return 0;
  const auto Sent = parseJson(writeJson(encodeJobSpec(*Spec)), Fault);
  const auto Received = Sent ? decodeJobSpec(*Sent, Fault) : std::nullopt;
  if (!Received || fingerprint(*Received) != fingerprint(*Spec))
    std::abort();
  return 0;
}
