#include "wigeonwall/process/dispatch/evacuation_monitor.h"

#include "../settings/ini_values.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <limits>

namespace wigeonwall::process::dispatch {

using request::EvacuationState;

namespace {

/// Time that a call on a silent connection takes in addition to its wait: the
/// store client gives up 1.2 s after the wait, the call is repeated 0.25 s
/// later, and the rest is for the repeated call and its effect.
constexpr std::chrono::milliseconds SilentCallTime{2'000};
constexpr std::chrono::milliseconds MaxWatchWait{2'000};
/// Limits the number of calls to the store for a low bound.
constexpr std::chrono::milliseconds MinWatchWait{300};

/// Returns true if a process may have \p Name as failure domain.
bool isDomainName(const std::string &Name) {
  std::string Ignored;
  return detail::readName(Name, Ignored).empty();
}

std::string encodeState(const EvacuationState &State) {
  Json::Value Value(Json::objectValue);
  Value["revision"] = Json::UInt64(State.Revision_);
  Value["domains"] = Json::Value(Json::arrayValue);
  for (const std::string &Domain : State.Domains_)
    Value["domains"].append(Domain);
  return request::writeJson(Value);
}

/// Throws Json::Exception if the document is malformed.
EvacuationState decodeState(const std::string &Document) {
  request::CodecFault Fault;
  const auto Value = request::parseJson(Document, Fault);
  if (!Value)
    throw Json::LogicError(Fault.Message_);
  if (!Value->isObject() || !(*Value)["revision"].isInt64() ||
      !(*Value)["domains"].isArray())
    throw Json::LogicError("revision or domains is missing");
  EvacuationState State;
  State.Revision_ = (*Value)["revision"].asUInt64();
  for (const Json::Value &Each : (*Value)["domains"]) {
    if (!Each.isString() || !isDomainName(Each.asString()))
      throw Json::LogicError("a domain has no valid name");
    State.Domains_.insert(Each.asString());
  }
  return State;
}

} // namespace

std::chrono::milliseconds evacuationWatchWait(std::chrono::milliseconds Bound) {
  return std::clamp(Bound - SilentCallTime, MinWatchWait, MaxWatchWait);
}

void EvacuationMonitor::onStoreValues(const PrefixFollower::Values &Values,
                                      std::uint64_t Revision) {
  EvacuationState Next;
  Next.Revision_ = Revision;
  for (const auto &[Key, Ignored] : Values) {
    std::string Domain =
        Key.starts_with(KeyPrefix_) ? Key.substr(KeyPrefix_.size()) : "";
    if (isDomainName(Domain))
      Next.Domains_.insert(std::move(Domain));
    else
      Hooks_.Log_("evacuation_ignored", "", "detail=\"invalid name\"");
  }
  apply(std::move(Next), "store");
}

void EvacuationMonitor::onStoreLost() {
  if (!Published_)
    publish();
}

void EvacuationMonitor::onPeerDocument(const std::string &Document) {
  EvacuationState Next;
  try {
    Next = decodeState(Document);
  } catch (const Json::Exception &Error) {
    return Hooks_.Log_("evacuation_ignored", "",
                       std::string("detail=\"") + Error.what() + "\"");
  }
  if (Next.Revision_ > Evacuations_.state().Revision_)
    apply(std::move(Next), "peer");
}

void EvacuationMonitor::apply(EvacuationState Next, const std::string &Source) {
  const std::uint64_t Revision = Next.Revision_;
  const bool Newer = Revision > Evacuations_.state().Revision_;
  const auto Change = Evacuations_.apply(std::move(Next));
  if (!Change)
    return Hooks_.Log_("evacuation_ignored", "",
                       "detail=\"older than the known state\" source=" +
                           Source + " revision=" + std::to_string(Revision));
  const std::string Detail =
      "source=" + Source + " revision=" + std::to_string(Revision);
  for (const std::string &Domain : Change->Began_)
    Hooks_.Log_("evacuation_began", Domain, Detail);
  for (const std::string &Domain : Change->Ended_)
    Hooks_.Log_("evacuation_ended", Domain, Detail);
  // The revision of a peer's document was read as a signed number; the store
  // has none beyond that range either.
  if (Revision <= std::numeric_limits<std::int64_t>::max())
    Hooks_.OnDocument_(static_cast<std::int64_t>(Revision),
                       encodeState(Evacuations_.state()));
  if (!Published_ || Newer || !Change->Began_.empty() ||
      !Change->Ended_.empty())
    publish();
}

void EvacuationMonitor::publish() {
  Published_ = true;
  Hooks_.OnDomains_(Evacuations_.state().Domains_,
                    encodeState(Evacuations_.state()));
}

} // namespace wigeonwall::process::dispatch
