/// \file
/// \brief Public header of the connection package.
#ifndef WIGEONWALL_CONNECTION_H
#define WIGEONWALL_CONNECTION_H

// IWYU pragma: begin_exports
#include "wigeonwall/connection/base64.h"
#include "wigeonwall/connection/consul_store.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/fwd.h"
#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_message.h"
#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/connection/key_value_store.h"
#include "wigeonwall/connection/rpc.h"
// IWYU pragma: end_exports

#endif
