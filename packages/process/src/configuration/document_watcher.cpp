#include "wigeonwall/process/configuration/document_watcher.h"

#include "wigeonwall/request/codec.h"
#include "wigeonwall/version/versioned_document.h"

#include <algorithm>

namespace wigeonwall::process {

using connection::StoreEntry;
using connection::StoreFault;

namespace {

/// Delay after a failed query; limits 10 watchers with 2 queries each to
/// 20 calls/s during an outage.
constexpr request::Duration RetryInterval = std::chrono::seconds(1);

} // namespace

bool isWatcher(const Member &Own, const std::vector<Member> &Members) {
  if (Own.State_ != MemberState::Alive)
    return false;
  return std::none_of(Members.begin(), Members.end(), [&](const Member &Peer) {
    if (Peer.Id_ == Own.Id_ || Peer.FailureDomain_ != Own.FailureDomain_ ||
        Peer.State_ != MemberState::Alive)
      return false;
    return Peer.Role_ == Own.Role_ ? Peer.Id_ < Own.Id_
                                   : Peer.Role_ == Role::Agent;
  });
}

DocumentWatcher::DocumentWatcher(connection::KeyValueStore &Store,
                                 request::Clock Clock,
                                 std::chrono::milliseconds MaxWait,
                                 DocumentHandler OnDocument)
    : Store_(Store), Clock_(std::move(Clock)), MaxWait_(MaxWait),
      OnDocument_(std::move(OnDocument)),
      Queries_{Query{ConfigKey, version::ConfigDocumentName},
               Query{MapKey, version::MapDocumentName}} {}

void DocumentWatcher::tick() {
  if (!Active_)
    return;
  for (Query &Watch : Queries_)
    if (!Watch.InFlight_ && Clock_() >= Watch.NextStart_)
      start(Watch);
}

void DocumentWatcher::start(Query &Watch) {
  Watch.InFlight_ = true;
  Watch.StartedAt_ = Clock_();
  Store_.watch(
      Watch.Key_, Watch.Index_, MaxWait_,
      Lifetime_.guard(
          [this, &Watch](const std::optional<StoreEntry> &Entry,
                         const StoreFault &) { finish(Watch, Entry); }));
}

void DocumentWatcher::finish(Query &Watch,
                             const std::optional<StoreEntry> &Entry) {
  Watch.InFlight_ = false;
  if (!Entry) {
    Watch.NextStart_ = Clock_() + RetryInterval;
    return;
  }
  // A service that returns at once without a change must not be polled in a
  // busy loop.
  if (Watch.Index_ == Entry->Index_)
    Watch.NextStart_ = Watch.StartedAt_ + RetryInterval;
  Watch.Index_ = Entry->Index_;
  if (Entry->Index_ == 0)
    return;
  request::CodecFault Fault;
  // An unparsable value is passed on as null, which the receiver reports.
  OnDocument_(Watch.Name_, request::parseJson(Entry->Value_, Fault)
                               .value_or(Json::Value(Json::nullValue)));
}

} // namespace wigeonwall::process
