#include "wigeonwallctl/admin_client.h"

#include "wigeonwallctl/answer_output.h"

namespace wigeonwall::ctl {

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{5'000};
/// As in `examples/agent.ini`.
constexpr const char *DefaultAdmin = "127.0.0.1:7203";

} // namespace

connection::HttpResult exchange(const connection::Endpoint &Peer,
                                connection::HttpRequest Request,
                                std::chrono::milliseconds Timeout) {
  connection::asio::io_context Context;
  connection::HttpClient Client(Context, {});
  connection::HttpResult Received;
  Client.send(Peer, std::move(Request), Timeout,
              [&](connection::HttpResult Result) {
                Received = std::move(Result);
                // Idle connections would keep the context running.
                Context.stop();
              });
  Context.run();
  return Received;
}

std::optional<connection::HttpResponse>
callAdmin(const Arguments &Args, Console Streams, const char *Method,
          const char *Target, int &Code) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  std::string Text = DefaultAdmin;
  Reader.string("--admin", Text);
  const auto Address = connection::parseEndpoint(Text);
  if (!Address || Address->Port_ == 0)
    Reader.fail("--admin", "expected IP:PORT, got \"" + Text + "\"");
  if (!Reader.finish()) {
    Code = reportBadOption(Streams, Why);
    return std::nullopt;
  }
  connection::HttpResult Result =
      exchange(*Address, {Method, Target, {}, {}}, ReplyTimeout);
  if (Result.Error_ != connection::TransportError::None) {
    reportError(Streams, "no reply from " + Text + ": " + Result.Detail_,
                "check that the process runs and that --admin is its "
                "admin_listen address");
    Code = ExitNoAnswer;
    return std::nullopt;
  }
  if (Result.Response_.Status_ < 200 || Result.Response_.Status_ > 299) {
    reportError(Streams,
                Text + " answered " + std::to_string(Result.Response_.Status_),
                "--admin may name another port of the process; use its "
                "admin_listen address");
    Code = ExitFailed;
    return std::nullopt;
  }
  return std::move(Result.Response_);
}

} // namespace wigeonwall::ctl
