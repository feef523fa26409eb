/// \file
/// \brief Watches the key-value service for new documents.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_WATCHER_H
#define WIGEONWALL_PROCESS_CONFIGURATION_DOCUMENT_WATCHER_H

#include "wigeonwall/connection/key_value_store.h"
#include "wigeonwall/process/configuration/store_keys.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/runtime/lifetime_token.h"
#include "wigeonwall/request/clock.h"

#include <json/json.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief True if \p Own watches the key-value service for its failure domain:
/// it has the lowest id of the alive agents there, or of the alive entries if
/// there is no alive agent.
[[nodiscard]] bool isWatcher(const Member &Own,
                             const std::vector<Member> &Members);

/// \brief Keeps one blocking query per document open while this process is the
/// watcher of its failure domain.
class DocumentWatcher {
public:
  /// Receives a document that has been read.
  using DocumentHandler =
      std::function<void(const std::string &Name, const Json::Value &Source)>;

  DocumentWatcher(connection::KeyValueStore &Store, request::Clock Clock,
                  std::chrono::milliseconds MaxWait,
                  DocumentHandler OnDocument);

  void setActive(bool Active) noexcept { Active_ = Active; }
  /// \brief Starts the queries that are due. Call about every 100 ms.
  void tick();

private:
  struct Query {
    const char *Key_;
    const char *Name_;
    std::uint64_t Index_ = 0;
    bool InFlight_ = false;
    request::TimePoint StartedAt_{};
    request::TimePoint NextStart_{};
  };

  void start(Query &Watch);
  void finish(Query &Watch, const std::optional<connection::StoreEntry> &Entry);

  connection::KeyValueStore &Store_;
  request::Clock Clock_;
  std::chrono::milliseconds MaxWait_;
  DocumentHandler OnDocument_;
  bool Active_ = false;
  std::array<Query, 2> Queries_;
  LifetimeToken Lifetime_;
};

} // namespace wigeonwall::process

#endif
