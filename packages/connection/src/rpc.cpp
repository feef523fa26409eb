#include "wigeonwall/connection/rpc.h"

#include "wigeonwall/request/codec.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace wigeonwall::connection {

namespace {

constexpr const char *RpcTarget = "/rpc";
constexpr int InvalidParamsCode = -32602;
constexpr int InternalErrorCode = -32603;
constexpr int ParseErrorCode = -32700;

std::string encodeParseError(const std::string &Message) {
  Json::Value Reply;
  Reply["jsonrpc"] = "2.0";
  Reply["id"] = Json::Value();
  Reply["error"]["code"] = ParseErrorCode;
  Reply["error"]["message"] = Message;
  return request::writeJson(Reply);
}

} // namespace

struct RpcServer::State : jsonrpc::IProcedureInvokationHandler {
  explicit State(RpcObserver Observer)
      : Handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)),
        Observer_(std::move(Observer)) {}

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    const std::string &Name = Procedure.GetProcedureName();
    if (Observer_)
      Observer_(Name, RequestBytes_, false);
    try {
      Output = Methods_.at(Name)(Input);
    } catch (const RpcFault &Fault) {
      throw jsonrpc::JsonRpcException(InvalidParamsCode, Fault.Message_);
    } catch (const Json::Exception &Error) {
      throw jsonrpc::JsonRpcException(InvalidParamsCode, Error.what());
    } catch (const std::exception &Error) {
      throw jsonrpc::JsonRpcException(InternalErrorCode, Error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

  void serve(HttpRequest Request, const HttpRespond &Respond) {
    HttpResponse Response;
    if (Request.Method_ != "POST" || Request.Target_ != RpcTarget) {
      Response.Status_ = 404;
      return Respond(std::move(Response));
    }
    RequestBytes_ = Request.Body_.size();
    try {
      Handler_->HandleRequest(Request.Body_, Response.Body_);
    } catch (const std::exception &Error) {
      // JsonCpp exceptions for too deeply nested text pass through
      // libjsonrpccpp.
      Response.Body_ = encodeParseError(Error.what());
    }
    Respond(std::move(Response));
  }

  std::unique_ptr<jsonrpc::IProtocolHandler> Handler_;
  RpcObserver Observer_;
  std::map<std::string, RpcHandler> Methods_;
  std::size_t RequestBytes_ = 0;
  std::unique_ptr<HttpServer> Http_;
};

RpcServer::RpcServer(asio::io_context &Context, Endpoint Address,
                     HttpLimits Limits, RpcObserver Observer)
    : State_(std::make_shared<State>(std::move(Observer))) {
  State_->Http_ = std::make_unique<HttpServer>(
      Context, std::move(Address), Limits,
      [Weak = std::weak_ptr<State>(State_)](HttpRequest Request,
                                            const HttpRespond &Respond) {
        if (const auto Self = Weak.lock())
          Self->serve(std::move(Request), Respond);
      });
}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &Name, RpcHandler Handler) {
  State_->Methods_[Name] = std::move(Handler);
  // No parameter schema: the handlers check their parameters.
  jsonrpc::Procedure Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                               jsonrpc::JSON_OBJECT, nullptr);
  State_->Handler_->AddProcedure(Procedure);
}

bool RpcServer::listen() { return State_->Http_->listen(); }

std::uint16_t RpcServer::port() const noexcept { return State_->Http_->port(); }

void RpcServer::stopAccepting() { State_->Http_->stopAccepting(); }

RpcClient::RpcClient(asio::io_context &Context, HttpClientLimits Limits,
                     RpcObserver Observer)
    : Http_(Context, Limits), Observer_(std::move(Observer)) {}

namespace {

/// Returns the message of the JSON-RPC error, if the response has one.
std::optional<std::string> findErrorMessage(const Json::Value &Value) {
  if (!Value.isObject() || !Value.isMember("error"))
    return std::nullopt;
  const Json::Value &Error = Value["error"];
  if (Error.isObject() && Error["message"].isString())
    return Error["message"].asString();
  return "error without a message";
}

RpcResult decodeResponse(HttpResult Result, std::uint64_t Id) {
  RpcResult Outcome;
  Outcome.Error_ = Result.Error_;
  Outcome.Detail_ = std::move(Result.Detail_);
  if (Outcome.Error_ != TransportError::None)
    return Outcome;
  request::CodecFault ParseFault;
  auto Value = request::parseJson(Result.Response_.Body_, ParseFault)
                   .value_or(Json::Value());
  if (auto Error = findErrorMessage(Value)) {
    Outcome.Refused_ = true;
    Outcome.Detail_ = std::move(*Error);
    return Outcome;
  }
  // The peer has received the call and may have executed it.
  if (!Value.isObject() || !Value.isMember("result") ||
      !Value["id"].isUInt64() || Value["id"].asUInt64() != Id) {
    Outcome.Error_ = TransportError::Ambiguous;
    Outcome.Detail_ = ParseFault.Message_.empty()
                          ? "response without result or with "
                            "another id"
                          : ParseFault.Message_;
    return Outcome;
  }
  Outcome.Value_ = std::move(Value["result"]);
  return Outcome;
}

} // namespace

void RpcClient::call(const Endpoint &Peer, const std::string &Method,
                     Json::Value Params, std::chrono::milliseconds Timeout,
                     RpcCallback Done) {
  Json::Value Call;
  Call["jsonrpc"] = "2.0";
  const std::uint64_t Id = NextId_++;
  Call["id"] = Json::UInt64(Id);
  Call["method"] = Method;
  Call["params"] = std::move(Params);
  HttpRequest Request{"POST", RpcTarget, {}, request::writeJson(Call)};
  if (Observer_)
    Observer_(Method, Request.Body_.size(), true);
  Http_.send(Peer, std::move(Request), Timeout,
             [Done = std::move(Done), Id](HttpResult Result) {
               Done(decodeResponse(std::move(Result), Id));
             });
}

} // namespace wigeonwall::connection
