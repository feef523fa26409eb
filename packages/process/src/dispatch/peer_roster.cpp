#include "wigeonwall/process/dispatch/peer_roster.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using connection::Endpoint;

void PeerRoster::setRegistered(std::vector<Endpoint> Peers) {
  if (Registered_)
    for (const Endpoint &Each : *Registered_)
      Retained_.emplace(Each, Now_());
  for (const Endpoint &Each : Peers)
    Retained_.erase(Each);
  Registered_ = std::move(Peers);
  while (Retained_.size() > Options_.MaxRetained_)
    Retained_.erase(std::min_element(
        Retained_.begin(), Retained_.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

std::vector<Endpoint> PeerRoster::peers() {
  std::vector<Endpoint> Result = retained();
  if (Registered_)
    Result.insert(Result.end(), Registered_->begin(), Registered_->end());
  return Result;
}

std::vector<Endpoint> PeerRoster::retained() {
  removeExpired();
  std::vector<Endpoint> Result;
  for (const auto &[Peer, LastAnswer] : Retained_)
    Result.push_back(Peer);
  return Result;
}

bool PeerRoster::isRegistered(const Endpoint &Peer) const {
  return Registered_ && std::find(Registered_->begin(), Registered_->end(),
                                  Peer) != Registered_->end();
}

void PeerRoster::onAnswer(const Endpoint &Peer) {
  if (const auto Found = Retained_.find(Peer); Found != Retained_.end())
    Found->second = Now_();
}

void PeerRoster::onRefused(const Endpoint &Peer) { Retained_.erase(Peer); }

void PeerRoster::removeExpired() {
  std::erase_if(Retained_, [this, Now = Now_()](const auto &Each) {
    return Now - Each.second > Options_.Retention_;
  });
}

} // namespace wigeonwall::process::dispatch
