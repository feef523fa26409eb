/// \file
/// \brief Messages of clients that behave like entries on an agent's links.
#ifndef WIGEONWALL_STANDINS_LINK_SCRIPTS_H
#define WIGEONWALL_STANDINS_LINK_SCRIPTS_H

#include "standins/client_crowd.h"
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <string>

namespace wigeonwall::standins {

/// \brief Returns an encoded message of a link.
inline std::string frame(const std::string &Method, const std::string &Params) {
  return connection::PeerSession().unsequencedFrame(Method, Params);
}

inline std::string hello(const std::string &Name) {
  return frame("hello",
               process::dispatch::encodeHello({Name, Name + "/client"}));
}

/// \brief Returns the first message of client number \p Client.
inline std::string helloOf(std::size_t Client) {
  return hello("client" + std::to_string(Client));
}

/// \brief Returns a script that sends \p Piece after the hello, up to \p Bytes.
inline CrowdScript afterHello(const std::string &Piece, std::size_t Bytes) {
  CrowdScript Script{"", Piece, Bytes};
  Script.HeadOf_ = helloOf;
  return Script;
}

} // namespace wigeonwall::standins

#endif
