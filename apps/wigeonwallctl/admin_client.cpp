#include "wigeonwallctl/admin_client.h"

#include "wigeonwallctl/answer_output.h"

namespace wigeonwall::ctl {

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{5'000};
/// Matches admin_listen in `examples/agent.ini`.
constexpr const char *DefaultAdmin = "127.0.0.1:7203";

} // namespace

connection::HttpResult sendRequest(const connection::Endpoint &Peer,
                                   connection::HttpRequest Request,
                                   std::chrono::milliseconds Timeout) {
  connection::asio::io_context Context;
  connection::HttpClient Client(Context, {});
  connection::HttpResult Reply;
  Client.send(Peer, std::move(Request), Timeout,
              [&](connection::HttpResult Result) {
                Reply = std::move(Result);
                // Pooled idle connections would otherwise keep run() from
                // returning.
                Context.stop();
              });
  Context.run();
  return Reply;
}

std::optional<connection::HttpResponse>
sendAdminRequest(const Arguments &Args, Console Streams, const char *Method,
                 const char *Target, int &Code) {
  OptionFault Fault;
  OptionReader Reader(Args, Fault);
  std::string AddressText = DefaultAdmin;
  Reader.string("--admin", AddressText);
  const auto Address = connection::parseEndpoint(AddressText);
  if (!Address || Address->Port_ == 0)
    Reader.fail("--admin", "expected IP:PORT, got \"" + AddressText + "\"");
  if (!Reader.finish()) {
    Code = reportBadOption(Streams, Fault);
    return std::nullopt;
  }
  connection::HttpResult Result =
      sendRequest(*Address, {Method, Target, {}, {}}, ReplyTimeout);
  if (Result.Error_ != connection::TransportError::None) {
    reportError(Streams, "no reply from " + AddressText + ": " + Result.Detail_,
                "check that the process runs and that --admin is its "
                "admin_listen address");
    Code = ExitNoAnswer;
    return std::nullopt;
  }
  if (Result.Response_.Status_ < 200 || Result.Response_.Status_ > 299) {
    reportError(Streams,
                AddressText + " replied with HTTP status " +
                    std::to_string(Result.Response_.Status_),
                "--admin may name a different port of the process; use its "
                "admin_listen address");
    Code = ExitFailed;
    return std::nullopt;
  }
  return std::move(Result.Response_);
}

} // namespace wigeonwall::ctl
