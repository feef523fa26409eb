#include "wigeonwallctl/admin_client.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>
#include <iomanip>
#include <map>

namespace wigeonwall::ctl {

const char MembersUsage[] =
    R"(Prints what one process knows: members by state, services, map epoch,
configuration version, its own load and the minions it sends no tasks to.

Usage:
  wigeonwallctl members [options]
  wigeonwallctl members --help

Options:
  --admin ADDR  Administration port of the process as IP:PORT (default
                127.0.0.1:7203).
  --json        Print the reply of the process as it is.
  -h --help     Print this text.

Exit codes:
  0 printed, 1 the process refused or its reply is not readable, 2 usage or
  bad input, 4 no reply
)";

namespace {

/// A field of a reply as text; "-" when it is empty or missing.
std::string textOf(const Json::Value &Object, const char *Name) {
  const Json::Value &Field = Object[Name];
  if (!Field.isString() && !Field.isIntegral())
    return "-";
  const std::string Text = Field.asString();
  return Text.empty() ? "-" : Text;
}

std::string joined(const Json::Value &Names) {
  std::string Text;
  for (const Json::Value &Name : Names)
    if (Name.isString())
      Text += (Text.empty() ? "" : ", ") + Name.asString();
  return Text.empty() ? "none" : Text;
}

void printMembers(std::ostream &Out, const Json::Value &Members) {
  std::map<std::string, unsigned> Counts;
  std::vector<Json::Value> Rows;
  for (const Json::Value &Each : Members) {
    if (!Each.isObject())
      continue;
    ++Counts[textOf(Each, "state")];
    Rows.push_back(Each);
  }
  std::sort(Rows.begin(), Rows.end(), [](const auto &A, const auto &B) {
    return textOf(A, "state") + " " + textOf(A, "id") <
           textOf(B, "state") + " " + textOf(B, "id");
  });
  Out << "members         ";
  for (const auto &[State, Count] : Counts)
    Out << " " << Count << " " << State;
  Out << "\n";
  for (const Json::Value &Row : Rows) {
    Out << " ";
    for (const auto &[Name, Width] :
         {std::pair{"state", 8}, std::pair{"id", 20}, std::pair{"role", 6},
          std::pair{"failure_domain", 16}, std::pair{"service", 20}})
      Out << " " << std::left << std::setw(Width) << textOf(Row, Name);
    Out << " " << textOf(Row, "traffic") << "\n";
  }
}

void printMinion(std::ostream &Out, const Json::Value &Minion) {
  if (!Minion.isObject())
    return;
  Out << "own minion       " << textOf(Minion, "state");
  const Json::Value &Causes = Minion["ejections"];
  if (Causes.isObject())
    for (const std::string &Cause : Causes.getMemberNames())
      Out << ", ejected " << textOf(Causes, Cause.c_str()) << " times for "
          << Cause;
  Out << "\n";
}

void printStatus(std::ostream &Out, const Json::Value &Status) {
  const Json::Value &Load = Status["load"];
  Out << "ready            " << (Status["ready"].asBool() ? "yes" : "no")
      << "\nmap epoch        " << textOf(Status, "map_epoch") << " with "
      << textOf(Status, "map_agents") << " agents"
      << "\nconfig version   " << textOf(Status, "config_version")
      << "\nservices         " << joined(Status["services"])
      << "\njobs             " << textOf(Load, "jobs_in_flight")
      << " in flight here, " << textOf(Load, "entry_jobs_waiting")
      << " waiting at this entry"
      << "\ntasks            " << textOf(Load, "tasks_queued") << " queued, "
      << textOf(Load, "tasks_running") << " running\n";
  printMinion(Out, Status["minion"]);
  Out << "ejected minions  " << joined(Status["ejected_minions"]) << "\n";
  printMembers(Out, Status["members"]);
}

/// The fields that are read without a check of their type.
bool isStatus(const Json::Value &Value) {
  return Value.isObject() && Value["ready"].isBool() &&
         (Value["load"].isObject() || Value["load"].isNull());
}

} // namespace

int runMembers(const Arguments &Args, Console Streams) {
  int Code = ExitComplete;
  const auto Reply = sendAdminRequest(Args, Streams, "GET", "/status", Code);
  if (!Reply)
    return Code;
  request::CodecFault Why;
  const auto Status = request::parseJson(Reply->Body_, Why);
  if (!Status || !isStatus(*Status)) {
    reportError(Streams, "the reply is not a status " + Why.Message_,
                "check that --admin names the admin_listen address of a "
                "wigeonwall process of this version");
    return ExitFailed;
  }
  if (Args.at("--json").asBool())
    Streams.Out_ << request::writeJson(*Status) << "\n";
  else
    printStatus(Streams.Out_, *Status);
  return ExitComplete;
}

} // namespace wigeonwall::ctl
