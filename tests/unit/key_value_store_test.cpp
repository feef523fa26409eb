/// \file
/// \brief Tests ConsulStore against the stand-in of the key-value service: each
/// fault of the service maps to the documented error, and a write that may have
/// taken effect is never reported as not sent.
#include "wigeonwall/connection/consul_store.h"

#include "standins/key_value_server.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace wigeonwall::connection;
using namespace wigeonwall::standins;

namespace {

constexpr char Key[] = "wigeonwall/config";

struct ReadOutcome {
  std::optional<StoreEntry> Entry_;
  StoreFault Fault_;
};

struct SwapOutcome {
  std::optional<bool> Swapped_;
  StoreFault Fault_;
};

struct Fixture {
  Fixture() : Server_(Context_, {"127.0.0.1", 0}) {
    BOOST_REQUIRE(Server_.listen());
    Store_.emplace(Context_,
                   std::vector<Endpoint>{{"127.0.0.1", Server_.port()}},
                   ConsulTimeouts{300ms, 20ms}, [this] { ++Calls_; });
  }

  /// Runs the event loop until a callback has set \p Slot.
  template <typename Result> Result await(std::optional<Result> &Slot) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Slot && std::chrono::steady_clock::now() < End)
      Context_.run_one_for(10ms);
    BOOST_REQUIRE(Slot.has_value());
    return *Slot;
  }

  static KeyValueStore::ReadCallback storeIn(std::optional<ReadOutcome> &Slot) {
    return [&Slot](auto Entry, StoreFault Fault) {
      BOOST_REQUIRE(!Slot.has_value());
      Slot = ReadOutcome{std::move(Entry), std::move(Fault)};
    };
  }

  ReadOutcome read() {
    std::optional<ReadOutcome> Slot;
    Store_->read(Key, storeIn(Slot));
    return await(Slot);
  }

  SwapOutcome swap(std::string Value, std::uint64_t Index) {
    std::optional<SwapOutcome> Slot;
    Store_->compareAndSwap(Key, std::move(Value), Index,
                           [&](auto Swapped, StoreFault Fault) {
                             Slot = SwapOutcome{Swapped, std::move(Fault)};
                           });
    return await(Slot);
  }

  asio::io_context Context_{1};
  KeyValueServer Server_;
  std::optional<ConsulStore> Store_;
  unsigned Calls_ = 0;
};

struct FaultCase {
  const char *Name_;
  const char *Faults_;
  std::size_t ValueBytes_;
  StoreError Read_;
  StoreError Write_;
  bool WriteTakesEffect_;
};

const FaultCase FaultCases[] = {
    {"none", R"({})", 1, StoreError::None, StoreError::None, true},
    {"down", R"({"down":true})", 1, StoreError::Unknown, StoreError::Unknown,
     false},
    {"slow", R"({"delay_ms":600})", 1, StoreError::Unknown, StoreError::Unknown,
     true},
    {"lost reply", R"({"lose_write_replies":1})", 1, StoreError::None,
     StoreError::Unknown, true},
    {"largest value", R"({})", MaxStoreValueBytes, StoreError::None,
     StoreError::None, true},
    {"too large", R"({})", MaxStoreValueBytes + 1, StoreError::None,
     StoreError::Refused, false},
    {"not JSON", R"({"malformed_reply":"<html>"})", 1, StoreError::Unknown,
     StoreError::Unknown, true},
    {"no entry", R"({"malformed_reply":"[]"})", 1, StoreError::Unknown,
     StoreError::Unknown, true},
    {"bad base64",
     R"({"malformed_reply":"[{\"ModifyIndex\":3,\"Value\":\"a?==\"}]"})", 1,
     StoreError::Unknown, StoreError::Unknown, true},
    {"no index", R"({"malformed_reply":"[{\"Value\":\"YQ==\"}]"})", 1,
     StoreError::Unknown, StoreError::Unknown, true},
};

} // namespace

// Guards against a fault reported as success or as the wrong error, and against
// a write that took effect but is not returned by a later read.
BOOST_AUTO_TEST_CASE(faults_map_to_errors) {
  for (const FaultCase &Case : FaultCases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      Fixture Test;
      Json::Value Faults;
      BOOST_REQUIRE(Json::Reader().parse(Case.Faults_, Faults));
      const auto Decoded = decodeFaults(Faults);
      BOOST_REQUIRE(Decoded.has_value());
      Test.Server_.setFaults(*Decoded);
      BOOST_TEST((Test.read().Fault_.Code_ == Case.Read_));
      const std::string Value(Case.ValueBytes_, 'v');
      BOOST_TEST((Test.swap(Value, 0).Fault_.Code_ == Case.Write_));
      Test.Server_.setFaults({});
      const ReadOutcome After = Test.read();
      BOOST_REQUIRE(After.Entry_.has_value());
      BOOST_TEST((After.Entry_->Value_ == Value) == Case.WriteTakesEffect_);
    }
}

// Guards against lost updates: of two writers with the same index, the second
// must fail. The index of an absent key must create it.
BOOST_FIXTURE_TEST_CASE(compare_and_swap_needs_the_current_index, Fixture) {
  BOOST_TEST(read().Entry_.value().Index_ == 0);
  BOOST_TEST(swap("a", 0).Swapped_.value());
  const StoreEntry First = read().Entry_.value();
  BOOST_TEST(First.Value_ == "a");
  BOOST_TEST(!swap("b", 0).Swapped_.value());
  BOOST_TEST(swap(std::string("\0\xff", 2), First.Index_).Swapped_.value());
  BOOST_TEST(!swap("c", First.Index_).Swapped_.value());
  BOOST_TEST((read().Entry_.value().Value_ == std::string("\0\xff", 2)));
  BOOST_TEST(Calls_ == 7);
  BOOST_TEST(Server_.calls().Writes_ == 4);
}

// Guards against an unreachable service endpoint: a refused connection must not
// be reported as a write that may have taken effect, and the next endpoint must
// be used.
BOOST_FIXTURE_TEST_CASE(unreachable_endpoints_are_skipped, Fixture) {
  Store_.emplace(Context_, std::vector<Endpoint>{{"127.0.0.1", 1}},
                 ConsulTimeouts{300ms, 20ms}, nullptr);
  BOOST_TEST((swap("a", 0).Fault_.Code_ == StoreError::NotSent));
  Store_.emplace(Context_, std::vector<Endpoint>{}, ConsulTimeouts{}, nullptr);
  BOOST_TEST((read().Fault_.Code_ == StoreError::NotSent));
  Store_.emplace(
      Context_,
      std::vector<Endpoint>{{"127.0.0.1", 1}, {"127.0.0.1", Server_.port()}},
      ConsulTimeouts{300ms, 20ms}, nullptr);
  BOOST_TEST(swap("a", 0).Swapped_.value());
}

struct WatchCase {
  const char *Name_;
  bool KeyExists_;
  KeyValueFaults Faults_;
  bool Writes_;
  StoreError Error_;
  const char *Value_;
  bool Early_;
};

// Guards against a watch that misses a change, returns early without one, or
// never returns when the service stops sending events.
BOOST_AUTO_TEST_CASE(watches_wake_or_time_out) {
  const KeyValueFaults LostTail{.LoseWatchEvents_ = 1};
  const KeyValueFaults Frozen{.FreezeWatches_ = true};
  const WatchCase Cases[] = {
      {"change", true, {}, true, StoreError::None, "b", true},
      {"creation", false, {}, true, StoreError::None, "b", true},
      {"no change", true, {}, false, StoreError::None, "a", false},
      {"still absent", false, {}, false, StoreError::None, "", false},
      {"lost tail", true, LostTail, true, StoreError::None, "b", false},
      {"frozen", true, Frozen, true, StoreError::Unknown, "", false},
  };
  for (const WatchCase &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      Fixture Test;
      if (Case.KeyExists_)
        BOOST_REQUIRE(Test.swap("a", 0).Swapped_.value());
      const std::uint64_t Index = Test.read().Entry_.value().Index_;
      Test.Server_.setFaults(Case.Faults_);
      const auto Start = std::chrono::steady_clock::now();
      std::optional<ReadOutcome> Slot;
      Test.Store_->watch(Key, Index, 250ms, Fixture::storeIn(Slot));
      Test.Context_.run_for(50ms);
      BOOST_TEST(!Slot.has_value());
      if (Case.Writes_)
        BOOST_TEST(Test.swap("b", Index).Swapped_.value());
      const ReadOutcome Result = Test.await(Slot);
      const auto Took = std::chrono::steady_clock::now() - Start;
      BOOST_TEST((Took < 200ms) == Case.Early_);
      BOOST_TEST((Result.Fault_.Code_ == Case.Error_));
      if (Result.Entry_)
        BOOST_TEST(Result.Entry_->Value_ == Case.Value_);
    }
}

// Guards against a busy loop of requests when the service ignores the index.
BOOST_FIXTURE_TEST_CASE(watch_pauses_when_the_service_does_not_block, Fixture) {
  Server_.setFaults(
      {.MalformedReply_ = R"([{"ModifyIndex":3,"Value":"YQ=="}])"});
  std::optional<ReadOutcome> Slot;
  Store_->watch(Key, 3, 200ms, storeIn(Slot));
  BOOST_TEST(await(Slot).Entry_.value().Value_ == "a");
  BOOST_TEST(Calls_ <= 11); // one call and one pause of 20 ms each
}

// Guards against treating a server error as a rejection: a write answered with
// 5xx may have taken effect, one answered with 4xx has not.
BOOST_FIXTURE_TEST_CASE(statuses_map_to_errors, Fixture) {
  int Status = 0;
  HttpServer Answering(Context_, {"127.0.0.1", 0}, {},
                       [&](const HttpRequest &, const HttpRespond &Respond) {
                         Respond({Status, {}, "text"});
                       });
  BOOST_REQUIRE(Answering.listen());
  Store_.emplace(Context_,
                 std::vector<Endpoint>{{"127.0.0.1", Answering.port()}},
                 ConsulTimeouts{300ms, 20ms}, nullptr);
  const std::pair<int, StoreError> Cases[] = {
      {400, StoreError::Refused}, {403, StoreError::Refused},
      {413, StoreError::Refused}, {429, StoreError::Refused},
      {500, StoreError::Unknown}, {503, StoreError::Unknown}};
  for (const auto &[Code, Expected] : Cases)
    BOOST_TEST_CONTEXT(Code) {
      Status = Code;
      BOOST_TEST((read().Fault_.Code_ == Expected));
      BOOST_TEST((swap("a", 0).Fault_.Code_ == Expected));
    }
}
