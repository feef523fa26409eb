#include "sections.h"

#include "standins/job_cluster.h"
#include "standins/resource_usage.h"

#include "wigeonwall/process/runtime/event_loop.h"

#include <atomic>
#include <cstdio>

namespace wigeonwall::measure {

using standins::JobCluster;

namespace {

constexpr std::chrono::milliseconds SubmitInterval{5};

/// CPU time in seconds by message or timer.
using CpuTimes = std::map<std::string, double>;

/// Runs \p Jobs jobs, one per SubmitInterval, and returns the CPU time per job.
CpuTimes costPerJob(unsigned Agents, unsigned Tasks, unsigned Jobs) {
  JobCluster Cluster({Agents, 3, 2, 8});
  const auto Run = [&](const char *Prefix, unsigned Count) {
    for (unsigned I = 0; I < Count; ++I) {
      Cluster.submit("e0", Cluster.job(Prefix + std::to_string(I), Tasks, 0));
      Cluster.time().advance(SubmitInterval);
    }
    Cluster.time().advance(std::chrono::milliseconds(50));
  };
  Run("warm", Jobs / 4 + 1);
  const std::size_t Before = Cluster.answers().size();
  CpuTimes Used;
  Cluster.network().setMeter([&Used](const std::string &What, double Seconds) {
    Used[What] += Seconds;
  });
  Run("job", Jobs);
  const auto Answers = double(Cluster.answers().size() - Before);
  // Measures an idle period to subtract the timers of idle processes.
  CpuTimes Idle;
  Cluster.network().setMeter([&Idle](const std::string &What, double Seconds) {
    Idle[What] += Seconds;
  });
  Cluster.time().advance(SubmitInterval * Jobs + std::chrono::milliseconds(50));
  Cluster.network().setMeter(nullptr);
  if (Answers != Jobs || !Cluster.violations().empty())
    std::printf("not all jobs were answered: %.0f of %u\n", Answers, Jobs);
  Used["timer"] -= Idle["timer"];
  for (auto &[What, Seconds] : Used)
    Seconds /= Jobs;
  return Used;
}

/// CPU time per job and per task, derived from jobs of 1 and of 170 tasks.
struct Slope {
  double Job_ = 0;
  double Task_ = 0;
};

void addSlopes(Slope &Sum, const CpuTimes &One, const CpuTimes &Many,
               const std::vector<std::string> &Names) {
  for (const std::string &Name : Names) {
    const auto At = [&](const CpuTimes &Each) {
      const auto Found = Each.find(Name);
      return Found == Each.end() ? 0.0 : Found->second;
    };
    const double Task = (At(Many) - At(One)) / 169;
    Sum.Task_ += Task;
    Sum.Job_ += At(One) - Task;
  }
}

void printSlopes(unsigned Agents, unsigned Jobs) {
  const CpuTimes One = costPerJob(Agents, 1, Jobs);
  const CpuTimes Some = costPerJob(Agents, 20, Jobs / 4);
  const CpuTimes Many = costPerJob(Agents, 170, Jobs / 10);
  const auto Total = [](const CpuTimes &Each) {
    double Sum = 0;
    for (const auto &[What, Seconds] : Each)
      Sum += Seconds;
    return Sum * 1e6;
  };
  std::printf("%u agents: all processes together %.0f us per job of 1 task, "
              "%.0f of 20, %.0f of 170\n",
              Agents, Total(One), Total(Some), Total(Many));
  Slope Home;
  Slope Copy;
  Slope Gateway;
  addSlopes(Home, One, Many,
            {"handle job.submit", "send record.prepare", "reply record.prepare",
             "send task.start", "reply task.start", "handle task.results",
             "send record.finish", "reply record.finish", "send job.finished",
             "reply job.finished"});
  addSlopes(Copy, One, Many, {"handle record.prepare", "handle record.finish"});
  addSlopes(Gateway, One, Many,
            {"handle task.start", "send task.results", "reply task.results"});
  // Timers belong to no message: scheduling of the job at the home, once per
  // job, and completion of minion calls at the gateway, once per task.
  Slope Timers;
  addSlopes(Timers, One, Many, {"timer"});
  Home.Job_ += Timers.Job_;
  Gateway.Task_ += Timers.Task_;
  for (const auto &[Name, Each] :
       {std::pair("home", Home), std::pair("copy holder", Copy),
        std::pair("gateway", Gateway)})
    std::printf("%u agents, %s: %.1f us per job + %.2f us per task\n", Agents,
                Name, Each.Job_ * 1e6, Each.Task_ * 1e6);
  for (const auto &[What, Seconds] : Many)
    std::printf("    %-22s %8.1f us per job of 170, %6.1f of 1\n", What.c_str(),
                Seconds * 1e6, One.count(What) ? One.at(What) * 1e6 : 0.0);
}

/// Returns the parameters of a task.start call as a home sends it.
Json::Value makeStartMessage(unsigned Items) {
  Json::Value Params;
  Params["home"]["id"] = "a17";
  Params["home"]["incarnation"] = Json::Int64(1'790'000'000'000);
  Params["home"]["address"] = "10.20.0.18:7401";
  Params["epoch"] = 17;
  Json::Value List(Json::arrayValue);
  for (unsigned I = 0; I < Items; ++I) {
    Json::Value Item;
    Item["service"] = "permit-desk";
    Item["id"] = "0000007b-7c1e-4b1f-9f3d-00000000007b";
    Item["task"] = I;
    Item["attempt"] = 1;
    Item["to_incarnation"] = Json::Int64(1'790'000'000'000);
    Item["kind"] = "setback-check";
    Item["timeout_ms"] = 30'000;
    Item["payload"]["note"] = std::string(180, 'x');
    List.append(Item);
  }
  Params["items"] = List;
  return Params;
}

double cpuSeconds(process::EventLoop &Loop) {
  double Used = 0;
  Loop.run([&Used] { Used = standins::threadCpuSeconds(); });
  return Used;
}

} // namespace

void jobCosts() {
  printSlopes(11, 2'000);
  printSlopes(620, 400);
}

void callCosts() {
  constexpr unsigned Calls = 2'000;
  constexpr unsigned Parallel = 8;
  for (const unsigned Items : {1U, 20U, 170U}) {
    process::EventLoop CallerLoop;
    process::EventLoop ReceiverLoop;
    connection::RpcServer Server(ReceiverLoop.context(), {"127.0.0.1", 0}, {},
                                 {});
    Server.addMethod("task.start", [](const Json::Value &Params) {
      Json::Value Reply;
      for (Json::ArrayIndex I = 0; I < Params["items"].size(); ++I)
        Reply["items"][I]["state"] = "queued";
      return Reply;
    });
    if (!Server.listen())
      return;
    connection::RpcClient Client(CallerLoop.context(), {}, {});
    const Json::Value Params = makeStartMessage(Items);
    std::atomic<unsigned> Left = Calls;
    std::atomic<unsigned> Failed = 0;
    std::function<void()> Next = [&] {
      Client.call({"127.0.0.1", Server.port()}, "task.start", Params,
                  std::chrono::seconds(5), [&](const auto &Result) {
                    Failed += Result.ok() ? 0 : 1;
                    if (Left.fetch_sub(1) > Parallel)
                      Next();
                  });
    };
    CallerLoop.start();
    ReceiverLoop.start();
    const double CallerCpuBefore = cpuSeconds(CallerLoop);
    const double ReceiverCpuBefore = cpuSeconds(ReceiverLoop);
    for (unsigned I = 0; I < Parallel; ++I)
      CallerLoop.post(Next);
    while (Left != 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::printf("call with %u items: %.1f us at the caller, %.1f us at the "
                "receiver (%u failed)\n",
                Items, (cpuSeconds(CallerLoop) - CallerCpuBefore) / Calls * 1e6,
                (cpuSeconds(ReceiverLoop) - ReceiverCpuBefore) / Calls * 1e6,
                Failed.load());
    CallerLoop.stop();
    ReceiverLoop.stop();
  }
}

} // namespace wigeonwall::measure
