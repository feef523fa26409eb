/// \file
/// \brief Guards the whole path on the platform: the real programs as separate
/// processes, against the stand-in store and minions, with kills and outages.
#include "standins/child_process.h"
#include "standins/platform_minion_server.h"
#include "standins/platform_store_server.h"
#include "standins/temporary_directory.h"
#include "wigeonwall/process/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>

using namespace wigeonwall;
using namespace wigeonwall::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t FirstPort = 31'900;
constexpr int Agents = 3;

const char *const Document =
    R"({"version":%,"routes":[{"name":"r","host":"h.example","prefix":"/q/",)"
    R"("service":"permit-desk","target_latency_ms":300,"priority":0,)"
    R"("max_attempts":2,"slack_factor":3}]})";

std::string address(int Offset) {
  return "127.0.0.1:" + std::to_string(FirstPort + Offset);
}

connection::Endpoint endpoint(int Offset) {
  return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + Offset)};
}

/// Status of an answer; 0 without one.
int statusOf(const connection::HttpResult &Result) {
  return Result.Error_ == connection::TransportError::None
             ? Result.Response_.Status_
             : 0;
}

struct Fixture {
  TemporaryDirectory Directory_;
  process::EventLoop Loop_;
  PlatformStoreServer Store_{Loop_.context(), endpoint(0)};
  std::vector<std::unique_ptr<PlatformMinionServer>> Minions_;
  std::unique_ptr<ChildProcess> Entry_;
  std::vector<std::unique_ptr<ChildProcess>> Agents_;
  connection::HttpClient Client_{Loop_.context(), {}};
  int NextJob_ = 0;

  Fixture() {
    Store_.put("op/config", document(1));
    BOOST_REQUIRE(Store_.listen());
    for (int I = 0; I < Agents; ++I) {
      Minions_.push_back(std::make_unique<PlatformMinionServer>(
          Loop_.context(), endpoint(10 + I), endpoint(20 + I)));
      Minions_.back()->minion().Needs_ = {3'000, 64, 0};
      BOOST_REQUIRE(Minions_.back()->listen());
    }
    Loop_.start();
    for (int I = 0; I < Agents; ++I)
      Agents_.push_back(startAgent(I));
    Entry_ = startEntry();
    BOOST_REQUIRE(waitReady());
  }
  ~Fixture() {
    Entry_.reset();
    Agents_.clear();
    Loop_.stop();
  }

  static std::string document(int Version) {
    std::string Result = Document;
    return Result.replace(Result.find('%'), 1, std::to_string(Version));
  }

  std::unique_ptr<ChildProcess> launch(const std::string &Name,
                                       const std::string &Settings) {
    std::ofstream(Directory_.file(Name + ".ini")) << Settings;
    const char *Build = std::getenv("WIGEONWALL_BIN");
    BOOST_REQUIRE(Build != nullptr);
    return std::make_unique<ChildProcess>(
        std::vector<std::string>{
            std::string(Build) + "/apps/wigeonwall/wigeonwall", "--platform",
            "--settings=" + Directory_.file(Name + ".ini")},
        Directory_.file(Name + ".log"));
  }

  std::unique_ptr<ChildProcess> startEntry() {
    return launch("entry", "[process]\nid = entry\nrole = entry\n"
                           "failure_domain = z\npeers_listen = " +
                               address(1) + "\nmetrics_listen = " + address(2) +
                               "\nstore = " + address(0) +
                               "\ndrain_timeout_ms = 3000\n[entry]\n"
                               "callers_listen = " +
                               address(3) +
                               "\nreadiness_listen = " + address(4) + "\n");
  }

  std::unique_ptr<ChildProcess> startAgent(int Index) {
    const std::string Name = "agent" + std::to_string(Index);
    return launch(
        Name, "[process]\nid = " + Name +
                  "\nrole = agent\nfailure_domain = z\n"
                  "peers_listen = " +
                  address(30 + Index) + "\nmetrics_listen = " +
                  address(40 + Index) + "\nstore = " + address(0) +
                  "\n[agent]\nreports_listen = " + address(20 + Index) + "\n");
  }

  std::future<connection::HttpResult> send(int Offset,
                                           const std::string &Method,
                                           const std::string &Target,
                                           const std::string &Body = "") {
    auto Result = std::make_shared<std::promise<connection::HttpResult>>();
    Loop_.post([=, this] {
      connection::HttpRequest Request;
      Request.Method_ = Method;
      Request.Target_ = Target;
      Request.Headers_ = {{"host", "h.example"},
                          {"wigeonwall-deadline-ms", "4000"}};
      Request.Body_ = Body;
      Client_.send(endpoint(Offset), Request, 6s,
                   [Result](auto Reply) { Result->set_value(Reply); });
    });
    return Result->get_future();
  }

  std::future<connection::HttpResult> submit(int Tasks) {
    char Id[17];
    std::snprintf(Id, sizeof Id, "%016x", ++NextJob_);
    return send(3, "POST", std::string("/q/") + Id,
                R"({"spec":"x","best_effort":true,"steps":[{"count":)" +
                    std::to_string(Tasks) +
                    R"(,"cpu":3000,"ram_mb":64,"estimated_ms":100}]})");
  }

  bool waitReady() {
    for (int I = 0; I < 100; ++I) {
      if (statusOf(send(4, "GET", "/api/ready").get()) == 200 &&
          statusOf(submit(3).get()) == 200)
        return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Answers by status; 0 for none.
  std::map<int, int> load(int Jobs, std::chrono::milliseconds Pause,
                          const std::function<void(int)> &Meanwhile) {
    std::vector<std::future<connection::HttpResult>> Replies;
    for (int I = 0; I < Jobs; ++I) {
      Replies.push_back(submit(2));
      Meanwhile(I);
      std::this_thread::sleep_for(Pause);
    }
    std::map<int, int> Counts;
    for (auto &Each : Replies)
      ++Counts[statusOf(Each.get())];
    return Counts;
  }

  void checkMinions() {
    Loop_.run([this] {
      for (const auto &Each : Minions_)
        BOOST_TEST(Each->minion().Breaches_.empty());
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_path, Fixture)

BOOST_AUTO_TEST_CASE(a_calm_load_is_served_whole) {
  const auto Counts = load(60, 20ms, [](int) {});
  BOOST_TEST(Counts.at(200) == 60);
  checkMinions();
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_killed_costs_few_jobs) {
  const auto Counts = load(100, 20ms, [this](int I) {
    if (I == 30)
      Agents_[0]->signal(SIGKILL);
    if (I == 50)
      Agents_[0] = startAgent(0);
  });
  BOOST_TEST(Counts.at(200) >= 90);
  checkMinions();
}

BOOST_AUTO_TEST_CASE(an_outage_of_the_store_costs_no_job) {
  const auto Counts = load(60, 20ms, [this](int I) {
    if (I == 10 || I == 50)
      Loop_.run([this, I] { Store_.Busy_ = I == 10; });
  });
  BOOST_TEST(Counts.at(200) == 60);
}

BOOST_AUTO_TEST_CASE(lost_replies_break_no_capacity) {
  Loop_.run([this] {
    for (const auto &Each : Minions_) {
      Each->minion().StartFaults_ = {CallFault::None, CallFault::AppliedLate,
                                     CallFault::ReplyLost, CallFault::None,
                                     CallFault::AppliedLate};
      Each->minion().HoldFaults_ = {CallFault::None, CallFault::ReplyLost};
    }
  });
  const auto Counts = load(60, 15ms, [](int) {});
  BOOST_TEST(Counts.at(200) >= 55);
  checkMinions();
}

BOOST_AUTO_TEST_CASE(a_planned_stop_of_the_entry_cuts_nobody_off) {
  const auto Counts = load(40, 10ms, [this](int I) {
    if (I == 20)
      Entry_->signal(SIGTERM);
  });
  BOOST_TEST(Counts.count(0) == 0u);
  BOOST_TEST(Entry_->waitExit(5s).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(a_new_version_is_in_force_soon) {
  BOOST_TEST(statusOf(send(3, "GET", "/new/").get()) == 404);
  std::string Next = document(2);
  Next.replace(Next.find("/q/"), 3, "/new/");
  Loop_.run([this, &Next] { Store_.put("op/config", Next); });
  std::this_thread::sleep_for(500ms);
  BOOST_TEST(statusOf(send(3, "GET", "/new/").get()) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
