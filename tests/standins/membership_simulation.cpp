#include "standins/membership_simulation.h"

#include "standins/target_size.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::standins {

using namespace std::chrono_literals;
using process::Member;
using process::MembershipHooks;
using process::MembershipMessage;
using process::MemberUpdate;

namespace {

constexpr request::Duration MessageLatency = 1ms;
constexpr request::Duration TickInterval = 100ms;
/// Size of the HTTP headers and JSON-RPC envelopes of a request and its
/// response.
constexpr std::size_t ExchangeOverheadBytes = 300 + 120;

std::string encode(const MembershipMessage &Message) {
  return request::writeJson(process::encodeMessage(Message));
}

MembershipMessage decode(const std::string &Text) {
  request::CodecFault Syntax;
  process::MembershipFault Why;
  return process::decodeMessage(request::parseJson(Text, Syntax).value(), Why)
      .value();
}

} // namespace

MembershipSimulation::MembershipSimulation(unsigned Size, StartMode Mode,
                                           std::uint64_t Seed)
    : Random_(Seed) {
  for (const Member &Own : makeMembers(Size))
    add(Own, Mode, Random_());
  if (Mode == StartMode::FullList) {
    MembershipMessage List = Nodes_.front().Members_->joinMessage();
    for (const Node &Each : Nodes_)
      List.List_.push_back(Each.Members_->joinMessage().From_);
    // A process ignores a list that it sent itself.
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      List.From_ = Nodes_[I == 0 ? 1 : 0].Members_->joinMessage().From_;
      Nodes_[I].Members_->onReply(List);
    }
  }
}

void MembershipSimulation::add(const Member &Own, StartMode Mode,
                               std::uint64_t Seed) {
  const std::size_t Index = Nodes_.size();
  IndexByAddress_[Own.ControlAddress_] = Index;
  Node Added;
  Added.Members_ = std::make_unique<process::Membership>(
      Own, Time_.clock(), std::mt19937_64(Seed), process::MembershipOptions{},
      hooks(Index));
  if (Mode == StartMode::SimultaneousJoin)
    Added.Seeds_ = std::make_unique<process::SeedJoiner>(
        std::vector<std::string>{"balancer"},
        process::SeedPeriods{1s, 200ms, 10s}, Time_.clock(),
        std::mt19937_64(Seed));
  Nodes_.push_back(std::move(Added));
  std::uniform_int_distribution<request::Duration::rep> Phase(
      0, request::Duration(TickInterval).count() - 1);
  Time_.after(request::Duration(Phase(Random_)),
              [this, Index] { tick(Index); });
}

MembershipHooks MembershipSimulation::hooks(std::size_t Index) {
  using process::Membership;
  const auto MessageAbout = [this, Index](const Member &To,
                                          const MemberUpdate &About) {
    MembershipMessage Message = Nodes_[Index].Members_->messageFor(To.Id_);
    Message.Target_ = About;
    return Message;
  };
  MembershipHooks Hooks;
  Hooks.SendProbe_ = [this, Index](const Member &To) {
    sendTo(Index, To, &Membership::onProbe,
           Nodes_[Index].Members_->messageFor(To.Id_));
  };
  Hooks.SendProbeVia_ = [this, Index, MessageAbout](
                            const Member &Via, const MemberUpdate &Target) {
    sendTo(Index, Via, &Membership::onProbeVia, MessageAbout(Via, Target));
  };
  Hooks.SendIndirectAck_ = [this, Index, MessageAbout](
                               const Member &To, const MemberUpdate &Target) {
    sendTo(Index, To, &Membership::onProbe, MessageAbout(To, Target));
  };
  Hooks.SendJoin_ = [this, Index](const Member &To) {
    sendTo(Index, To, &Membership::onJoin,
           Nodes_[Index].Members_->joinMessage());
  };
  Hooks.Changed_ = [] {};
  Hooks.Superseded_ = [] {};
  return Hooks;
}

void MembershipSimulation::tick(std::size_t Index) {
  Node &Each = Nodes_[Index];
  Each.Members_->tick();
  if (Each.Seeds_ && Each.Seeds_->next(Each.Members_->alone()))
    contactSeed(Index);
  Time_.after(TickInterval, [this, Index] { tick(Index); });
}

void MembershipSimulation::contactSeed(std::size_t Index) {
  using process::Membership;
  Membership &Own = *Nodes_[Index].Members_;
  const std::size_t To =
      std::uniform_int_distribution<std::size_t>(0, Nodes_.size() - 1)(Random_);
  const bool Alone = Own.alone();
  send(Index, To, Alone ? &Membership::onJoin : &Membership::onProbe,
       Alone ? Own.joinMessage() : Own.messageFor(""),
       [this, Index, To](const MembershipMessage &Answer) {
         Membership &Own = *Nodes_[Index].Members_;
         const Member &From = Answer.From_.Member_;
         Own.onReply(Answer);
         if (From.Id_ == Own.own().Id_)
           return Nodes_[Index].Seeds_->reachedSelf();
         if (!Own.table().knows(From.Id_, From.Incarnation_))
           send(Index, To, &Membership::onJoin, Own.joinMessage(),
                [&Own](const MembershipMessage &List) { Own.onReply(List); });
       });
}

void MembershipSimulation::sendTo(std::size_t From, const Member &To,
                                  Handler Handle,
                                  const MembershipMessage &Message) {
  send(From, IndexByAddress_.at(To.ControlAddress_), Handle, Message,
       [this, From](const MembershipMessage &Answer) {
         Nodes_[From].Members_->onReply(Answer);
       });
}

void MembershipSimulation::send(std::size_t From, std::size_t To,
                                Handler Handle,
                                const MembershipMessage &Message, Reply Done) {
  std::string Request = encode(Message);
  ++Exchanges_;
  addBytes(From, To, Request.size() + ExchangeOverheadBytes);
  Time_.after(MessageLatency, [this, From, To, Handle,
                               Request = std::move(Request),
                               Done = std::move(Done)] {
    std::string Answer =
        encode((Nodes_[To].Members_.get()->*Handle)(decode(Request)));
    addBytes(From, To, Answer.size());
    Time_.after(MessageLatency,
                [Answer = std::move(Answer), Done] { Done(decode(Answer)); });
  });
}

void MembershipSimulation::addBytes(std::size_t A, std::size_t B,
                                    std::size_t Bytes) {
  const auto Second = static_cast<std::size_t>((Time_.now() - StartedAt_) / 1s);
  for (const std::size_t Index : {A, B}) {
    std::vector<double> &Seconds = Nodes_[Index].BytesPerSecond_;
    Seconds.resize(std::max(Seconds.size(), Second + 1));
    Seconds[Second] += static_cast<double>(Bytes);
  }
}

void MembershipSimulation::run(request::Duration Time) { Time_.advance(Time); }

bool MembershipSimulation::converged() const {
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&](const Node &Each) {
    return Each.Members_->table().presentCount() + 1 == Nodes_.size() &&
           Each.Members_->table().suspects().empty();
  });
}

MembershipSimulation::Rates MembershipSimulation::rates(std::size_t From,
                                                        std::size_t To) const {
  Rates Result;
  for (const Node &Each : Nodes_) {
    double Rate = 0;
    for (std::size_t I = From; I < std::min(To, Each.BytesPerSecond_.size());
         ++I)
      Rate += Each.BytesPerSecond_[I];
    Rate /= static_cast<double>(To - From);
    Result.Mean_ += Rate / static_cast<double>(Nodes_.size());
    Result.Max_ = std::max(Result.Max_, Rate);
  }
  return Result;
}

double MembershipSimulation::peakRate(std::size_t Seconds) const {
  const auto ElapsedSeconds =
      static_cast<std::size_t>((Time_.now() - StartedAt_) / 1s);
  double Max = 0;
  for (std::size_t From = 0; From + Seconds <= ElapsedSeconds; ++From)
    Max = std::max(Max, rates(From, From + Seconds).Max_);
  return Max;
}

} // namespace wigeonwall::standins
