/// \file
/// \brief Tests the guarantees to callers under resubmission, process failures,
/// freezes and lost messages, with the real Home, MinionGateway and Entry in
/// virtual time.
#include "standins/job_cluster.h"

#include "wigeonwall/request/codec.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using request::Outcome;
using request::Reason;
using standins::JobCluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkGuarantees(const JobCluster &Cluster) {
  for (const std::string &Each : Cluster.violations())
    BOOST_ERROR(Each);
  BOOST_TEST(Cluster.answers().size() == Cluster.submissions());
}

} // namespace

BOOST_AUTO_TEST_CASE(a_job_gets_its_complete_answer) {
  JobCluster Cluster({});
  Cluster.submit("e0", Cluster.job("j", 40, 100));
  Cluster.time().advance(seconds(2));
  checkGuarantees(Cluster);
  BOOST_REQUIRE(Cluster.answers().size() == 1U);
  BOOST_TEST(Cluster.answers()[0].Answer_.Results_.size() == 40U);
}

BOOST_AUTO_TEST_CASE(jobs_that_can_never_run_fail_at_once) {
  struct Case {
    const char *Name_;
    std::function<void(request::JobSpec &)> Change_;
    Reason Expected_;
  };
  const Case Cases[] = {
      {"unknown kind", [](auto &Spec) { Spec.Kind_ = "none"; },
       Reason::UnknownKind},
      {"unknown team", [](auto &Spec) { Spec.Team_ = "none"; },
       Reason::UnknownTeam},
      {"timeout over the kind's bound",
       [](auto &Spec) { Spec.Timeout_ = std::chrono::minutes(6); },
       Reason::TimeoutTooLong},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.Name_) {
      JobCluster Cluster({});
      auto Spec = Cluster.job("j", 2, 10);
      Each.Change_(Spec);
      Cluster.submit("e0", Spec);
      Cluster.time().advance(milliseconds(50));
      BOOST_REQUIRE(Cluster.answers().size() == 1U);
      // "not_run" would invite the caller to submit it again.
      BOOST_TEST((Cluster.answers()[0].Answer_.Outcome_ == Outcome::Failed));
      BOOST_TEST((Cluster.answers()[0].Answer_.Reason_ == Each.Expected_));
      checkGuarantees(Cluster);
    }
  }
}

BOOST_AUTO_TEST_CASE(resubmission_joins_the_job_at_any_time) {
  // Resubmits through another entry: at once, while the job runs, and after it
  // has ended.
  for (const int DelayMs : {0, 1, 50, 5'000, 500'000}) {
    BOOST_TEST_CONTEXT("delay " << DelayMs << " ms") {
      JobCluster Cluster({});
      const auto Spec = Cluster.job("j", 3, 200);
      Cluster.submit("e0", Spec);
      Cluster.time().advance(milliseconds(DelayMs));
      Cluster.submit("e1", Spec);
      Cluster.time().advance(seconds(5));
      checkGuarantees(Cluster);
      for (const auto &Each : Cluster.answers())
        BOOST_TEST((Each.Answer_.Outcome_ == Outcome::Complete));
    }
  }
}

BOOST_AUTO_TEST_CASE(resubmission_after_the_retention_is_refused) {
  JobCluster Cluster({});
  const auto Spec = Cluster.job("j", 3, 200);
  Cluster.submit("e0", Spec);
  Cluster.time().advance(seconds(700));
  Cluster.submit("e1", Spec);
  Cluster.time().advance(seconds(5));
  checkGuarantees(Cluster);
  BOOST_TEST((Cluster.answers().back().Answer_.Reason_ == Reason::Expired));
}

BOOST_AUTO_TEST_CASE(resubmission_after_process_failures) {
  // Resubmits after the home, the copy holder or both died at some stage of the
  // job.
  struct Case {
    const char *Name_;
    bool KillHome_;
    bool KillCopy_;
    int KillAfterMs_;
  };
  const Case Cases[] = {
      {"home dies before the copy is prepared", true, false, 1},
      {"home dies while the job runs", true, false, 100},
      {"home dies after the answer", true, false, 1'000},
      {"copy holder dies before it is prepared", false, true, 1},
      {"copy holder dies while the job runs", false, true, 100},
      {"both die while the job runs", true, true, 100},
      {"both die after the answer", true, true, 1'000},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.Name_) {
      JobCluster Cluster({});
      const auto Spec = Cluster.job("j", 6, 300);
      const std::string Home = Cluster.homeOf(Spec);
      const std::string Copy = Cluster.copyOf(Spec);
      Cluster.submit("e0", Spec);
      Cluster.time().advance(milliseconds(Each.KillAfterMs_));
      for (const auto &[Kill, Id] :
           {std::pair(Each.KillHome_, Home), std::pair(Each.KillCopy_, Copy)})
        if (Kill)
          Cluster.kill(Id);
      Cluster.time().advance(seconds(5));
      for (const auto &[Kill, Id] :
           {std::pair(Each.KillHome_, Home), std::pair(Each.KillCopy_, Copy)})
        if (Kill) {
          Cluster.announceDead(Id);
          Cluster.removeFromMap(Id);
        }
      Cluster.submit("e1", Spec);
      Cluster.time().advance(seconds(40));
      checkGuarantees(Cluster);
    }
  }
}

BOOST_AUTO_TEST_CASE(frozen_home_resumes) {
  // The home is frozen for 30 s at each stage of a job, is replaced, and then
  // resumes with its old state.
  for (const int FreezeAfterMs : {0, 1, 2, 3, 4, 5, 100, 1'000}) {
    BOOST_TEST_CONTEXT("frozen after " << FreezeAfterMs << " ms") {
      JobCluster Cluster({});
      const auto Spec = Cluster.job("j", 6, 300, seconds(60));
      const std::string Home = Cluster.homeOf(Spec);
      Cluster.submit("e0", Spec);
      Cluster.time().advance(milliseconds(FreezeAfterMs));
      Cluster.network().freeze(Home, seconds(30));
      Cluster.time().advance(seconds(5));
      std::vector<std::string> Others{"a0", "a1", "a2", "a3", "e0", "e1"};
      std::erase(Others, Home);
      Cluster.announceDead(Home, Others);
      Cluster.removeFromMap(Home, Others);
      Cluster.submit("e1", Spec);
      Cluster.time().advance(seconds(90));
      checkGuarantees(Cluster);
    }
  }
}

BOOST_AUTO_TEST_CASE(frozen_copy_holder_delays_but_does_not_break) {
  for (const int FreezeAfterMs : {0, 1, 2, 3, 100}) {
    JobCluster Cluster({});
    const auto Spec = Cluster.job("j", 6, 300, seconds(60));
    Cluster.submit("e0", Spec);
    Cluster.time().advance(milliseconds(FreezeAfterMs));
    Cluster.network().freeze(Cluster.copyOf(Spec), seconds(30));
    Cluster.submit("e1", Spec);
    Cluster.time().advance(seconds(90));
    checkGuarantees(Cluster);
  }
}

BOOST_AUTO_TEST_CASE(
    waiting_home_queries_earlier_holders_again_after_a_map_change) {
  // The home is partitioned and waits for its copy holder while another home
  // runs the job. Once it is the home again, it must not run the job as well.
  JobCluster Cluster({});
  const auto Spec = Cluster.job("j", 3, 200, seconds(60));
  const std::string Home = Cluster.homeOf(Spec);
  std::vector<std::string> Others{"a0", "a1", "a2", "a3", "e0", "e1"};
  std::erase(Others, Home);
  for (const std::string &Each : Others)
    if (Each != "e0")
      Cluster.network().cut(Home, Each);
  Cluster.submit("e0", Spec);
  Cluster.time().advance(seconds(5));
  Cluster.announceDead(Home, Others);
  Cluster.removeFromMap(Home, Others);
  Cluster.submit("e1", Spec);
  Cluster.time().advance(seconds(5));
  BOOST_TEST(Cluster.startsOf("j") == 3U);
  Cluster.network().heal();
  Cluster.rejoin(Home);
  Cluster.time().advance(seconds(60));
  checkGuarantees(Cluster);
}

BOOST_AUTO_TEST_CASE(store_outage_leaves_a_dead_home_in_the_map) {
  // The map cannot change, so the entry has to query the copy holder.
  for (const int KillAfterMs : {1, 100, 1'000}) {
    JobCluster Cluster({});
    const auto Spec = Cluster.job("j", 6, 300, seconds(60));
    Cluster.submit("e0", Spec);
    Cluster.time().advance(milliseconds(KillAfterMs));
    Cluster.kill(Cluster.homeOf(Spec));
    Cluster.time().advance(seconds(5));
    Cluster.announceDead(Cluster.homeOf(Spec));
    Cluster.submit("e1", Spec);
    Cluster.time().advance(seconds(20));
    checkGuarantees(Cluster);
  }
}

BOOST_AUTO_TEST_CASE(refusal_through_the_copy_is_final) {
  // After the caller got not_run, the job must not run when a submission
  // reaches the home, even if the home was only unreachable.
  JobCluster Cluster({});
  const auto Spec = Cluster.job("j", 2, 50, seconds(60));
  const std::string Home = Cluster.homeOf(Spec);
  Cluster.network().cut("e0", Home);
  Cluster.submit("e0", Spec);
  Cluster.time().advance(seconds(20));
  BOOST_REQUIRE(Cluster.answers().size() == 1U);
  BOOST_TEST((Cluster.answers()[0].Answer_.Outcome_ == Outcome::NotRun));
  Cluster.submit("e1", Spec);
  Cluster.time().advance(seconds(70));
  BOOST_TEST(Cluster.startsOf("j") == 0U);
  checkGuarantees(Cluster);
}

BOOST_AUTO_TEST_CASE(unreadable_reply_to_a_start_places_nothing_again) {
  // A task may have started if its agent sends no valid reply, or replies that
  // another home sent the task before. It must not be placed again.
  const std::pair<const char *, Reason> Cases[] = {
      {R"({"state":"odd"})", Reason::DeadlineExceeded},
      {R"([])", Reason::DeadlineExceeded},
      {R"({"state":"refused","reason":"duplicate"})", Reason::OutcomeUnknown},
  };
  for (const auto &[Text, Expected] : Cases) {
    BOOST_TEST_CONTEXT(Text) {
      JobCluster Cluster({});
      request::CodecFault Why;
      const Json::Value Item = *request::parseJson(Text, Why);
      for (const char *Agent : {"a0", "a1", "a2", "a3"})
        Cluster.network().addMethod(
            Agent, "task.start", [Item](const Json::Value &Params) {
              Json::Value Reply;
              for (Json::ArrayIndex I = 0; I < Params["items"].size(); ++I)
                Reply["items"].append(Item);
              return Reply;
            });
      unsigned Placements = 0;
      Cluster.network().setFaultHook([&](const std::string &,
                                         const std::string &To,
                                         const std::string &Method) {
        static std::string First;
        if (Method == "task.start" && Placements++ == 0)
          First = To;
        if (Method == "task.start")
          BOOST_TEST(To == First);
        return standins::CallFault{};
      });
      Cluster.submit("e0", Cluster.job("j", 1, 10, seconds(5)));
      Cluster.time().advance(seconds(10));
      BOOST_REQUIRE(Cluster.answers().size() == 1U);
      BOOST_TEST((Cluster.answers()[0].Answer_.Outcome_ == Outcome::Failed));
      BOOST_TEST((Cluster.answers()[0].Answer_.Reason_ == Expected));
    }
  }
}

BOOST_AUTO_TEST_CASE(lost_agent_ends_its_jobs_with_a_stated_failure) {
  JobCluster Cluster({});
  const auto Spec = Cluster.job("j", 40, 500);
  const std::string Home = Cluster.homeOf(Spec);
  const std::string Victim = Home == "a0" ? "a1" : "a0";
  Cluster.submit("e0", Spec);
  Cluster.time().advance(milliseconds(100));
  Cluster.kill(Victim);
  Cluster.time().advance(seconds(4));
  Cluster.announceDead(Victim);
  Cluster.time().advance(seconds(2));
  checkGuarantees(Cluster);
  BOOST_REQUIRE(Cluster.answers().size() == 1U);
  BOOST_TEST((Cluster.answers()[0].Answer_.Reason_ == Reason::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(restarted_agents_run_new_jobs_and_no_old_ones) {
  JobCluster Cluster({});
  const auto Old = Cluster.job("old", 6, 300);
  Cluster.submit("e0", Old);
  Cluster.time().advance(seconds(1));
  for (const char *Id : {"a0", "a1", "a2", "a3"})
    Cluster.restart(Id);
  Cluster.time().advance(seconds(10));
  const auto New = Cluster.job("new", 6, 300);
  Cluster.submit("e0", New);
  Cluster.submit("e1", Old);
  Cluster.time().advance(seconds(40));
  checkGuarantees(Cluster);
  for (const auto &Each : Cluster.answers())
    if (Each.Key_.Id_ == "new")
      BOOST_TEST((Each.Answer_.Outcome_ == Outcome::Complete));
}

BOOST_AUTO_TEST_CASE(leaving_agent_returns_queued_tasks_and_finishes) {
  JobCluster Cluster({4, 3, 2, 2});
  for (int I = 0; I < 20; ++I)
    Cluster.submit("e0", Cluster.job("j" + std::to_string(I), 4, 300));
  Cluster.time().advance(milliseconds(200));
  Cluster.beginLeaving("a1");
  Cluster.time().advance(seconds(20));
  checkGuarantees(Cluster);
  BOOST_TEST(Cluster.drained("a1"));
  for (const auto &Each : Cluster.answers())
    BOOST_TEST((Each.Answer_.Outcome_ == Outcome::Complete));
}

// Guards against one `record.seal` per job for the whole record retention after
// a map change: a holder that was observed in the new epoch need not be queried
// about jobs created later.
BOOST_AUTO_TEST_CASE(earlier_holder_queries_end_soon_after_a_map_change) {
  JobCluster Cluster({});
  unsigned Seals = 0;
  Cluster.network().setFaultHook(
      [&](const std::string &, const std::string &, const std::string &Method) {
        Seals += Method == "record.seal" ? 1 : 0;
        return standins::CallFault{};
      });
  Cluster.restart("a1");
  const auto SubmitMany = [&](const std::string &Prefix) {
    for (int I = 0; I < 40; ++I)
      Cluster.submit("e0", Cluster.job(Prefix + std::to_string(I), 1, 10));
    Cluster.time().advance(seconds(10));
  };
  SubmitMany("early");
  BOOST_TEST(Seals > 0U);
  Seals = 0;
  SubmitMany("late");
  BOOST_TEST(Seals == 0U);
  checkGuarantees(Cluster);
}

// Guards against short jobs that wait for all tasks of a large job of their
// kind, and against a large job that is starved by short ones.
BOOST_AUTO_TEST_CASE(short_jobs_overtake_a_large_one) {
  JobCluster Cluster({1, 1, 1, 2});
  Cluster.submit("e0", Cluster.job("large", 100, 100));
  // The queue penalty of the large job is 99 * 50 ms, so no short job is
  // submitted later than that.
  for (int I = 0; I < 48; ++I) {
    Cluster.time().advance(milliseconds(100));
    Cluster.submit("e0", Cluster.job("short" + std::to_string(I), 1, 100));
  }
  Cluster.time().advance(seconds(1));
  BOOST_TEST(Cluster.answers().size() == 48U);
  Cluster.time().advance(seconds(20));
  checkGuarantees(Cluster);
  for (const auto &Each : Cluster.answers())
    BOOST_TEST((Each.Answer_.Outcome_ == Outcome::Complete));
}
