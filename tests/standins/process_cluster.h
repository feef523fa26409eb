/// \file
/// \brief Cluster of real processes on loopback, with stand-ins for the
/// services that it depends on.
#ifndef WIGEONWALL_STANDINS_PROCESS_CLUSTER_H
#define WIGEONWALL_STANDINS_PROCESS_CLUSTER_H

#include "standins/child_process.h"
#include "standins/temporary_directory.h"

#include "wigeonwall/connection/endpoint.h"

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::standins {

struct ProcessClusterOptions {
  std::size_t Agents_ = 6;
  std::size_t Entries_ = 2;
  /// Entries that get a settings file but are not started by start().
  std::size_t SpareEntries_ = 0;
  std::size_t Slots_ = 8;
};

/// \brief Starts and stops the processes of a cluster; every wait has a
/// timeout.
///
/// Processes are named `store`, `agent-N`, `minion-agent-N` and `entry-N`. The
/// environment variable WIGEONWALL_BIN gives the build directory. Agent N is in
/// failure domain N modulo 3. With WIGEONWALL_KEEP_LOGS=DIR the files of the
/// processes stay in a new directory below DIR.
///
/// \code
/// ProcessCluster Cluster({});
/// Cluster.start();
/// Cluster.signal("agent-0", SIGKILL);
/// \endcode
class ProcessCluster {
public:
  explicit ProcessCluster(ProcessClusterOptions Options);
  ~ProcessCluster();
  ProcessCluster(const ProcessCluster &) = delete;
  ProcessCluster &operator=(const ProcessCluster &) = delete;

  /// \brief Starts everything and waits until it is ready; throws otherwise.
  void start();
  /// \brief Starts one process with the settings it had before, if any.
  void startProcess(const std::string &Name);
  void signal(const std::string &Name, int Number);
  [[nodiscard]] std::optional<int> waitExit(const std::string &Name,
                                            std::chrono::milliseconds Timeout);
  /// \brief Waits until all running agents and entries see each other alive,
  /// and all running agents in the map.
  [[nodiscard]] bool waitReady(std::chrono::milliseconds Timeout);
  /// \brief Polls \p Condition until it is true or \p Timeout has passed;
  /// returns whether it became true.
  static bool waitFor(std::chrono::milliseconds Timeout,
                      const std::function<bool()> &Condition);

  /// \brief Body of `/status`; std::nullopt when the process does not answer.
  [[nodiscard]] std::optional<Json::Value>
  status(const std::string &Name) const;
  /// \brief Whether `/readyz` returns status 200.
  [[nodiscard]] bool ready(const std::string &Name) const;
  /// \brief Counter of `/metrics` by its series name; 0 when absent.
  [[nodiscard]] double metric(const std::string &Name,
                              const std::string &Series) const;

  /// \brief Sets the faults of the key-value service, see KeyValueFaults.
  void setStoreFaults(const Json::Value &Faults) const;
  /// \brief Sets the faults of one minion, see MinionFaults.
  void setMinionFaults(const std::string &Agent,
                       const Json::Value &Faults) const;

  /// \brief Runs `wigeonwallctl` with \p Arguments and waits for it; returns
  /// its exit code, or std::nullopt after \p Timeout. Its output goes to
  /// ctl.log.
  [[nodiscard]] std::optional<int>
  runCtl(const std::vector<std::string> &Arguments,
         std::chrono::milliseconds Timeout);
  /// \brief Starts `wigeonwallctl` without waiting for its end.
  [[nodiscard]] std::unique_ptr<ChildProcess>
  startCtl(const std::vector<std::string> &Arguments);

  /// \brief Writes \p Document to the file \p Name; returns the path.
  [[nodiscard]] std::string writeConfig(const Json::Value &Document,
                                        const std::string &Name) const;
  /// \brief Configuration that start() applies.
  [[nodiscard]] static Json::Value baseConfig();

  /// \brief Lines "SERVICE JOB TASK" of the start log of one minion.
  [[nodiscard]] std::vector<std::string> starts(const std::string &Agent) const;
  /// \brief Number of starts by line over all minions; more than 1 is a
  /// duplicate start.
  [[nodiscard]] std::map<std::string, unsigned> startCounts() const;

  [[nodiscard]] std::vector<std::string> agents() const;
  [[nodiscard]] std::vector<std::string> entries() const;
  [[nodiscard]] std::vector<std::string> runningNodes() const;
  [[nodiscard]] const std::string &
  failureDomain(const std::string &Name) const {
    return Nodes_.at(Name).FailureDomain_;
  }
  /// \brief Address where an entry accepts jobs from callers.
  [[nodiscard]] connection::Endpoint callers(const std::string &Entry) const;
  [[nodiscard]] std::string storeAddress() const;
  [[nodiscard]] std::string file(const std::string &Name) const;

private:
  /// Addresses of one entry or agent.
  struct Node {
    bool Agent_ = false;
    bool Spare_ = false;
    std::string FailureDomain_;
    connection::Endpoint Control_;
    connection::Endpoint Traffic_;
    connection::Endpoint Admin_;
    /// Address of an agent's minion, or where an entry listens for callers.
    connection::Endpoint ServiceAddress_;
  };

  void addNodes(const std::string &Role, std::size_t Count, std::size_t Spare);
  void writeSettings(const std::string &Name, const Node &Settings) const;
  [[nodiscard]] std::vector<std::string> command(const std::string &Name) const;
  [[nodiscard]] bool seesAll(const std::string &Name, std::size_t Members,
                             std::size_t Agents) const;

  ProcessClusterOptions Options_;
  std::string Binaries_;
  TemporaryDirectory Temporary_;
  std::string Directory_;
  connection::Endpoint Store_;
  std::map<std::string, Node> Nodes_;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes_;
};

} // namespace wigeonwall::standins

#endif
