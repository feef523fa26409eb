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
constexpr int RpcBadParameters = -32602;

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
      throw jsonrpc::JsonRpcException(RpcBadParameters, Fault.Message_);
    } catch (const Json::Exception &Error) {
      throw jsonrpc::JsonRpcException(RpcBadParameters, Error.what());
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
    Handler_->HandleRequest(Request.Body_, Response.Body_);
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
  // The handlers check their parameters themselves.
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

RpcResult decodeResponse(HttpResult Result) {
  RpcResult Answer;
  Answer.Error_ = Result.Error_;
  Answer.Detail_ = std::move(Result.Detail_);
  if (Answer.Error_ != TransportError::None)
    return Answer;
  request::CodecFault Why;
  auto Value = request::parseJson(Result.Response_.Body_, Why);
  if (!Value || !Value->isObject() || !Value->isMember("result")) {
    Answer.Refused_ = true;
    Answer.Detail_ = Value && Value->isObject()
                         ? (*Value)["error"].get("message", "").asString()
                         : Why.Message_;
    return Answer;
  }
  Answer.Value_ = std::move((*Value)["result"]);
  return Answer;
}

} // namespace

void RpcClient::call(const Endpoint &Peer, const std::string &Method,
                     Json::Value Params, std::chrono::milliseconds Timeout,
                     RpcCallback Done) {
  Json::Value Envelope;
  Envelope["jsonrpc"] = "2.0";
  Envelope["id"] = Json::UInt64(NextId_++);
  Envelope["method"] = Method;
  Envelope["params"] = std::move(Params);
  HttpRequest Request{"POST", RpcTarget, {}, request::writeJson(Envelope)};
  if (Observer_)
    Observer_(Method, Request.Body_.size(), true);
  Http_.send(Peer, std::move(Request), Timeout,
             [Done = std::move(Done)](HttpResult Result) {
               Done(decodeResponse(std::move(Result)));
             });
}

} // namespace wigeonwall::connection
