#include "wigeonwall/process/dispatch/config_relay.h"

namespace wigeonwall::process::dispatch {

using connection::HttpRequest;
using connection::HttpResponse;

namespace {

constexpr int StatusNotFound = 404;

} // namespace

ConfigRelay::ConfigRelay(connection::asio::io_context &Context,
                         connection::Endpoint Address, ConfigRelayHooks Hooks,
                         connection::HttpLimits Limits)
    : ServeOther_(std::move(Hooks.ServeOther_)),
      Relay_(Context, {"/config", "config_from_peer"},
             {std::move(Hooks.After_), std::move(Hooks.OnDocument_),
              std::move(Hooks.Log_)}),
      Server_(Context, std::move(Address), std::move(Limits),
              [this](const HttpRequest &Request,
                     const connection::HttpRespond &Respond) {
                serve(Request, Respond);
              }) {}

void ConfigRelay::serve(const HttpRequest &Request,
                        const connection::HttpRespond &Respond) const {
  if (ServeOther_(Request, Respond) || Relay_.serve(Request, Respond))
    return;
  HttpResponse Response;
  Response.Status_ = StatusNotFound;
  Respond(std::move(Response));
}

} // namespace wigeonwall::process::dispatch
