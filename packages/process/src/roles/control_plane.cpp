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

/// A peer receives few concurrent control messages; further ones are queued.
constexpr std::size_t ConnectionsPerPeer = 4;
constexpr std::size_t AnnouncementFanout = 3;

std::optional<MembershipMessage> decodeReply(const RpcResult &Result) {
  MembershipFault Fault;
  return Result.ok() ? decodeMessage(Result.Value_, Fault) : std::nullopt;
}

} // namespace

struct ControlPlane::State {
  State(ControlPlaneDependencies Dependencies, ControlPlaneOptions Options)
      : Dependencies_(std::move(Dependencies)), Options_(std::move(Options)),
        Random_(Dependencies_.RandomSeed_), Timer_(Dependencies_.Context_) {}

  bool start();
  bool listen();
  void addMethods();
  void createComponents();
  [[nodiscard]] MembershipHooks membershipHooks();
  [[nodiscard]] DocumentReplicatorHooks replicatorHooks();
  [[nodiscard]] MapMaintainerHooks maintainerHooks();
  void tick();
  /// Probes an address without knowing which process answers there; joins if no
  /// other process is known.
  void probeAddress(const std::string &Address);
  void schedulePublish();
  void publish();
  void report(const std::string &Line) const;

  void call(const std::string &Address, const std::string &Method,
            Json::Value Params, RpcCallback Done);
  void send(const Member &To, const std::string &Method,
            MembershipMessage Message);
  void onMemberReply(const Member &To, const RpcResult &Result);
  void onAddressReply(const std::string &Address, const RpcResult &Result);
  void onJoinReply(const std::string &Address, const RpcResult &Result);
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
  std::optional<DocumentReplicator> Replicator_;
  std::optional<DocumentWatcher> Watcher_;
  std::optional<MapMaintainer> Maintainer_;
  std::optional<SeedJoiner> SeedJoiner_;
  connection::asio::steady_timer Timer_;
  bool PublishScheduled_ = false;
  bool Stopped_ = false;
  ObservedEpochs ObservedEpochs_;
  /// Map epoch of the last published view.
  std::uint64_t PublishedEpoch_ = 0;
  /// Unix time in ms of beginLeaving(); 0 before.
  std::int64_t StoppedAtMs_ = 0;
  LifetimeToken Lifetime_;
};

bool ControlPlane::State::start() {
  if (!listen())
    return false;
  createComponents();
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
  const auto AddMethod = [this](const char *Name, Handler Handle) {
    Server_->addMethod(Name, [this, Handle](const Json::Value &Params) {
      return serve(Params, Handle);
    });
  };
  AddMethod(ProbeMethod, &Membership::onProbe);
  AddMethod(ProbeViaMethod, &Membership::onProbeVia);
  AddMethod(JoinMethod, &Membership::onJoin);
  Server_->addMethod("document.announce", [this](const Json::Value &Params) {
    return Replicator_->onAnnounce(Params);
  });
  Server_->addMethod("document.fetch", [this](const Json::Value &Params) {
    return Replicator_->onFetch(Params);
  });
}

void ControlPlane::State::createComponents() {
  const request::Clock &Clock = Dependencies_.Clock_;
  Members_.emplace(Options_.Own_, Clock, std::mt19937_64(Random_()),
                   Options_.Membership_, membershipHooks());
  Replicator_.emplace(Options_.Own_.ControlAddress_, replicatorHooks());
  Watcher_.emplace(Dependencies_.Store_, Clock, Options_.WatchWait_,
                   [this](const std::string &Name, const Json::Value &Source) {
                     Replicator_->offer(Name, Source);
                   });
  Maintainer_.emplace(Dependencies_.Store_, *Members_, Clock,
                      std::mt19937_64(Random_()), Options_.Map_,
                      maintainerHooks());
  SeedJoiner_.emplace(Options_.Seeds_,
                      SeedPeriods{Options_.JoinPeriod_,
                                  Options_.SelfJoinPeriod_,
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

DocumentReplicatorHooks ControlPlane::State::replicatorHooks() {
  DocumentReplicatorHooks Hooks;
  Hooks.Call_ = [this](const std::string &Address, const std::string &Method,
                       Json::Value Params, RpcCallback Done) {
    call(Address, Method, std::move(Params), std::move(Done));
  };
  Hooks.RandomPeers_ = [this] {
    std::vector<std::string> Addresses;
    for (Member &Peer : Members_->randomPeers(AnnouncementFanout))
      Addresses.push_back(std::move(Peer.ControlAddress_));
    return Addresses;
  };
  Hooks.DecodeConfig_ = Dependencies_.DecodeConfig_;
  Hooks.Changed_ = [this] { schedulePublish(); };
  Hooks.Report_ = [this](const std::string &Line) { report(Line); };
  return Hooks;
}

MapMaintainerHooks ControlPlane::State::maintainerHooks() {
  MapMaintainerHooks Hooks;
  Hooks.Map_ = [this] { return Replicator_->map(); };
  Hooks.OnMap_ = [this](const Json::Value &Source) {
    Replicator_->offer(version::MapDocumentName, Source);
  };
  Hooks.WallClockMs_ = Dependencies_.WallClockMs_;
  Hooks.RetentionMs_ = [this] {
    const auto &Config = Replicator_->config();
    const auto Retention = Config ? Config->Limits_.RecordRetention_
                                  : version::LimitsConfig{}.RecordRetention_;
    return std::int64_t(std::chrono::milliseconds(Retention).count());
  };
  Hooks.Contact_ = [this](const std::string &Address) {
    probeAddress(Address);
  };
  Hooks.Report_ = [this](const std::string &Line) { report(Line); };
  return Hooks;
}

void ControlPlane::State::tick() {
  Members_->tick();
  // A superseded process no longer follows the cluster.
  if (!Members_->superseded()) {
    Watcher_->tick();
    Maintainer_->tick();
    if (const auto Seed = SeedJoiner_->next(Members_->alone()))
      probeAddress(*Seed);
  }
  Timer_.expires_after(Options_.TickPeriod_);
  Timer_.async_wait(
      Lifetime_.guard([this](const boost::system::error_code &Error) {
        if (!Error)
          tick();
      }));
}

void ControlPlane::State::probeAddress(const std::string &Address) {
  if (Members_->own().State_ == MemberState::Left)
    return;
  const bool Alone = Members_->alone();
  call(Address, Alone ? JoinMethod : ProbeMethod,
       encode(Alone ? Members_->joinMessage() : Members_->messageFor("")),
       [this, Address](const RpcResult &Result) {
         onAddressReply(Address, Result);
       });
}

void ControlPlane::State::schedulePublish() {
  if (std::exchange(PublishScheduled_, true))
    return;
  connection::asio::post(Dependencies_.Context_,
                         Lifetime_.guard([this] { publish(); }));
}

void ControlPlane::State::publish() {
  PublishScheduled_ = false;
  auto View = std::make_shared<ClusterView>();
  View->Map_ = Replicator_->map();
  View->Config_ = Replicator_->config();
  View->Members_ = Members_->members();
  std::erase_if(ObservedEpochs_, [this](const auto &Observed) {
    return Members_->table().find(Observed.first) == nullptr;
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
  Message.Versions_ = Replicator_->versions();
  // Peers infer from the epoch that this process refuses older epochs. This
  // holds for its traffic threads only after the view has been published.
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
    return report("invalid control address, expected IP:PORT: \"" + Address +
                  "\"");
  Client_->call(*Peer, Method, std::move(Params), Options_.CallTimeout_,
                Lifetime_.guard(std::move(Done)));
}

void ControlPlane::State::send(const Member &To, const std::string &Method,
                               MembershipMessage Message) {
  call(To.ControlAddress_, Method, encode(std::move(Message)),
       [this, To](const RpcResult &Result) { onMemberReply(To, Result); });
}

void ControlPlane::State::onMemberReply(const Member &To,
                                        const RpcResult &Result) {
  if (Result.Error_ == TransportError::NotSent)
    return Members_->onUnreachable(To.Id_);
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  Members_->onReply(*Reply);
  onMessage(To.ControlAddress_, *Reply);
}

void ControlPlane::State::onAddressReply(const std::string &Address,
                                         const RpcResult &Result) {
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  const Member &From = Reply->From_.Member_;
  Members_->onReply(*Reply);
  if (From.Id_ == Members_->own().Id_)
    SeedJoiner_->reachedSelf();
  else if (!Members_->table().knows(From.Id_, From.Incarnation_))
    call(Address, JoinMethod, encode(Members_->joinMessage()),
         [this, Address](const RpcResult &Joined) {
           onJoinReply(Address, Joined);
         });
  onMessage(Address, *Reply);
}

void ControlPlane::State::onJoinReply(const std::string &Address,
                                      const RpcResult &Result) {
  const auto Reply = decodeReply(Result);
  if (!Reply)
    return;
  Members_->onReply(*Reply);
  onMessage(Address, *Reply);
}

void ControlPlane::State::onMessage(const std::string &Address,
                                    const MembershipMessage &Message) {
  // A load balancer may route the next call to another process, so documents
  // are fetched from the sender itself if its address is known.
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
    Replicator_->onPeerVersions(Source, Message.Versions_);
}

Json::Value ControlPlane::State::serve(const Json::Value &Params,
                                       Handler Handle) {
  MembershipFault Fault;
  const auto Request = decodeMessage(Params, Fault);
  if (!Request)
    throw RpcFault{Fault.Position_ + ": " + Fault.Message_};
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
  // Entries hold the jobs of this home back until the map assigns another home.
  State_->Maintainer_->removeSelf(State_->StoppedAtMs_, [] {});
}

void ControlPlane::leave(std::function<void()> Done) {
  if (State_->StoppedAtMs_ == 0)
    State_->StoppedAtMs_ = State_->Dependencies_.WallClockMs_();
  State_->Members_->leave(State_->StoppedAtMs_);
  State_->Maintainer_->removeSelf(State_->StoppedAtMs_, std::move(Done));
}

void ControlPlane::stop() {
  State_->Stopped_ = true;
  State_->Lifetime_.revoke();
  State_->Timer_.cancel();
  if (State_->Watcher_)
    State_->Watcher_->setActive(false);
  State_->Server_.reset();
}

} // namespace wigeonwall::process
