/// \file
/// \brief Client of the key-value service over the Consul HTTP API.
#ifndef WIGEONWALL_CONNECTION_CONSUL_STORE_H
#define WIGEONWALL_CONNECTION_CONSUL_STORE_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/key_value_store.h"

#include <memory>
#include <vector>

namespace wigeonwall::connection {

struct ConsulTimeouts {
  /// Time from the call to the last byte of the reply; a watch adds its wait
  /// time.
  std::chrono::milliseconds RequestTimeout_{1'000};
  /// Delay before a blocking query that returned early without a change is
  /// repeated. Limits the request rate if the service ignores the index.
  std::chrono::milliseconds WatchRetryDelay_{100};
};

/// \brief Reads, watches and writes keys through `/v1/kv/`.
///
/// A call goes to the endpoint that answered last. If nothing could be sent,
/// the call tries the next endpoint; each endpoint is tried once per call. An
/// error after the request was sent ends the call, and later calls start with
/// the next endpoint. Replies map to errors as follows:
///
/// | reply                                     | error               |
/// |-------------------------------------------|---------------------|
/// | no endpoint could be reached              | StoreError::NotSent |
/// | timeout, closed connection, 5xx           | StoreError::Unknown |
/// | 200 with a body that the API doesn't have | StoreError::Unknown |
/// | any other status                          | StoreError::Refused |
///
/// A value over MaxStoreValueBytes is refused without a call. Callbacks of
/// calls in flight still run after the destruction of the store.
/// \code
/// ConsulStore Store(Context, {{"127.0.0.1", 8500}}, {}, [] { ++Calls; });
/// Store.read("wigeonwall/config", [](auto Entry, StoreFault Fault) { ... });
/// \endcode
class ConsulStore : public KeyValueStore {
public:
  /// Called once per HTTP request; the rate limit of the service counts these.
  using CallObserver = std::function<void()>;

  ConsulStore(asio::io_context &Context, std::vector<Endpoint> Endpoints,
              ConsulTimeouts Timeouts, CallObserver OnCall);
  ~ConsulStore() override;
  ConsulStore(const ConsulStore &) = delete;
  ConsulStore &operator=(const ConsulStore &) = delete;

  void read(const std::string &Key, ReadCallback Done) override;
  void watch(const std::string &Key, std::uint64_t Index,
             std::chrono::milliseconds Wait, ReadCallback Done) override;
  void compareAndSwap(const std::string &Key, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace wigeonwall::connection

#endif
