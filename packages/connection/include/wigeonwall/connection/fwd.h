/// \file
/// \brief Forward declarations of the connection package.
#ifndef WIGEONWALL_CONNECTION_FWD_H
#define WIGEONWALL_CONNECTION_FWD_H

namespace wigeonwall::connection {

class ConsulStore;
class HttpClient;
class HttpServer;
class KeyValueStore;
class RpcClient;
class RpcServer;
struct Endpoint;
struct HttpRequest;
struct HttpResponse;

} // namespace wigeonwall::connection

#endif
