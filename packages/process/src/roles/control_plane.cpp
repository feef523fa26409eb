#include "wigeonwall/process/roles/control_plane.h"

#include "wigeonwall/process/membership/seed_joiner.h"

#include <algorithm>
#include <optional>

namespace wigeonwall::process {

using connection::Endpoint;
using connection::RpcCallback;
using connection::RpcClient;
using connection::RpcFault;
using connection::RpcResult;
using connection::RpcServer;
using connection::TransportError;

namespace {

constexpr const char *ProbeMethod = "membership.probe";
constexpr const char *ProbeViaMethod = "membership.probeVia";
constexpr const char *JoinMethod = "membership.join";

/// A peer gets few control messages at a time; batches wait in order.
constexpr std::size_t ConnectionsPerPeer = 4;
constexpr std::size_t AnnouncedPeers = 3;

std::optional<MembershipMessage> decodeReply(const RpcResult &Result) {
  MembershipFault Why;
  return Result.ok() ? decodeMessage(Result.Value_, Why) : std::nullopt;
}

} // namespace

struct ControlPlane::State {
  State(ControlPlaneDependencies Dependencies, ControlPlaneOptions Options)
      : Dependencies_(std::move(Dependencies)), Options_(std::move(Options)),
        Random_(Dependencies_.RandomSeed_), Timer_(Dependencies_.Context_) {}

  bool start();
  bool listen();
  void addMethods();
  void createParts();
  [[nodiscard]] MembershipHooks membershipHooks();
  [[nodiscard]] DocumentSpreaderHooks spreaderHooks();
  [[nodiscard]] MapMaintainerHooks maintainerHooks();
  void tick();
  /// Probes an address without knowing which process answers.
  void contact(const std::string &Address);
  void schedulePublish();
  void publish();
  void report(const std::string &Line) const;

  void call(const std::string &Address, const std::string &Method,
            Json::Value Params, RpcCallback Done);
  void send(const Member &To, const std::string &Method,
            MembershipMessage Message);
  void onResult(const Member &To, const RpcResult &Result);
  void onContacted(const std::string &Address, const RpcResult &Result);
  void onJoined(const std::string &Address, const RpcResult &Result);
  void onMessage(const std::string &Address, const MembershipMessage &Message);
  using Handler = MembershipMessage (Membership::*)(const MembershipMessage &);
  [[nodiscard]] Json::Value serve(const Json::Value &Params, Handler Handle);
  [[nodiscard]] Json::Value encode(MembershipMessage Message) const;

  ControlPlaneDependencies Dependencies_;
  ControlPlaneOptions Options_;
  std::mt19937_64 Random_;
  std::optional<RpcServer> Server_;
  std::optional<RpcClient> Client_;
  std::optional<Membership> Members_;
  std::optional<DocumentSpreader> Spreader_;
  std::optional<DocumentWatcher> Watcher_;
  std::optional<MapMaintainer> Maintainer_;
  std::optional<SeedJoiner> Seeds_;
  connection::asio::steady_timer Timer_;
  bool PublishScheduled_ = false;
  bool Stopped_ = false;
  ObservedEpochs ObservedEpochs_;
  /// Epoch of the view in force.
  std::uint64_t PublishedEpoch_ = 0;
  /// Unix time in ms of beginLeaving(); 0 before.
  std::int64_t StoppedAtMs_ = 0;
  AliveToken Alive_;
};

bool ControlPlane::State::start() {
  if (!listen())
    return false;
  createParts();
  publish();
  tick();
  return true;
}

bool ControlPlane::State::listen() {
  auto Address = Options_.Listen_
                     ? Options_.Listen_
                     : connection::parseEndpoint(Options_.Own_.ControlAddress_);
  if (!Address)
    return false;
  Server_.emplace(Dependencies_.Context_, *Address, connection::HttpLimits{},
                  Dependencies_.Observer_);
  addMethods();
  if (!Server_->listen())
    return false;
  Address->Port_ = Server_->port();
  if (!Options_.Listen_)
    Options_.Own_.ControlAddress_ = connection::formatEndpoint(*Address);
  connection::HttpClientLimits Limits;
  Limits.ConnectionsPerPeer_ = ConnectionsPerPeer;
  Client_.emplace(Dependencies_.Context_, Limits, Dependencies_.Observer_);
  return true;
}

void ControlPlane::State::addMethods() {
  const auto Add = [this](const char *Name, Handler Handle) {
    Server_->addMethod(Name, [this, Handle](const Json::Value &Params) {
      return serve(Params, Handle);
    });
  };
  Add(ProbeMethod, &Membership::onProbe);
  Add(ProbeViaMethod, &Membership::onProbeVia);
  Add(JoinMethod, &Membership::onJoin);
  Server_->addMethod("document.announce", [this](const Json::Value &Params) {
    return Spreader_->onAnnounce(Params);
  });
  Server_->addMethod("document.fetch", [this](const Json::Value &Params) {
    return Spreader_->onFetch(Params);
  });
}

void ControlPlane::State::createParts() {
  const request::Clock &Clock = Dependencies_.Clock_;
  Members_.emplace(Options_.Own_, Clock, std::mt19937_64(Random_()),
                   Options_.Membership_, membershipHooks());
  Spreader_.emplace(Options_.Own_.ControlAddress_, spreaderHooks());
  Watcher_.emplace(Dependencies_.Store_, Clock, Options_.WatchWait_,
                   [this](const std::string &Name, const Json::Value &Source) {
                     Spreader_->offer(Name, Source);
                   });
  Maintainer_.emplace(Dependencies_.Store_, *Members_, Clock,
                      std::mt19937_64(Random_()), Options_.Map_,
                      maintainerHooks());
  Seeds_.emplace(Options_.Seeds_,
                 SeedPeriods{Options_.JoinPeriod_, Options_.SelfJoinPeriod_,
                             Options_.SeedProbePeriod_},
                 Clock, std::mt19937_64(Random_()));
}

MembershipHooks ControlPlane::State::membershipHooks() {
  MembershipHooks Hooks;
  Hooks.SendProbe_ = [this](const Member &To) {
    send(To, ProbeMethod, Members_->messageFor(To.Id_));
  };
  Hooks.SendProbeVia_ = [this](const Member &Via, const MemberUpdate &Target) {
    MembershipMessage Message = Members_->messageFor(Via.Id_);
    Message.Target_ = Target;
    send(Via, ProbeViaMethod, std::move(Message));
  };
  Hooks.SendIndirectAck_ = [this](const Member &To,
                                  const MemberUpdate &Target) {
    MembershipMessage Message = Members_->messageFor(To.Id_);
    Message.Target_ = Target;
    send(To, ProbeMethod, std::move(Message));
  };
  Hooks.SendJoin_ = [this](const Member &To) {
    send(To, JoinMethod, Members_->joinMessage());
  };
  Hooks.Changed_ = [this] { schedulePublish(); };
  Hooks.Superseded_ = [this] {
    report("superseded by a newer incarnation of " + Options_.Own_.Id_);
    if (Dependencies_.Superseded_)
      Dependencies_.Superseded_();
  };
  return Hooks;
}

DocumentSpreaderHooks ControlPlane::State::spreaderHooks() {
  DocumentSpreaderHooks Hooks;
  Hooks.Call_ = [this](const std::string &Address, const std::string &Method,
                       Json::Value Params, RpcCallback Done) {
    call(Address, Method, std::move(Params), std::move(Done));
  };
  Hooks.Peers_ = [this] {
    std::vector<std::string> Addresses;
    for (Member &Each : Members_->randomPeers(AnnouncedPeers))
      Addresses.push_back(std::move(Each.ControlAddress_));
    return Addresses;
  };
  Hooks.DecodeConfig_ = Dependencies_.DecodeConfig_;
  Hooks.Changed_ = [this] { schedulePublish(); };
  Hooks.Report_ = [this](const std::string &Line) { report(Line); };
  return Hooks;
}

MapMaintainerHooks ControlPlane::State::maintainerHooks() {
  MapMaintainerHooks Hooks;
  Hooks.Map_ = [this] { return Spreader_->map(); };
  Hooks.Found_ = [this](const Json::Value &Source) {
    Spreader_->offer(version::MapDocument, Source);
  };
  Hooks.WallClockMs_ = Dependencies_.WallClockMs_;
  Hooks.RetentionMs_ = [this] {
    const auto &Config = Spreader_->config();
    const auto Retention = Config ? Config->Limits_.RecordRetention_
                                  : version::LimitsConfig{}.RecordRetention_;
    return std::int64_t(std::chrono::milliseconds(Retention).count());
  };
  Hooks.Contact_ = [this](const std::string &Address) { contact(Address); };
  Hooks.Report_ = [this](const std::string &Line) { report(Line); };
  return Hooks;
}

void ControlPlane::State::tick() {
  Members_->tick();
  // A superseded process has stopped following the others.
  if (!Members_->superseded()) {
    Watcher_->tick();
    Maintainer_->tick();
    if (const auto Seed = Seeds_->next(Members_->alone()))
      contact(*Seed);
  }
  Timer_.expires_after(Options_.TickPeriod_);
  Timer_.async_wait(
      Alive_.guard([this](const boost::system::error_code &Error) {
        if (!Error)
          tick();
      }));
}

void ControlPlane::State::contact(const std::string &Address) {
  if (Members_->own().State_ == MemberState::Left)
    return;
  const bool Alone = Members_->alone();
  call(Address, Alone ? JoinMethod : ProbeMethod,
       encode(Alone ? Members_->joinMessage() : Members_->messageFor("")),
       [this, Address](const RpcResult &Result) {
         onContacted(Address, Result);
       });
}

void ControlPlane::State::schedulePublish() {
  if (std::exchange(PublishScheduled_, true))
    return;
  connection::asio::post(Dependencies_.Context_,
                         Alive_.guard([this] { publish(); }));
}

void ControlPlane::State::publish() {
  PublishScheduled_ = false;
  auto View = std::make_shared<ClusterView>();
  View->Map_ = Spreader_->map();
  View->Config_ = Spreader_->config();
  View->Members_ = Members_->members();
  std::erase_if(ObservedEpochs_, [this](const auto &Each) {
    return Members_->table().find(Each.first) == nullptr;
  });
  View->ObservedEpochs_ = ObservedEpochs_;
  PublishedEpoch_ = View->Map_ ? View->Map_->Epoch_ : 0;
  Watcher_->setActive(!Stopped_ && !Members_->superseded() &&
                      isWatcher(Members_->own(), View->Members_));
  Dependencies_.Publisher_.publish(std::move(View));
}

void ControlPlane::State::report(const std::string &Line) const {
  if (Dependencies_.Report_)
    Dependencies_.Report_(Line);
}

Json::Value ControlPlane::State::encode(MembershipMessage Message) const {
  Message.Versions_ = Spreader_->versions();
  // Others conclude from the epoch that this process refuses older ones, which
  // holds for its traffic threads once the view is published.
  Message.Versions_.Map_ = std::min(Message.Versions_.Map_, PublishedEpoch_);
  return encodeMessage(Message);
}

void ControlPlane::State::call(const std::string &Address,
                               const std::string &Method, Json::Value Params,
                               RpcCallback Done) {
  if (Stopped_)
    return;
  const auto Peer = connection::parseEndpoint(Address);
  if (!Peer)
    return report("not an IP number with a port: \"" + Address + "\"");
  Client_->call(*Peer, Method, std::move(Params), Options_.CallTimeout_,
                Alive_.guard(std::move(Done)));
}

void ControlPlane::State::send(const Member &To, const std::string &Method,
                               MembershipMessage Message) {
  call(To.ControlAddress_, Method, encode(std::move(Message)),
       [this, To](const RpcResult &Result) { onResult(To, Result); });
}

void ControlPlane::State::onResult(const Member &To, const RpcResult &Result) {
  if (Result.Error_ == TransportError::NotSent)
    return Members_->onUnreachable(To.Id_);
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  Members_->onReply(*Reply);
  onMessage(To.ControlAddress_, *Reply);
}

void ControlPlane::State::onContacted(const std::string &Address,
                                      const RpcResult &Result) {
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  const Member &From = Reply->From_.Member_;
  Members_->onReply(*Reply);
  if (From.Id_ == Members_->own().Id_)
    Seeds_->reachedSelf();
  else if (!Members_->table().knows(From.Id_, From.Incarnation_))
    call(Address, JoinMethod, encode(Members_->joinMessage()),
         [this, Address](const RpcResult &Joined) {
           onJoined(Address, Joined);
         });
  onMessage(Address, *Reply);
}

void ControlPlane::State::onJoined(const std::string &Address,
                                   const RpcResult &Result) {
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  Members_->onReply(*Reply);
  onMessage(Address, *Reply);
}

void ControlPlane::State::onMessage(const std::string &Address,
                                    const MembershipMessage &Message) {
  // A balancer may lead elsewhere the next time, so documents are fetched from
  // the sender itself when its address is known.
  const MemberRecord *Sender =
      Members_->table().find(Message.From_.Member_.Id_);
  const Member &From = Message.From_.Member_;
  if (Sender != nullptr && ObservedEpochs_[From.Id_].advance(
                               From.Incarnation_, Message.Versions_.Map_,
                               Dependencies_.WallClockMs_()))
    schedulePublish();
  const std::string &Source =
      Sender != nullptr ? Sender->Update_.Member_.ControlAddress_ : Address;
  if (!Source.empty())
    Spreader_->noteVersions(Source, Message.Versions_);
}

Json::Value ControlPlane::State::serve(const Json::Value &Params,
                                       Handler Handle) {
  MembershipFault Why;
  const auto Request = decodeMessage(Params, Why);
  if (!Request)
    throw RpcFault{Why.Position_ + ": " + Why.Message_};
  Json::Value Reply = encode(((*Members_).*Handle)(*Request));
  onMessage("", *Request);
  return Reply;
}

ControlPlane::ControlPlane(ControlPlaneDependencies Dependencies,
                           ControlPlaneOptions Options)
    : State_(std::make_unique<State>(std::move(Dependencies),
                                     std::move(Options))) {}

ControlPlane::~ControlPlane() { stop(); }

bool ControlPlane::start() { return State_->start(); }

const Member &ControlPlane::own() const noexcept {
  return State_->Members_ ? State_->Members_->own() : State_->Options_.Own_;
}

void ControlPlane::beginLeaving() {
  State_->StoppedAtMs_ = State_->Dependencies_.WallClockMs_();
  State_->Members_->beginLeaving();
  // Entries wait with the jobs of this home until the map names another one.
  State_->Maintainer_->removeOwn(State_->StoppedAtMs_, [] {});
}

void ControlPlane::leave(std::function<void()> Done) {
  if (State_->StoppedAtMs_ == 0)
    State_->StoppedAtMs_ = State_->Dependencies_.WallClockMs_();
  State_->Members_->leave(State_->StoppedAtMs_);
  State_->Maintainer_->removeOwn(State_->StoppedAtMs_, std::move(Done));
}

void ControlPlane::stop() {
  State_->Stopped_ = true;
  State_->Alive_.revoke();
  State_->Timer_.cancel();
  if (State_->Watcher_)
    State_->Watcher_->setActive(false);
  State_->Server_.reset();
}

} // namespace wigeonwall::process
