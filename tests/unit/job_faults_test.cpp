/// \file
/// \brief Tests the guarantees to callers under random combinations of faults.
/// Each seed is one run; a failure names the seed.
#include "standins/job_cluster.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace wigeonwall;
using standins::CallFault;
using standins::JobCluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned Seeds = 150;
constexpr int Jobs = 40;

/// One run: submits and resubmits jobs while messages are lost and delayed and
/// agents die, freeze, restart and are partitioned.
class Scenario {
public:
  explicit Scenario(unsigned Seed) : Random_(Seed), Cluster_({6, 3, 3, 4}) {
    Cluster_.network().setFaultHook(
        [this](const std::string &, const std::string &, const std::string &) {
          return chooseFault();
        });
  }

  void run() {
    for (int I = 0; I < Jobs; ++I) {
      startJob(I);
      if (chance(0.15))
        injectFault();
      Cluster_.time().advance(milliseconds(uniform(1, 400)));
    }
    Cluster_.network().heal();
    Faulty_ = false;
    Cluster_.time().advance(seconds(120));
  }

  [[nodiscard]] const JobCluster &cluster() const { return Cluster_; }

private:
  int uniform(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random_);
  }
  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(Random_);
  }
  std::string agent() { return "a" + std::to_string(uniform(0, 5)); }
  std::string entry() { return "e" + std::to_string(uniform(0, 2)); }

  CallFault chooseFault() {
    CallFault Fault;
    if (!Faulty_)
      return Fault;
    Fault.LoseRequest_ = chance(0.02);
    Fault.LoseReply_ = chance(0.02);
    Fault.Refuse_ = chance(0.01);
    if (chance(0.02))
      Fault.RequestDelay_ = milliseconds(uniform(1, 3'000));
    return Fault;
  }

  void startJob(int Number) {
    const auto Spec = Cluster_.job("j" + std::to_string(Number),
                                   static_cast<unsigned>(uniform(1, 8)),
                                   static_cast<unsigned>(uniform(1, 600)));
    Cluster_.submit(entry(), Spec);
    for (int I = uniform(0, 3); I > 0; --I)
      Cluster_.time().after(
          milliseconds(uniform(0, 20'000)),
          [this, Spec, Entry = entry()] { Cluster_.submit(Entry, Spec); });
    if (chance(0.1))
      Cluster_.time().after(
          milliseconds(uniform(0, 1'000)),
          [this, Spec, Entry = entry()] { Cluster_.cancel(Entry, Spec.Key_); });
  }

  void injectFault() {
    const std::string Id = agent();
    if (Gone_.count(Id) != 0)
      return;
    switch (uniform(0, 4)) {
    case 0:
      return killAgent(Id);
    case 1:
      return Cluster_.network().freeze(Id, milliseconds(uniform(10, 3'000)));
    case 2:
      return freezeAndReplace(Id);
    case 3:
      return Cluster_.restart(Id);
    case 4:
      for (const char *Each : {"a0", "a1", "a2", "e0", "e1"})
        if (Id != Each && chance(0.5))
          Cluster_.network().cut(Id, Each);
      return;
    default:
      return;
    }
  }

  /// Kills an agent; the other processes learn of it at different times.
  void killAgent(const std::string &Id) {
    if (Gone_.size() >= 2)
      return;
    Gone_.insert(Id);
    Cluster_.kill(Id);
    announceRemoval(Id);
  }

  /// Freezes an agent long enough to be replaced; it resumes with its old
  /// state.
  void freezeAndReplace(const std::string &Id) {
    if (Gone_.size() >= 2)
      return;
    Gone_.insert(Id);
    Cluster_.network().freeze(Id, seconds(30));
    announceRemoval(Id);
  }

  void announceRemoval(const std::string &Id) {
    Cluster_.time().after(seconds(4), [this, Id] {
      Cluster_.removeFromMap(Id, {"a0"});
      for (const char *Each :
           {"a0", "a1", "a2", "a3", "a4", "a5", "e0", "e1", "e2"}) {
        if (Id == Each)
          continue;
        Cluster_.time().after(milliseconds(uniform(0, 2'000)),
                              [this, Id, Each] {
                                Cluster_.announceDead(Id, {Each});
                                Cluster_.publishMap({Each});
                              });
      }
    });
  }

  std::mt19937 Random_;
  JobCluster Cluster_;
  std::set<std::string> Gone_;
  bool Faulty_ = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults) {
  std::size_t Complete = 0;
  std::size_t Answers = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Scenario Run(Seed);
    Run.run();
    for (const std::string &Each : Run.cluster().violations())
      BOOST_ERROR("seed " << Seed << ": " << Each);
    BOOST_TEST(Run.cluster().answers().size() == Run.cluster().submissions(),
               "seed " << Seed << ": answers are missing");
    Answers += Run.cluster().answers().size();
    for (const auto &Each : Run.cluster().answers())
      Complete += Each.Answer_.Outcome_ == request::Outcome::Complete ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("complete: " << Complete << " of " << Answers);
  // The guarantees hold trivially if nothing runs, so most jobs must complete.
  BOOST_TEST(Complete * 2 > Answers);
}
