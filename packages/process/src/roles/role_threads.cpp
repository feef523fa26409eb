#include "role_threads.h"

#include "wigeonwall/process/observation/log.h"
#include "wigeonwall/process/roles/agent_role.h"
#include "wigeonwall/process/roles/entry_role.h"
#include "wigeonwall/process/runtime/event_loop.h"

#include <vector>

namespace wigeonwall::process::detail {

namespace {

class AgentThreads : public RoleThreads {
public:
  AgentThreads(const Settings &Options, RoleDependencies Dependencies)
      : Dependencies_(std::move(Dependencies)),
        Role_(Loop_.context(), Options, Dependencies_.Incarnation_,
              Dependencies_.Views_, Dependencies_.Counters_,
              Dependencies_.Tracer_) {}

  bool start() override {
    if (!Role_.listen())
      return false;
    Loop_.start();
    return true;
  }
  void onViewChange() override {
    Loop_.post([this] { Role_.onViewChange(); });
  }
  void beginLeaving(std::function<void()> Done) override {
    Loop_.post([this, Done = std::move(Done)] {
      Role_.beginLeaving();
      Dependencies_.PostToControl_(Done);
    });
  }
  void checkDrained(std::function<void(bool)> Done) override {
    Loop_.post([this, Done = std::move(Done)] {
      Dependencies_.PostToControl_(
          [Done, Drained = Role_.drained()] { Done(Drained); });
    });
  }
  void stop() override { Loop_.stop(); }

private:
  RoleDependencies Dependencies_;
  EventLoop Loop_{logHandlerError};
  AgentRole Role_;
};

class EntryThreads : public RoleThreads {
public:
  EntryThreads(const Settings &Options, RoleDependencies Dependencies)
      : Dependencies_(std::move(Dependencies)) {
    for (std::uint32_t I = 0; I < Options.Entry_.TrafficThreads_; ++I) {
      Loops_.push_back(std::make_unique<EventLoop>(logHandlerError));
      Shards_.push_back(std::make_unique<EntryRole>(
          Loops_.back()->context(), Options, I, Dependencies_.Incarnation_,
          Dependencies_.Views_, Dependencies_.Counters_,
          Dependencies_.Tracer_));
    }
  }

  bool start() override {
    for (const auto &Shard : Shards_)
      if (!Shard->listen())
        return false;
    for (const auto &Loop : Loops_)
      Loop->start();
    return true;
  }
  void onViewChange() override {}
  void beginLeaving(std::function<void()> Done) override {
    for (std::size_t I = 0; I < Shards_.size(); ++I)
      Loops_[I]->post([Shard = Shards_[I].get()] { Shard->beginLeaving(); });
    // An entry is not a home, so no step of the stop depends on when its shards
    // stop accepting work.
    Done();
  }
  void checkDrained(std::function<void(bool)> Done) override {
    auto Check = std::make_shared<DrainCheck>();
    Check->Remaining_ = Shards_.size();
    Check->Done_ = std::move(Done);
    for (std::size_t I = 0; I < Shards_.size(); ++I)
      Loops_[I]->post([this, Shard = Shards_[I].get(), Check] {
        Dependencies_.PostToControl_(
            [Check, Drained = Shard->drained()] { Check->add(Drained); });
      });
  }
  void stop() override {
    for (const auto &Loop : Loops_)
      Loop->stop();
  }

private:
  struct DrainCheck {
    std::size_t Remaining_ = 0;
    bool AllDrained_ = true;
    std::function<void(bool)> Done_;

    void add(bool Drained) {
      AllDrained_ = AllDrained_ && Drained;
      if (--Remaining_ == 0)
        Done_(AllDrained_);
    }
  };

  RoleDependencies Dependencies_;
  std::vector<std::unique_ptr<EventLoop>> Loops_;
  std::vector<std::unique_ptr<EntryRole>> Shards_;
};

} // namespace

std::unique_ptr<RoleThreads> makeRoleThreads(const Settings &Options,
                                             RoleDependencies Dependencies) {
  if (Options.Role_ == Role::Agent)
    return std::make_unique<AgentThreads>(Options, std::move(Dependencies));
  return std::make_unique<EntryThreads>(Options, std::move(Dependencies));
}

} // namespace wigeonwall::process::detail
