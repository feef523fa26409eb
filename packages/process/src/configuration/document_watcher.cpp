#include "wigeonwall/process/configuration/document_watcher.h"

#include "wigeonwall/request/codec.h"
#include "wigeonwall/version/versioned_document.h"

#include <algorithm>

namespace wigeonwall::process {

using connection::StoreEntry;
using connection::StoreFault;

namespace {

/// After a failed query; keeps 10 watchers under 20 calls/s in an outage.
constexpr request::Duration RetryTime = std::chrono::seconds(1);

} // namespace

bool isWatcher(const Member &Own, const std::vector<Member> &Members) {
  if (Own.State_ != MemberState::Alive)
    return false;
  return std::none_of(Members.begin(), Members.end(), [&](const Member &Each) {
    if (Each.Id_ == Own.Id_ || Each.FailureDomain_ != Own.FailureDomain_ ||
        Each.State_ != MemberState::Alive)
      return false;
    return Each.Role_ == Own.Role_ ? Each.Id_ < Own.Id_
                                   : Each.Role_ == Role::Agent;
  });
}

DocumentWatcher::DocumentWatcher(connection::KeyValueStore &Store,
                                 request::Clock Clock,
                                 std::chrono::milliseconds Wait, Offer Found)
    : Store_(Store), Clock_(std::move(Clock)), Wait_(Wait),
      Found_(std::move(Found)), Queries_{
                                    Query{ConfigKey,
                                          version::ConfigDocumentName},
                                    Query{MapKey, version::MapDocumentName}} {}

void DocumentWatcher::tick() {
  if (!Active_)
    return;
  for (Query &Each : Queries_)
    if (!Each.Waiting_ && Clock_() >= Each.Next_)
      start(Each);
}

void DocumentWatcher::start(Query &Each) {
  Each.Waiting_ = true;
  Each.Started_ = Clock_();
  Store_.watch(
      Each.Key_, Each.Index_, Wait_,
      Alive_.guard([this, &Each](const std::optional<StoreEntry> &Entry,
                                 const StoreFault &) { finish(Each, Entry); }));
}

void DocumentWatcher::finish(Query &Each,
                             const std::optional<StoreEntry> &Entry) {
  Each.Waiting_ = false;
  if (!Entry) {
    Each.Next_ = Clock_() + RetryTime;
    return;
  }
  // A service that answers at once without news must not be asked in a loop.
  if (Each.Index_ == Entry->Index_)
    Each.Next_ = Each.Started_ + RetryTime;
  Each.Index_ = Entry->Index_;
  if (Entry->Index_ == 0)
    return;
  request::CodecFault Why;
  // An unreadable value is offered as null, which the receiver reports.
  Found_(Each.Name_, request::parseJson(Entry->Value_, Why)
                         .value_or(Json::Value(Json::nullValue)));
}

} // namespace wigeonwall::process
