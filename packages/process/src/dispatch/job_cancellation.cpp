#include "wigeonwall/process/dispatch/job_cancellation.h"

#include <utility>

namespace wigeonwall::process::dispatch {

namespace asio = connection::asio;

JobCancellation::JobCancellation(asio::io_context &Control,
                                 asio::io_context &Traffic,
                                 CancelAttempts OwnAttempts,
                                 PeerCancellationHooks Hooks)
    : Control_(Control), Traffic_(Traffic),
      OwnAttempts_(std::move(OwnAttempts)),
      Peers_(Control, completeHooks(std::move(Hooks))) {}

PeerCancellationHooks
JobCancellation::completeHooks(PeerCancellationHooks Hooks) {
  Hooks.CancelLocally_ = [this](const std::string &JobId, auto Done) {
    const std::uint64_t Number = ++LastFromPeer_;
    FromPeers_[Number] = std::move(Done);
    asio::post(Traffic_, [this, JobId, Number] {
      const CancelFound Found = OwnAttempts_(JobId);
      asio::post(Control_, [this, Number, Found] {
        FromPeers_.extract(Number).mapped()(Found);
      });
    });
  };
  return Hooks;
}

void JobCancellation::cancel(const std::string &JobId, Callback Done) {
  const CancelFound Local = OwnAttempts_(JobId);
  const std::uint64_t Number = ++LastForwarded_;
  if (Local == CancelFound::Attempt)
    Done(PeerCancelResult::Cancelled);
  else
    Forwarded_[Number] = std::move(Done);
  asio::post(Control_, [this, JobId, Local, Number] {
    Peers_.cancel(JobId, Local, [this, Number](PeerCancelResult Result) {
      asio::post(Traffic_, [this, Number, Result] {
        if (const auto Caller = Forwarded_.extract(Number); !Caller.empty())
          Caller.mapped()(Result);
      });
    });
  });
}

} // namespace wigeonwall::process::dispatch
