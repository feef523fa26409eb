/// \file
/// \brief Tests that a job is cancelled through any entry, and that it is
/// reported as unknown only if no entry can have it.
#include "standins/raw_peer.h"
#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/dispatch/peer_cancellation.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <utility>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using namespace std::chrono_literals;

namespace {

/// An entry with some jobs.
struct Entry {
  explicit Entry(connection::asio::io_context &Context)
      : Cancellation_(Context, hooks()),
        Server_(Context, {"127.0.0.1", 0}, {},
                [this](const auto &Request, const auto &Respond) {
                  if (!Silent_)
                    BOOST_TEST(Cancellation_.serve(Request, Respond));
                }) {
    BOOST_REQUIRE(Server_.listen());
  }

  PeerCancellationHooks hooks() {
    PeerCancellationHooks Hooks;
    Hooks.Now_ = [this] { return Now_; };
    Hooks.After_ = [this](auto, auto Task) { Probe_ = std::move(Task); };
    Hooks.ListPeers_ = [this](const auto &Done) { Done(Listing_); };
    Hooks.CancelLocally_ = [this](const std::string &JobId, const auto &Done) {
      Done(Jobs_.erase(JobId) != 0      ? CancelFound::Attempt
           : Remains_.count(JobId) != 0 ? CancelFound::Remains
                                        : CancelFound::Nothing);
    };
    Hooks.Log_ = [this](const auto &, const std::string &Event, const auto &) {
      Events_.push_back(Event);
    };
    return Hooks;
  }
  connection::Endpoint endpoint() const {
    return {"127.0.0.1", Server_.port()};
  }

  std::set<std::string> Jobs_;
  /// Jobs with an attempt that is ending.
  std::set<std::string> Remains_;
  std::vector<std::string> Events_;
  bool Silent_ = false;
  request::TimePoint Now_{1h};
  std::function<void()> Probe_;
  PeerListing Listing_;
  PeerCancellation Cancellation_;
  connection::HttpServer Server_;
};

struct Fixture {
  connection::asio::io_context Context_{1};
  Entry First_{Context_};
  Entry Second_{Context_};
  std::optional<Entry> Third_{std::in_place, Context_};

  Fixture() {
    First_.Cancellation_.setPeers({Second_.endpoint(), Third_->endpoint()});
    Third_->Jobs_ = {"job"};
  }

  PeerCancelResult cancel(const std::string &JobId,
                          CancelFound Local = CancelFound::Nothing) {
    std::optional<PeerCancelResult> Result;
    First_.Cancellation_.cancel(JobId, Local, [&](auto Answer) {
      BOOST_TEST(!Result.has_value());
      Result = Answer;
    });
    BOOST_REQUIRE(standins::runUntil(
        Context_, [&] { return Result.has_value(); }, 5s));
    standins::runFor(Context_, 20ms);
    return *Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_cancellation, Fixture)

// A cancellation at another entry than the one with the job was answered as if
// there were no such job, and the job ran on.
BOOST_AUTO_TEST_CASE(cancels_a_job_of_another_entry) {
  BOOST_TEST((cancel("job") == PeerCancelResult::Cancelled));
  BOOST_TEST(Third_->Jobs_.empty());
  BOOST_TEST((cancel("job") == PeerCancelResult::Unknown));
}

// A cut that refused connections was taken for the end of the process: the
// cancellation was answered as if there were no such job, and the job ran on.
BOOST_AUTO_TEST_CASE(an_entry_with_a_key_that_refuses_may_have_the_job) {
  Third_.reset();
  BOOST_TEST((cancel("job") == PeerCancelResult::Unanswered));
  BOOST_REQUIRE(!First_.Events_.empty());
  BOOST_TEST(First_.Events_.back() == "cancel_unanswered");
  // The key vanishes when the lease of an ended process does.
  First_.Cancellation_.setPeers({Second_.endpoint()});
  BOOST_TEST((cancel("job") == PeerCancelResult::Unknown));
}

// Changes of the members are read in batches.
BOOST_AUTO_TEST_CASE(an_entry_that_refuses_is_looked_up_in_the_store) {
  const connection::Endpoint Ended = Third_->endpoint();
  Third_.reset();
  First_.Listing_ = {PeerListingState::Read, {Second_.endpoint(), Ended}};
  BOOST_TEST((cancel("job") == PeerCancelResult::Unanswered));
  First_.Listing_ = {PeerListingState::Unanswered};
  BOOST_TEST((cancel("job") == PeerCancelResult::Unanswered));
  First_.Listing_ = {PeerListingState::Read, {Second_.endpoint()}};
  BOOST_TEST((cancel("job") == PeerCancelResult::Unknown));
}

BOOST_AUTO_TEST_CASE(an_entry_that_has_just_registered_and_refuses_is_kept) {
  const connection::Endpoint Ended = Third_->endpoint();
  Third_.reset();
  First_.Cancellation_.setPeers({Second_.endpoint()});
  BOOST_TEST((cancel("job") == PeerCancelResult::Unknown));
  First_.Listing_ = {PeerListingState::Read, {Second_.endpoint(), Ended}};
  BOOST_TEST((cancel("job") == PeerCancelResult::Unanswered));
}

BOOST_AUTO_TEST_CASE(a_silent_entry_may_have_the_job) {
  Third_->Silent_ = true;
  BOOST_TEST((cancel("job") == PeerCancelResult::Unanswered));
  BOOST_TEST(First_.Events_.back() == "cancel_unanswered");
  Second_.Jobs_ = {"other"};
  BOOST_TEST((cancel("other") == PeerCancelResult::Cancelled));
}

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_entries_are_listed) {
  PeerCancelResult Result = PeerCancelResult::Cancelled;
  Second_.Cancellation_.cancel("job", CancelFound::Nothing,
                               [&](auto Answer) { Result = Answer; });
  BOOST_TEST((Result == PeerCancelResult::Unanswered));
}

// The store had rejected the requests of an entry until its key expired. A
// cancellation of one of its jobs was answered as if there were no such job.
BOOST_AUTO_TEST_CASE(an_entry_without_a_key_is_asked_as_long_as_it_answers) {
  First_.Cancellation_.setPeers({Second_.endpoint()});
  for (int I = 0; I < 10; ++I) {
    standins::runFor(Context_, 20ms);
    First_.Now_ += 5s;
    BOOST_REQUIRE(First_.Probe_ != nullptr);
    std::exchange(First_.Probe_, nullptr)();
  }
  BOOST_TEST((cancel("job") == PeerCancelResult::Cancelled));
  Third_->Jobs_ = {"next"};
  Third_->Silent_ = true;
  First_.Now_ += 14s;
  BOOST_TEST((cancel("next") == PeerCancelResult::Unanswered));
  // An entry that stays silent does not prevent answers for ever.
  First_.Now_ += 2s;
  BOOST_TEST((cancel("next") == PeerCancelResult::Unknown));
  std::exchange(First_.Probe_, nullptr)();
  BOOST_TEST((First_.Probe_ == nullptr));
}

BOOST_AUTO_TEST_CASE(an_ended_process_without_a_key_has_no_jobs) {
  Third_.reset();
  First_.Cancellation_.setPeers({Second_.endpoint()});
  BOOST_TEST((cancel("job") == PeerCancelResult::Unknown));
  std::exchange(First_.Probe_, nullptr)();
  BOOST_TEST((First_.Probe_ == nullptr));
}

// An entry that had registered within the last 0.4 s was not asked.
BOOST_AUTO_TEST_CASE(an_entry_that_has_just_registered_is_asked) {
  Second_.Cancellation_.setPeers({First_.endpoint()});
  const auto Cancel = [this] {
    std::optional<PeerCancelResult> Result;
    Second_.Cancellation_.cancel("job", CancelFound::Nothing,
                                 [&](auto Answer) { Result = Answer; });
    BOOST_REQUIRE(standins::runUntil(
        Context_, [&] { return Result.has_value(); }, 5s));
    return *Result;
  };
  Second_.Listing_ = {PeerListingState::Unanswered};
  BOOST_TEST((Cancel() == PeerCancelResult::Unanswered));
  Second_.Listing_ = {PeerListingState::Read,
                      {First_.endpoint(), Third_->endpoint()}};
  BOOST_TEST((Cancel() == PeerCancelResult::Cancelled));
  BOOST_TEST((Cancel() == PeerCancelResult::Unknown));
}

// An entry that had only the remains of an earlier attempt answered for all;
// the entry that ran the job was not asked.
BOOST_AUTO_TEST_CASE(remains_of_an_attempt_do_not_hide_a_later_one) {
  BOOST_TEST(
      (cancel("job", CancelFound::Remains) == PeerCancelResult::Cancelled));
  BOOST_TEST(Third_->Jobs_.empty());
  Second_.Remains_ = {"other"};
  Third_->Jobs_ = {"other"};
  BOOST_TEST((cancel("other") == PeerCancelResult::Cancelled));
  BOOST_TEST(Third_->Jobs_.empty());
}

BOOST_AUTO_TEST_CASE(remains_are_an_answer_only_if_all_entries_answer) {
  BOOST_TEST(
      (cancel("other", CancelFound::Remains) == PeerCancelResult::Cancelled));
  Second_.Remains_ = {"other"};
  BOOST_TEST((cancel("other") == PeerCancelResult::Cancelled));
  Third_->Silent_ = true;
  BOOST_TEST((cancel("other") == PeerCancelResult::Unanswered));
  Second_.Remains_.clear();
  BOOST_TEST(
      (cancel("other", CancelFound::Remains) == PeerCancelResult::Unanswered));
}

// Two entries have an attempt if one has not noticed that its caller has left.
BOOST_AUTO_TEST_CASE(an_attempt_found_here_ends_those_elsewhere_too) {
  bool Answered = false;
  First_.Cancellation_.cancel("job", CancelFound::Attempt, [&](auto Answer) {
    BOOST_TEST((Answer == PeerCancelResult::Cancelled));
    Answered = true;
  });
  BOOST_TEST(Answered);
  BOOST_TEST(standins::runUntil(
      Context_, [&] { return Third_->Jobs_.empty(); }, 5s));
}

BOOST_AUTO_TEST_CASE(limits_the_number_of_pending_cancellations) {
  Third_->Silent_ = true;
  std::size_t Unanswered = 0;
  for (int I = 0; I < 100; ++I)
    First_.Cancellation_.cancel("x", CancelFound::Nothing, [&](auto Answer) {
      Unanswered += Answer == PeerCancelResult::Unanswered ? 1 : 0;
    });
  BOOST_TEST(Unanswered == 36u);
}

BOOST_AUTO_TEST_SUITE_END()
