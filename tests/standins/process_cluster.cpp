#include "standins/process_cluster.h"

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/request/codec.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace wigeonwall::standins {

namespace asio = connection::asio;
using connection::Endpoint;
using connection::formatEndpoint;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds PollPeriod{10};
constexpr milliseconds StartTimeout{30'000};
constexpr milliseconds CtlTimeout{10'000};
/// Bounds the wait for a stopped or overloaded process, which is treated as
/// one that does not answer.
constexpr milliseconds HttpTimeout{1'000};
constexpr const char *Service = "permit-desk";
constexpr std::array<const char *, 3> FailureDomains{
    "joburg-north", "joburg-south", "pretoria-east"};
constexpr const char *ExampleConfig = "examples/permit-desk.json";
constexpr std::uint32_t FirstPort = 12'000;
constexpr std::uint32_t PortCount = 20'000;
constexpr const char *MinionPrefix = "minion-";

/// Returns loopback addresses whose ports were free when checked.
///
/// The ports are below the ephemeral range. Otherwise an outgoing connection
/// could take a port before its process listens or while it restarts.
std::vector<Endpoint> freeAddresses(std::size_t Count) {
  static std::uint32_t Next = static_cast<std::uint32_t>(getpid()) * 97;
  asio::io_context Context;
  std::vector<Endpoint> Result;
  while (Result.size() < Count) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    asio::ip::tcp::acceptor Probe(Context, asio::ip::tcp::v4());
    boost::system::error_code Error;
    Probe.bind({asio::ip::address_v4::loopback(), Port}, Error);
    if (!Error)
      Result.push_back({"127.0.0.1", Port});
  }
  return Result;
}

connection::HttpResult exchange(const Endpoint &Peer,
                                connection::HttpRequest Request) {
  asio::io_context Context;
  connection::HttpClient Client(Context, {});
  connection::HttpResult Received;
  Client.send(Peer, std::move(Request), HttpTimeout,
              [&](connection::HttpResult Result) {
                Received = std::move(Result);
                // Idle connections would keep Context.run() from returning.
                Context.stop();
              });
  Context.run();
  return Received;
}

/// Body of a reply with status 200; std::nullopt otherwise.
std::optional<std::string> get(const Endpoint &Peer, const std::string &Path) {
  auto Result = exchange(Peer, {"GET", Path, {}, {}});
  if (Result.Error_ != connection::TransportError::None ||
      Result.Response_.Status_ != 200)
    return std::nullopt;
  return std::move(Result.Response_.Body_);
}

void putFaults(const Endpoint &Peer, const Json::Value &Faults) {
  const auto Result = exchange(
      Peer, {"PUT", "/standin/faults", {}, request::writeJson(Faults)});
  if (Result.Error_ != connection::TransportError::None ||
      Result.Response_.Status_ != 200)
    throw std::runtime_error("cannot set the faults of " +
                             formatEndpoint(Peer) + " " + Result.Detail_);
}

std::string binaries() {
  const char *Directory = std::getenv("WIGEONWALL_BIN");
  if (Directory == nullptr)
    throw std::runtime_error("WIGEONWALL_BIN is not set");
  return Directory;
}

/// Directory for the files of the processes, see ProcessCluster.
std::string logDirectory(const TemporaryDirectory &Temporary) {
  const char *LogParent = std::getenv("WIGEONWALL_KEEP_LOGS");
  if (LogParent == nullptr)
    return Temporary.file("");
  std::string Pattern = std::string(LogParent) + "/cluster-XXXXXX";
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a directory in " +
                             std::string(LogParent));
  return Pattern + "/";
}

bool isAlive(const Json::Value &Member) { return Member["state"] == "alive"; }

} // namespace

ProcessCluster::ProcessCluster(ProcessClusterOptions Options)
    : Options_(Options), Binaries_(binaries()),
      Directory_(logDirectory(Temporary_)), Store_(freeAddresses(1).front()) {
  addNodes("agent", Options_.Agents_, 0);
  addNodes("entry", Options_.Entries_, Options_.SpareEntries_);
  for (const auto &[Name, Settings] : Nodes_)
    writeSettings(Name, Settings);
}

ProcessCluster::~ProcessCluster() {
  for (auto &[Name, Process] : Processes_)
    Process->signal(SIGKILL);
}

void ProcessCluster::addNodes(const std::string &Role, std::size_t Count,
                              std::size_t Spare) {
  const auto Addresses = freeAddresses((Count + Spare) * 4);
  for (std::size_t I = 0; I < Count + Spare; ++I)
    Nodes_[Role + "-" + std::to_string(I)] = {
        Role == "agent",     I >= Count,           FailureDomains[I % 3],
        Addresses[I * 4],    Addresses[I * 4 + 1], Addresses[I * 4 + 2],
        Addresses[I * 4 + 3]};
}

void ProcessCluster::writeSettings(const std::string &Name,
                                   const Node &Settings) const {
  std::string Seeds;
  for (const std::string &Entry : entries())
    Seeds +=
        (Seeds.empty() ? "" : ", ") + formatEndpoint(Nodes_.at(Entry).Control_);
  std::ofstream Out(file(Name + ".ini"));
  Out << "[process]\nid = " << Name
      << "\nrole = " << (Settings.Agent_ ? "agent" : "entry")
      << "\nfailure_domain = " << Settings.FailureDomain_
      << "\ncontrol_listen = " << formatEndpoint(Settings.Control_)
      << "\ntraffic_listen = " << formatEndpoint(Settings.Traffic_)
      << "\nadmin_listen = " << formatEndpoint(Settings.Admin_)
      << "\nseeds = " << Seeds << "\nstore = " << formatEndpoint(Store_)
      << "\n";
  if (Settings.Agent_)
    Out << "[agent]\nservice = " << Service
        << "\nminion = " << formatEndpoint(Settings.ServiceAddress_)
        << "\nslots = " << Options_.Slots_ << "\nconnections = 64\n";
  else
    Out << "[entry]\ncallers_listen = "
        << formatEndpoint(Settings.ServiceAddress_) << "\n";
}

void ProcessCluster::start() {
  startProcess("store");
  const std::string Config = writeConfig(baseConfig(), "config.json");
  const bool Applied = waitFor(CtlTimeout, [&] {
    return runCtl({"config", "apply", Config, "--store", storeAddress()},
                  CtlTimeout) == 0;
  });
  if (!Applied)
    throw std::runtime_error("cannot apply the configuration");
  for (const std::string &Agent : agents())
    startProcess(MinionPrefix + Agent);
  for (const auto &[Name, Settings] : Nodes_)
    if (!Settings.Spare_)
      startProcess(Name);
  if (!waitReady(StartTimeout))
    throw std::runtime_error("the processes were not ready before the timeout");
}

std::vector<std::string>
ProcessCluster::command(const std::string &Name) const {
  if (Name == "store")
    return {Binaries_ + "/tests/standin_key_value",
            "--listen=" + storeAddress()};
  if (!Name.starts_with(MinionPrefix))
    return {Binaries_ + "/apps/wigeonwall/wigeonwall",
            "--settings=" + file(Name + ".ini")};
  const std::string Agent = Name.substr(std::string(MinionPrefix).size());
  return {Binaries_ + "/tests/standin_minion",
          "--listen=" + formatEndpoint(Nodes_.at(Agent).ServiceAddress_),
          "--start-log=" + file(Agent + ".starts")};
}

void ProcessCluster::startProcess(const std::string &Name) {
  // Stops a previous process first, because it occupies the ports.
  Processes_.erase(Name);
  Processes_[Name] =
      std::make_unique<ChildProcess>(command(Name), file(Name + ".log"));
}

void ProcessCluster::signal(const std::string &Name, int Number) {
  Processes_.at(Name)->signal(Number);
}

std::optional<int> ProcessCluster::waitExit(const std::string &Name,
                                            milliseconds Timeout) {
  return Processes_.at(Name)->waitExit(Timeout);
}

bool ProcessCluster::waitReady(milliseconds Timeout) {
  const auto Running = runningNodes();
  const auto Agents = static_cast<std::size_t>(
      std::count_if(Running.begin(), Running.end(), [this](const auto &Name) {
        return Nodes_.at(Name).Agent_;
      }));
  return waitFor(Timeout, [&] {
    return std::all_of(Running.begin(), Running.end(), [&](const auto &Name) {
      return seesAll(Name, Running.size(), Agents);
    });
  });
}

bool ProcessCluster::waitFor(milliseconds Timeout,
                             const std::function<bool()> &Condition) {
  const auto End = steady_clock::now() + Timeout;
  while (!Condition()) {
    if (steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

bool ProcessCluster::seesAll(const std::string &Name, std::size_t Members,
                             std::size_t Agents) const {
  const auto View = status(Name);
  if (!View || !ready(Name) || (*View)["map_agents"].asUInt64() != Agents)
    return false;
  const Json::Value &Seen = (*View)["members"];
  return static_cast<std::size_t>(
             std::count_if(Seen.begin(), Seen.end(), isAlive)) == Members;
}

std::optional<Json::Value>
ProcessCluster::status(const std::string &Name) const {
  const auto Body = get(Nodes_.at(Name).Admin_, "/status");
  request::CodecFault Ignored;
  return Body ? request::parseJson(*Body, Ignored) : std::nullopt;
}

bool ProcessCluster::ready(const std::string &Name) const {
  return get(Nodes_.at(Name).Admin_, "/readyz").has_value();
}

double ProcessCluster::metric(const std::string &Name,
                              const std::string &Series) const {
  std::istringstream Lines(
      get(Nodes_.at(Name).Admin_, "/metrics").value_or(""));
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Series + " "))
      return std::strtod(Line.c_str() + Series.size(), nullptr);
  return 0;
}

void ProcessCluster::setStoreFaults(const Json::Value &Faults) const {
  putFaults(Store_, Faults);
}

void ProcessCluster::setMinionFaults(const std::string &Agent,
                                     const Json::Value &Faults) const {
  putFaults(Nodes_.at(Agent).ServiceAddress_, Faults);
}

std::unique_ptr<ChildProcess>
ProcessCluster::startCtl(const std::vector<std::string> &Arguments) {
  std::vector<std::string> Command{Binaries_ +
                                   "/apps/wigeonwallctl/wigeonwallctl"};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return std::make_unique<ChildProcess>(Command, file("ctl.log"));
}

std::optional<int>
ProcessCluster::runCtl(const std::vector<std::string> &Arguments,
                       milliseconds Timeout) {
  return startCtl(Arguments)->waitExit(Timeout);
}

Json::Value ProcessCluster::baseConfig() {
  std::ifstream In(ExampleConfig);
  std::stringstream Text;
  Text << In.rdbuf();
  request::CodecFault Fault;
  const auto Document = request::parseJson(Text.str(), Fault);
  if (!Document)
    throw std::runtime_error(std::string(ExampleConfig) + ": " +
                             Fault.Message_);
  return *Document;
}

std::string ProcessCluster::writeConfig(const Json::Value &Document,
                                        const std::string &Name) const {
  std::ofstream(file(Name)) << request::writeJson(Document);
  return file(Name);
}

std::vector<std::string>
ProcessCluster::starts(const std::string &Agent) const {
  std::ifstream In(file(Agent + ".starts"));
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

std::map<std::string, unsigned> ProcessCluster::startCounts() const {
  std::map<std::string, unsigned> Counts;
  for (const std::string &Agent : agents())
    for (const std::string &Line : starts(Agent))
      ++Counts[Line];
  return Counts;
}

std::vector<std::string> ProcessCluster::agents() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Settings] : Nodes_)
    if (Settings.Agent_)
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> ProcessCluster::entries() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Settings] : Nodes_)
    if (!Settings.Agent_)
      Names.push_back(Name);
  return Names;
}

std::vector<std::string> ProcessCluster::runningNodes() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Process] : Processes_)
    if (Nodes_.contains(Name) && Process->running())
      Names.push_back(Name);
  return Names;
}

Endpoint ProcessCluster::callers(const std::string &Entry) const {
  return Nodes_.at(Entry).ServiceAddress_;
}

std::string ProcessCluster::storeAddress() const {
  return formatEndpoint(Store_);
}

std::string ProcessCluster::file(const std::string &Name) const {
  return Directory_ + Name;
}

} // namespace wigeonwall::standins
