/// \file
/// \brief Writes the configuration document to the key-value service.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_CONFIG_WRITER_H
#define WIGEONWALL_PROCESS_CONFIGURATION_CONFIG_WRITER_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/key_value_store.h"
#include "wigeonwall/process/configuration/store_keys.h"

#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/version/config_codec.h"
#include "wigeonwall/version/config_difference.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief Result of an edit.
enum class ConfigWriteOutcome : std::uint8_t {
  /// The edit took effect; later edits may have followed it.
  Applied,
  /// Another version is current; the edit did not and will not take effect.
  Conflict,
  /// The document or the edit id is invalid; nothing was written.
  Invalid,
  /// The stored value cannot be decoded; nothing was written.
  StoredInvalid,
  /// The service could not be reached; nothing was written.
  Unavailable,
  /// The service refused the call; nothing was written.
  Refused,
  /// A write was sent, but whether it took or will take effect could not be
  /// determined. The same edit id may be applied again.
  Unknown,
};

inline constexpr std::array<request::EnumName<ConfigWriteOutcome>, 7>
    ConfigWriteOutcomeNames{{
        {ConfigWriteOutcome::Applied, "applied"},
        {ConfigWriteOutcome::Conflict, "conflict"},
        {ConfigWriteOutcome::Invalid, "invalid"},
        {ConfigWriteOutcome::StoredInvalid, "stored_invalid"},
        {ConfigWriteOutcome::Unavailable, "unavailable"},
        {ConfigWriteOutcome::Refused, "refused"},
        {ConfigWriteOutcome::Unknown, "unknown"},
    }};

struct ConfigWriteResult {
  ConfigWriteOutcome Outcome_ = ConfigWriteOutcome::Unknown;
  /// Applied: the version that the edit created. Conflict: the current version,
  /// 0 if there is none.
  std::uint64_t Version_ = 0;
  /// Conflict: what the edit would change in the current version.
  std::vector<version::ConfigChange> Difference_{};
  /// Invalid and StoredInvalid: the validation errors.
  std::vector<version::ConfigFault> Faults_{};
  /// Last error reported by the service, if any.
  std::string Message_{};
};

/// \brief Retry limits of one edit.
struct ConfigWriterLimits {
  /// Number of failed or inconclusive calls after which an edit gives up.
  unsigned MaxAttempts_ = 8;
  /// Doubles with each such call up to MaxBackoff_. With the defaults an edit
  /// waits 7.1 s in total, which covers a restart of the service.
  std::chrono::milliseconds InitialBackoff_{100};
  std::chrono::milliseconds MaxBackoff_{2'000};
};

/// \brief Applies edits by compare-and-swap and determines whether a write
/// whose reply was lost took effect.
///
/// The stored value lists the last version::MaxRecentEdits edit ids. After a
/// lost reply the writer reads the value back. If its id is in the list, the
/// edit was applied; if the index is unchanged, the same write is repeated; any
/// other value is a conflict, unless so many edits followed that the id may
/// have been evicted from the list.
///
/// An edit id identifies one document; the caller chooses a new one for each
/// edit. An id that is already in the list is reported as applied.
/// \code
/// ConfigWriter Writer(Store, asioDelay(Context), {});
/// Writer.apply(Document, 7, "e-20a1", [](ConfigWriteResult Result) { ... });
/// \endcode
class ConfigWriter {
public:
  using Callback = std::function<void(ConfigWriteResult)>;
  /// Calls the function once after the given time.
  using Delay =
      std::function<void(std::chrono::milliseconds, std::function<void()>)>;

  /// \p Store must outlive all edits in progress.
  ConfigWriter(connection::KeyValueStore &Store, Delay Wait,
               ConfigWriterLimits Limits);

  /// \brief Writes \p Document as the next version; \p Done is called once.
  ///
  /// \p Expected is the version that the edit was based on, 0 for no document.
  /// Without it the edit replaces the version it reads, whichever that is. The
  /// version and edit id in \p Document are ignored.
  void apply(version::Config Document, std::optional<std::uint64_t> Expected,
             std::string EditId, Callback Done);

private:
  connection::KeyValueStore &Store_;
  Delay Delay_;
  ConfigWriterLimits Limits_;
};

/// \brief Implements ConfigWriter::Delay with timers of \p Context.
[[nodiscard]] ConfigWriter::Delay
asioDelay(connection::asio::io_context &Context);

} // namespace wigeonwall::process

#endif
