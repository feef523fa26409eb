/// \file
/// \brief Tests that ConfigWriter reports an edit as applied if and only if it
/// took effect, despite lost replies and concurrent writers.
#include "wigeonwall/process/configuration/config_writer.h"

#include "standins/key_value_server.h"
#include "wigeonwall/connection/consul_store.h"
#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>

using namespace std::chrono_literals;
using namespace wigeonwall;
using namespace wigeonwall::connection;
using namespace wigeonwall::process;
using Outcome = ConfigWriteOutcome;

namespace {

version::Config sampleDocument() {
  std::ifstream File("examples/permit-desk.json");
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  std::vector<version::ConfigFault> Faults;
  const auto Document = version::parseConfig(Text, Faults);
  BOOST_REQUIRE(Document.has_value());
  return *Document;
}

/// \brief Scripted result of one write.
enum class Step : char {
  Normal = '.',
  /// Takes effect, but gets no reply.
  ReplyLost = 'r',
  RequestLost = 'q',
  /// Takes effect just before the next write and gets no reply.
  Late = 'l',
  NotSent = 'n',
  Refused = 'x',
  /// The swap fails although the reads show no other write.
  StaleRead = 's',
};

/// \brief Key-value store with one key and scripted faults. Callbacks and
/// delays run in order from a queue.
class FakeStore : public KeyValueStore {
public:
  void read(const std::string &, ReadCallback Done) override {
    Queue_.push_back([this, Done] {
      if (FailedReads_ == 0)
        return Done(Entry_, {});
      --FailedReads_;
      Done(std::nullopt, {StoreError::NotSent, "outage", {}});
    });
  }
  void watch(const std::string &, std::uint64_t, std::chrono::milliseconds,
             ReadCallback) override {
    BOOST_FAIL("the writer does not watch");
  }
  void compareAndSwap(const std::string &, std::string Value,
                      std::uint64_t Index, SwapCallback Done) override {
    Queue_.push_back([=, this] { runWrite(Value, Index, Done); });
  }

  ConfigWriter::Delay delay() {
    return [this](auto, std::function<void()> Done) {
      Queue_.push_back(std::move(Done));
    };
  }

  /// \brief Applies an edit of another operator without faults.
  void addEdit(const std::string &EditId) {
    version::StoredConfig Next{sampleDocument(), {}};
    if (Entry_.Index_ != 0)
      Next = stored();
    Next.Config_.EditId_ = EditId;
    Next.Edits_.push_back({EditId, ++Next.Config_.Version_});
    if (Next.Edits_.size() > version::MaxRecentEdits)
      Next.Edits_.erase(Next.Edits_.begin());
    swap(request::writeJson(version::encodeStoredConfig(Next)), Entry_.Index_);
  }

  [[nodiscard]] version::StoredConfig stored() const {
    std::vector<version::ConfigFault> Faults;
    auto Decoded = version::parseStoredConfig(Entry_.Value_, Faults);
    BOOST_REQUIRE(Decoded.has_value());
    return *Decoded;
  }

  void run() {
    for (unsigned Turns = 0; !Queue_.empty(); ++Turns) {
      BOOST_REQUIRE(Turns < 1000);
      const auto Next = std::move(Queue_.front());
      Queue_.pop_front();
      Next();
    }
  }

  /// One Step per write; further writes are Normal.
  std::string Script_;
  unsigned FailedReads_ = 0;
  /// Runs before and after the effect of the first write.
  std::function<void()> BeforeWrite_;
  std::function<void()> AfterWrite_;
  StoreEntry Entry_;
  /// Edit id of each write that took effect.
  std::vector<std::string> History_;

private:
  bool swap(const std::string &Value, std::uint64_t Index) {
    if (Index != Entry_.Index_)
      return false;
    Entry_ = {Value, Entry_.Index_ + 1};
    History_.push_back(stored().Config_.EditId_);
    return true;
  }

  void runWrite(const std::string &Value, std::uint64_t Index,
                const SwapCallback &Done) {
    if (PendingWrite_)
      std::exchange(PendingWrite_, nullptr)();
    if (BeforeWrite_)
      std::exchange(BeforeWrite_, nullptr)();
    const Step Now = nextStep();
    if (Now == Step::Late)
      PendingWrite_ = [=, this] { swap(Value, Index); };
    const bool Swapped =
        (Now == Step::Normal || Now == Step::ReplyLost) && swap(Value, Index);
    if (AfterWrite_)
      std::exchange(AfterWrite_, nullptr)();
    if (Now == Step::Normal || Now == Step::StaleRead)
      return Done(Swapped, {});
    const StoreError Error = Now == Step::NotSent   ? StoreError::NotSent
                             : Now == Step::Refused ? StoreError::Refused
                                                    : StoreError::Unknown;
    Done(std::nullopt, {Error, "scripted", {}});
  }

  Step nextStep() {
    if (Script_.empty())
      return Step::Normal;
    const Step Now{Script_.front()};
    Script_.erase(0, 1);
    return Now;
  }

  std::deque<std::function<void()>> Queue_;
  std::function<void()> PendingWrite_;
};

ConfigWriter::Callback storeIn(std::optional<ConfigWriteResult> &Destination) {
  return [&Destination](ConfigWriteResult Result) {
    BOOST_REQUIRE(!Destination.has_value());
    Destination = std::move(Result);
  };
}

struct FaultCase {
  const char *Name_;
  const char *Script_;
  /// Number of reads that fail before and after the first write.
  unsigned FailedReads_[2];
  /// Number of edits by others before and after the first write.
  unsigned OtherEdits_[2];
  Outcome Outcome_;
  std::uint64_t Version_;
};

// The store holds three edits, so that the writer's edit would be version 4.
const FaultCase FaultCases[] = {
    {"no fault", "", {0, 0}, {0, 0}, Outcome::Applied, 4},
    {"reply lost", "r", {0, 0}, {0, 0}, Outcome::Applied, 4},
    {"request lost", "q", {0, 0}, {0, 0}, Outcome::Applied, 4},
    {"late", "l", {0, 0}, {0, 0}, Outcome::Applied, 4},
    {"reply lost, edit on top", "r", {0, 0}, {0, 1}, Outcome::Applied, 4},
    {"last in the list", "r", {0, 0}, {0, 15}, Outcome::Applied, 4},
    {"out of the list", "r", {0, 0}, {0, 16}, Outcome::Unknown, 0},
    {"request lost, other edit", "q", {0, 0}, {0, 1}, Outcome::Conflict, 4},
    {"list covers version 4", "q", {0, 0}, {0, 16}, Outcome::Conflict, 19},
    {"list begins after it", "q", {0, 0}, {0, 17}, Outcome::Unknown, 0},
    {"late, other edit", "l", {0, 0}, {0, 1}, Outcome::Conflict, 4},
    {"other edit first", "", {0, 0}, {1, 0}, Outcome::Conflict, 4},
    {"outage and return before", "", {5, 0}, {0, 0}, Outcome::Applied, 4},
    {"outage and return at write", "nn", {0, 0}, {0, 0}, Outcome::Applied, 4},
    {"outage and return after", "r", {0, 5}, {0, 0}, Outcome::Applied, 4},
    {"outage before", "", {100, 0}, {0, 0}, Outcome::Unavailable, 0},
    {"outage at write", "nnnnnnnnn", {0, 0}, {0, 0}, Outcome::Unavailable, 0},
    {"outage after lost reply", "r", {0, 100}, {0, 0}, Outcome::Unknown, 0},
    {"refused", "x", {0, 0}, {0, 0}, Outcome::Refused, 0},
    {"stale reads", "sssssssss", {0, 0}, {0, 0}, Outcome::Unavailable, 0},
    {"lost, then refused", "qx", {0, 0}, {0, 0}, Outcome::Unknown, 0},
};

} // namespace

// Guards against an edit that is reported as applied but did not take effect,
// the reverse, and an edit that is written twice.
BOOST_AUTO_TEST_CASE(outcome_matches_what_took_effect) {
  for (const FaultCase &Case : FaultCases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      FakeStore Store;
      for (const char *EditId : {"e-1", "e-2", "e-3"})
        Store.addEdit(EditId);
      const auto AddOtherEdits = [&](unsigned Count) {
        for (unsigned I = 0; I < Count; ++I)
          Store.addEdit("other-" + std::to_string(I));
      };
      Store.Script_ = Case.Script_;
      Store.FailedReads_ = Case.FailedReads_[0];
      Store.BeforeWrite_ = [&] { AddOtherEdits(Case.OtherEdits_[0]); };
      Store.AfterWrite_ = [&] {
        AddOtherEdits(Case.OtherEdits_[1]);
        Store.FailedReads_ = Case.FailedReads_[1];
      };
      ConfigWriter Writer(Store, Store.delay(), {});
      std::optional<ConfigWriteResult> Result;
      Writer.apply(sampleDocument(), 3, "mine", storeIn(Result));
      Store.run();
      BOOST_REQUIRE(Result.has_value());
      BOOST_TEST((Result->Outcome_ == Case.Outcome_));
      BOOST_TEST(Result->Version_ == Case.Version_);
      const auto Times =
          std::count(Store.History_.begin(), Store.History_.end(), "mine");
      if (Case.Outcome_ == Outcome::Unknown)
        BOOST_TEST(Times <= 1);
      else
        BOOST_TEST(Times == (Case.Outcome_ == Outcome::Applied ? 1 : 0));
    }
}

// Guards against lost updates: if two operators edit the same version, one must
// be told what the other changed.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_gets_the_conflict) {
  for (const auto &Expected :
       {std::optional<std::uint64_t>(1), std::optional<std::uint64_t>()}) {
    FakeStore Store;
    Store.addEdit("e-1");
    ConfigWriter Writer(Store, Store.delay(), {});
    version::Config First = sampleDocument();
    First.Services_[0].Kinds_[0].Weight_ = 9;
    version::Config Second = sampleDocument();
    Second.Teams_[0].MaxTasksInFlight_ = 1500;
    std::optional<ConfigWriteResult> A;
    std::optional<ConfigWriteResult> B;
    Writer.apply(First, Expected, "a", storeIn(A));
    Writer.apply(Second, Expected, "b", storeIn(B));
    Store.run();
    BOOST_TEST((A.value().Outcome_ == Outcome::Applied));
    BOOST_TEST((B.value().Outcome_ == Outcome::Conflict));
    BOOST_TEST(B->Version_ == 2);
    BOOST_REQUIRE(B->Difference_.size() == 2);
    BOOST_TEST(B->Difference_[0].Pointer_ ==
               "/services/permit-desk/kinds/setback-check/weight");
    BOOST_TEST(B->Difference_[1].Pointer_ ==
               "/teams/installers/max_tasks_in_flight");
    BOOST_TEST(Store.stored().Config_.EditId_ == "a");
  }
}

// Guards against applying an edit of an old version, writing a repeated edit
// again, accepting invalid input, and overwriting an invalid stored value.
BOOST_AUTO_TEST_CASE(rejected_and_repeated_edits_are_not_written) {
  FakeStore Store;
  ConfigWriter Writer(Store, Store.delay(), {});
  const auto Apply = [&](version::Config Document,
                         std::optional<std::uint64_t> Expected,
                         const char *EditId) {
    std::optional<ConfigWriteResult> Result;
    Writer.apply(std::move(Document), Expected, EditId, storeIn(Result));
    Store.run();
    return Result.value();
  };
  BOOST_TEST((Apply(sampleDocument(), 1, "a").Outcome_ == Outcome::Conflict));
  BOOST_TEST(Apply(sampleDocument(), 0, "a").Version_ == 1);
  BOOST_TEST(Apply(sampleDocument(), {}, "b").Version_ == 2);
  BOOST_TEST(Apply(sampleDocument(), 1, "c").Version_ == 2);
  BOOST_TEST(Apply(sampleDocument(), 0, "a").Version_ == 1);
  BOOST_TEST((Apply(sampleDocument(), 2, "").Outcome_ == Outcome::Invalid));
  BOOST_TEST((Apply({}, 2, "d").Outcome_ == Outcome::Invalid));
  Store.Entry_.Value_ = "{}";
  BOOST_TEST(
      (Apply(sampleDocument(), {}, "e").Outcome_ == Outcome::StoredInvalid));
  BOOST_TEST(Store.History_.size() == 2);
}

// Guards against a writer that works only with the fake store: after a reply is
// lost on the network, the writer must read the value back.
BOOST_AUTO_TEST_CASE(value_is_read_back_after_a_lost_reply) {
  asio::io_context Context(1);
  standins::KeyValueServer Server(Context, {"127.0.0.1", 0});
  BOOST_REQUIRE(Server.listen());
  Server.setFaults({.LoseWriteReplies_ = 1});
  ConsulStore Store(Context, {{"127.0.0.1", Server.port()}}, {}, nullptr);
  ConfigWriter Writer(Store, asioDelay(Context), {});
  std::optional<ConfigWriteResult> Result;
  Writer.apply(sampleDocument(), 0, "mine", storeIn(Result));
  for (unsigned I = 0; I < 500 && !Result; ++I)
    Context.run_one_for(10ms);
  BOOST_TEST((Result.value().Outcome_ == Outcome::Applied));
  BOOST_TEST(Server.calls().Writes_ == 1);
}
