#include "wigeonwall/process/roles/entry_role.h"

#include "wigeonwall/process/roles/role_context.h"
#include "wigeonwall/process/runtime/event_loop.h"

namespace wigeonwall::process {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};
/// Maximum number of jobs in one shard whose callers are waiting; bounds the
/// memory of an entry.
constexpr std::size_t MaxWaitingJobs = 50'000;

connection::HttpLimits callerLimits(const EntrySettings &Options) {
  connection::HttpLimits Limits;
  Limits.BodyBytes_ = Options.MaxBodyBytes_;
  Limits.Connections_ = Options.MaxConnections_;
  Limits.ReusePort_ = Options.TrafficThreads_ > 1;
  return Limits;
}

/// The first shard uses the announced port, the others any free port.
connection::Endpoint answersAddress(const Settings &Options,
                                    std::uint32_t Shard) {
  connection::Endpoint Address = Options.TrafficListen_;
  if (Shard != 0)
    Address.Port_ = 0;
  return Address;
}

} // namespace

EntryRole::EntryRole(connection::asio::io_context &Traffic,
                     const Settings &Options, std::uint32_t Shard,
                     std::int64_t Incarnation, ViewPublisher &Views,
                     Counters &ProcessCounters, const Tracer *JobTracer)
    : Context_(makeRoleContext(Traffic, Options, Incarnation, Views,
                               ProcessCounters, JobTracer)),
      AnnouncedAddress_(Options.trafficAddress()), Shard_(Shard),
      Answers_(Traffic, answersAddress(Options, Shard), trafficLimits(),
               makeMessageObserver(ProcessCounters)),
      Jobs_(Context_, MaxWaitingJobs), Api_(Context_, Jobs_),
      Callers_(Traffic, Options.Entry_.CallersListen_,
               callerLimits(Options.Entry_),
               [this](connection::HttpRequest Request,
                      const connection::HttpRespond &Respond) {
                 Api_.handle(std::move(Request), Respond);
               }) {
  Answers_.addMethod("job.finished", [this](const Json::Value &Params) {
    return Jobs_.finished(Params);
  });
  tickEvery(Context_.After_, TickInterval, [this] { Jobs_.tick(); });
}

bool EntryRole::listen() {
  if (!Answers_.listen() || !Callers_.listen())
    return false;
  connection::Endpoint ReplyTo = AnnouncedAddress_;
  if (Shard_ != 0)
    ReplyTo.Port_ = Answers_.port();
  Jobs_.setReplyTo(connection::formatEndpoint(ReplyTo));
  return true;
}

void EntryRole::beginLeaving() { Callers_.disableKeepAlive(); }

void EntryRole::stopAccepting() { Callers_.stopAccepting(); }

bool EntryRole::drained() const noexcept { return Jobs_.unfinished() == 0; }

} // namespace wigeonwall::process
