#include "standins/virtual_fleet.h"

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

constexpr request::Duration Latency = 1ms;
constexpr request::Duration TickPeriod = 100ms;
/// HTTP headers of a request and its response, and the JSON-RPC envelopes.
constexpr std::size_t ExchangeBytes = 300 + 120;

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

VirtualFleet::VirtualFleet(unsigned Size, Start How, std::uint64_t Seed)
    : Random_(Seed) {
  for (const Member &Own : makeMembers(Size))
    add(Own, How, Random_());
  if (How == Start::Known) {
    MembershipMessage List = Nodes_.front().Members_->joinMessage();
    for (const Node &Each : Nodes_)
      List.List_.push_back(Each.Members_->joinMessage().From_);
    // A process takes no list from itself.
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      List.From_ = Nodes_[I == 0 ? 1 : 0].Members_->joinMessage().From_;
      Nodes_[I].Members_->onReply(List);
    }
  }
}

void VirtualFleet::add(const Member &Own, Start How, std::uint64_t Seed) {
  const std::size_t Index = Nodes_.size();
  ByAddress_[Own.ControlAddress_] = Index;
  Node Added;
  Added.Members_ = std::make_unique<process::Membership>(
      Own, Time_.clock(), std::mt19937_64(Seed), process::MembershipOptions{},
      hooks(Index));
  if (How == Start::AtOnce)
    Added.Seeds_ = std::make_unique<process::SeedJoiner>(
        std::vector<std::string>{"balancer"},
        process::SeedPeriods{1s, 200ms, 10s}, Time_.clock(),
        std::mt19937_64(Seed));
  Nodes_.push_back(std::move(Added));
  std::uniform_int_distribution<request::Duration::rep> Phase(
      0, request::Duration(TickPeriod).count() - 1);
  Time_.after(request::Duration(Phase(Random_)),
              [this, Index] { tick(Index); });
}

MembershipHooks VirtualFleet::hooks(std::size_t Index) {
  using process::Membership;
  const auto With = [this, Index](const Member &To, const MemberUpdate &About) {
    MembershipMessage Message = Nodes_[Index].Members_->messageFor(To.Id_);
    Message.Target_ = About;
    return Message;
  };
  MembershipHooks Hooks;
  Hooks.SendProbe_ = [this, Index](const Member &To) {
    sendTo(Index, To, &Membership::onProbe,
           Nodes_[Index].Members_->messageFor(To.Id_));
  };
  Hooks.SendProbeVia_ = [this, Index, With](const Member &Via,
                                            const MemberUpdate &Target) {
    sendTo(Index, Via, &Membership::onProbeVia, With(Via, Target));
  };
  Hooks.SendIndirectAck_ = [this, Index, With](const Member &To,
                                               const MemberUpdate &Target) {
    sendTo(Index, To, &Membership::onProbe, With(To, Target));
  };
  Hooks.SendJoin_ = [this, Index](const Member &To) {
    sendTo(Index, To, &Membership::onJoin,
           Nodes_[Index].Members_->joinMessage());
  };
  Hooks.Changed_ = [] {};
  Hooks.Superseded_ = [] {};
  return Hooks;
}

void VirtualFleet::tick(std::size_t Index) {
  Node &Each = Nodes_[Index];
  Each.Members_->tick();
  if (Each.Seeds_ && Each.Seeds_->next(Each.Members_->alone()))
    contactSeed(Index);
  Time_.after(TickPeriod, [this, Index] { tick(Index); });
}

void VirtualFleet::contactSeed(std::size_t Index) {
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

void VirtualFleet::sendTo(std::size_t From, const Member &To, Handler Handle,
                          const MembershipMessage &Message) {
  send(From, ByAddress_.at(To.ControlAddress_), Handle, Message,
       [this, From](const MembershipMessage &Answer) {
         Nodes_[From].Members_->onReply(Answer);
       });
}

void VirtualFleet::send(std::size_t From, std::size_t To, Handler Handle,
                        const MembershipMessage &Message, Reply Done) {
  std::string Request = encode(Message);
  ++Exchanges_;
  count(From, To, Request.size() + ExchangeBytes);
  Time_.after(Latency, [this, From, To, Handle, Request = std::move(Request),
                        Done = std::move(Done)] {
    std::string Answer =
        encode((Nodes_[To].Members_.get()->*Handle)(decode(Request)));
    count(From, To, Answer.size());
    Time_.after(Latency,
                [Answer = std::move(Answer), Done] { Done(decode(Answer)); });
  });
}

void VirtualFleet::count(std::size_t A, std::size_t B, std::size_t Bytes) {
  const auto Second = static_cast<std::size_t>((Time_.now() - Begin_) / 1s);
  for (const std::size_t Index : {A, B}) {
    std::vector<double> &Seconds = Nodes_[Index].Bytes_;
    Seconds.resize(std::max(Seconds.size(), Second + 1));
    Seconds[Second] += static_cast<double>(Bytes);
  }
}

void VirtualFleet::run(request::Duration Time) { Time_.advance(Time); }

bool VirtualFleet::complete() const {
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&](const Node &Each) {
    return Each.Members_->table().presentCount() + 1 == Nodes_.size() &&
           Each.Members_->table().suspects().empty();
  });
}

VirtualFleet::Rates VirtualFleet::rates(std::size_t From,
                                        std::size_t To) const {
  Rates Result;
  for (const Node &Each : Nodes_) {
    double Sum = 0;
    for (std::size_t I = From; I < std::min(To, Each.Bytes_.size()); ++I)
      Sum += Each.Bytes_[I];
    Sum /= static_cast<double>(To - From);
    Result.Mean_ += Sum / static_cast<double>(Nodes_.size());
    Result.Highest_ = std::max(Result.Highest_, Sum);
  }
  return Result;
}

double VirtualFleet::highestOver(std::size_t Seconds) const {
  const auto Length = static_cast<std::size_t>((Time_.now() - Begin_) / 1s);
  double Highest = 0;
  for (std::size_t From = 0; From + Seconds <= Length; ++From)
    Highest = std::max(Highest, rates(From, From + Seconds).Highest_);
  return Highest;
}

} // namespace wigeonwall::standins
