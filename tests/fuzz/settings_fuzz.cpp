/// \file
/// \brief Fuzz target for the settings parser: a text is either accepted or
/// rejected with a message and its position.
#include "wigeonwall/process/settings/settings.h"

#include <cstdlib>

using namespace wigeonwall::process;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  SettingsFault Fault;
  const auto Loaded = parseSettings(
      {reinterpret_cast<const char *>(Data), Size}, "settings.ini", Fault);
  if (!Loaded && (Fault.Message_.empty() || Fault.Position_.empty()))
    std::abort();
  return 0;
}
