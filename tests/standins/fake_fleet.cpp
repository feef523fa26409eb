#include "standins/fake_fleet.h"

#include "wigeonwall/process/membership/member_table.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::standins {

using connection::Endpoint;
using connection::RpcResult;
using process::MembershipMessage;
using process::MemberTable;
using process::MemberUpdate;

namespace {

constexpr std::int64_t Incarnation = 1'790'000'000'000;
constexpr std::chrono::milliseconds CallTimeout{1'000};
/// Size of the JSON-RPC envelope of a result.
constexpr std::size_t ResultEnvelopeBytes = 40;
/// Members per /24 network of loopback addresses.
constexpr std::size_t HostsPerNet = 200;

std::string hostOf(std::size_t Index) {
  return "127.1." + std::to_string(Index / HostsPerNet) + "." +
         std::to_string(Index % HostsPerNet + 1);
}

} // namespace

FakeFleet::FakeFleet(std::size_t Size, std::size_t Domains) {
  for (std::size_t I = 0; I < Size; ++I) {
    MemberUpdate Each;
    Each.Member_ = {"f" + std::to_string(I),
                    process::Role::Agent,
                    Incarnation,
                    "",
                    hostOf(I) + ":7401",
                    "domain-" + std::to_string(I % Domains),
                    "permit-desk"};
    Members_.push_back(Each);
  }
}

FakeFleet::~FakeFleet() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

bool FakeFleet::listen() {
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    const auto Observe = [this](const std::string &, std::size_t Bytes, bool) {
      Bytes_ += Bytes;
      ++Exchanges_;
    };
    Servers_.push_back(std::make_unique<connection::RpcServer>(
        Context_, Endpoint{hostOf(I), 0}, connection::HttpLimits{}, Observe));
    addMethods(I);
    if (!Servers_.back()->listen())
      return false;
    Members_[I].Member_.ControlAddress_ =
        connection::formatEndpoint({hostOf(I), Servers_.back()->port()});
    Digest_ ^= MemberTable::hash(Members_[I]);
    Clients_.push_back(std::make_unique<connection::RpcClient>(
        Context_, connection::HttpClientLimits{}, Observe));
  }
  return true;
}

void FakeFleet::addMethods(std::size_t Index) {
  connection::RpcServer &Server = *Servers_[Index];
  for (const char *Name : {"membership.probe", "membership.probeVia"})
    Server.addMethod(Name, [this, Index](const Json::Value &Params) {
      return onMembership(Index, Params, false);
    });
  Server.addMethod("membership.join", [this, Index](const Json::Value &Params) {
    return onMembership(Index, Params, true);
  });
  Server.addMethod("document.announce", [this](const Json::Value &) {
    return reply(Json::Value(Json::objectValue));
  });
  Server.addMethod("document.fetch", [this](const Json::Value &Params) {
    Json::Value Result;
    Result["d"] =
        Params["n"].asString() == "map" ? Documents_.Map_ : Documents_.Config_;
    return reply(std::move(Result));
  });
}

MembershipMessage FakeFleet::messageOf(std::size_t Index) const {
  MembershipMessage Message;
  Message.From_ = Members_[Index].withoutDetails();
  Message.Digest_ = Digest_ ^ (Joined_ ? MemberTable::hash(*Joined_) : 0);
  Message.Versions_ = Documents_.Versions_;
  return Message;
}

Json::Value FakeFleet::reply(Json::Value Value) {
  Bytes_ += request::writeJson(Value).size() + ResultEnvelopeBytes;
  return Value;
}

Json::Value FakeFleet::onMembership(std::size_t Index,
                                    const Json::Value &Params, bool Join) {
  process::MembershipFault Why;
  const auto Request = process::decodeMessage(Params, Why);
  if (!Request)
    throw connection::RpcFault{Why.Message_};
  const bool First = Join && !Joined_;
  if (Join || (Joined_ && Request->From_.Revision_ > Joined_->Revision_))
    Joined_ = Request->From_;
  if (First) {
    probeLater(std::chrono::duration<double>(0.5), false);
    probeLater(std::chrono::duration<double>(0.1), true);
  }
  MembershipMessage Message = messageOf(Index);
  if (Join) {
    Message.From_ = Members_[Index];
    Message.List_ = Members_;
  }
  return reply(process::encodeMessage(Message));
}

void FakeFleet::probe(std::size_t Index) {
  const auto Peer = connection::parseEndpoint(Joined_->Member_.ControlAddress_);
  Clients_[Index]->call(*Peer, "membership.probe",
                        process::encodeMessage(messageOf(Index)), CallTimeout,
                        [this](const RpcResult &Result) {
                          if (!Result.ok())
                            ++Failed_;
                          else
                            (void)reply(Result.Value_);
                        });
}

void FakeFleet::probeLater(std::chrono::duration<double> Delay, bool Random) {
  auto Timer = std::make_shared<connection::asio::steady_timer>(Context_);
  Timer->expires_after(
      std::chrono::duration_cast<std::chrono::milliseconds>(Delay));
  Timer->async_wait([this, Timer, Random](auto) {
    // One fixed member has the process under test as its successor and probes
    // it every second. All members together probe it at random, once per second
    // on average.
    std::uniform_int_distribution<std::size_t> Pick(0, Members_.size() - 1);
    std::exponential_distribution<double> Gap(1);
    probe(Random ? Pick(Random_) : Members_.size() / 2);
    probeLater(std::chrono::duration<double>(Random ? Gap(Random_) : 1),
               Random);
  });
}

void FakeFleet::start() {
  Thread_ = std::thread([this] { Context_.run(); });
}

} // namespace wigeonwall::standins
