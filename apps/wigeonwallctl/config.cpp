#include "wigeonwallctl/answer_output.h"
#include "wigeonwallctl/command.h"
#include "wigeonwallctl/config_output.h"

#include "wigeonwall/connection/consul_store.h"
#include "wigeonwall/process/configuration/config_writer.h"
#include "wigeonwall/request/codec.h"
#include "wigeonwall/version/config_codec.h"

#include <fstream>
#include <random>
#include <sstream>

namespace wigeonwall::ctl {

const char ConfigUsage[] =
    R"(Checks, compares and applies the configuration document.

Usage:
  wigeonwallctl config validate <file>
  wigeonwallctl config show [--store ADDR]... [--json]
  wigeonwallctl config diff <file> [--store ADDR]...
  wigeonwallctl config apply <file> [--store ADDR]... [--expect VERSION]
                             [--edit-id ID]
  wigeonwallctl config --help

Options:
  --store ADDR      Key-value service as IP:PORT; repeat it to name others
                    (default 127.0.0.1:8500).
  --expect VERSION  Apply only on top of this version (0: no document yet).
                    Without it the current document is replaced.
  --edit-id ID      Name of the edit. Give the same one to repeat an edit whose
                    outcome is unknown (default: chosen at random).
  --json            Print the stored document as JSON, ready to be edited.
  -h --help         Print this text.

Exit codes:
  0 valid, applied, or no difference; 1 conflict, or a difference (diff);
  2 usage, an unreadable file or an invalid document; 4 the key-value service
  gave no usable answer
)";

namespace {

constexpr const char *DefaultStore = "127.0.0.1:8500";

std::optional<version::Config> readDocument(const std::string &File,
                                            Console Streams) {
  std::ifstream Stream(File);
  if (!Stream) {
    reportError(Streams, "cannot read " + File, "check the path");
    return std::nullopt;
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  std::vector<version::ConfigFault> Faults;
  auto Document = version::parseConfig(Text.str(), Faults);
  if (!Document)
    printFaults(Streams, File, Faults);
  return Document;
}

/// Client of the key-value service with its own event loop; the callback of a
/// call stops the loop.
struct StoreSession {
  explicit StoreSession(std::vector<connection::Endpoint> Endpoints)
      : Store_(Context_, std::move(Endpoints), {}, [] {}) {}

  connection::asio::io_context Context_{1};
  connection::ConsulStore Store_;
};

std::string randomEditId() {
  std::random_device Source;
  std::ostringstream Text;
  Text << "edit-" << std::hex << Source() << Source();
  return Text.str();
}

int reportStoreError(Console Streams, const std::string &Message) {
  reportError(Streams, "no usable answer of the key-value service: " + Message,
              "check --store and try again");
  return ExitNoAnswer;
}

/// Reads the current document; on failure reports an error, sets \p Code and
/// returns no value.
std::optional<version::Config>
readStored(const std::vector<connection::Endpoint> &Store, Console Streams,
           int &Code) {
  StoreSession Session(Store);
  std::optional<connection::StoreEntry> Entry;
  connection::StoreFault Why;
  Session.Store_.read(process::ConfigKey, [&](auto Found, auto Fault) {
    Entry = std::move(Found);
    Why = std::move(Fault);
    Session.Context_.stop();
  });
  Session.Context_.run();
  Code = ExitNoAnswer;
  if (!Entry) {
    reportStoreError(Streams, Why.Message_);
    return std::nullopt;
  }
  Code = ExitComplete;
  if (Entry->Index_ == 0)
    return version::Config{};
  std::vector<version::ConfigFault> Faults;
  auto Stored = version::parseStoredConfig(Entry->Value_, Faults);
  if (Stored)
    return std::move(Stored->Config_);
  Code = ExitUsage;
  printFaults(Streams, "stored document", Faults);
  return std::nullopt;
}

int validate(const std::string &File, Console Streams) {
  if (!readDocument(File, Streams))
    return ExitUsage;
  Streams.Out_ << File << ": valid\n";
  return ExitComplete;
}

int show(const std::vector<connection::Endpoint> &Store, bool AsJson,
         Console Streams) {
  int Code = ExitComplete;
  const auto Stored = readStored(Store, Streams, Code);
  if (Stored)
    printConfig(Streams, *Stored, AsJson);
  return Code;
}

int diff(const std::string &File,
         const std::vector<connection::Endpoint> &Store, Console Streams) {
  const auto Document = readDocument(File, Streams);
  if (!Document)
    return ExitUsage;
  int Code = ExitComplete;
  const auto Stored = readStored(Store, Streams, Code);
  if (!Stored)
    return Code;
  const auto Changes = version::diffConfig(*Stored, *Document);
  printChanges(Streams.Out_, Changes);
  return Changes.empty() ? ExitComplete : ExitFailed;
}

int reportApply(const process::ConfigWriteResult &Result,
                const std::string &EditId, Console Streams) {
  using process::ConfigWriteOutcome;
  switch (Result.Outcome_) {
  case ConfigWriteOutcome::Applied:
    Streams.Out_ << "applied as version " << Result.Version_ << "\n";
    return ExitComplete;
  case ConfigWriteOutcome::Conflict:
    reportError(Streams,
                "version " + std::to_string(Result.Version_) +
                    " is in force; nothing was written",
                "compare the documents and apply again");
    printChanges(Streams.Err_, Result.Difference_);
    return ExitFailed;
  case ConfigWriteOutcome::Invalid:
  case ConfigWriteOutcome::StoredInvalid:
    printFaults(Streams, "document", Result.Faults_);
    return ExitUsage;
  case ConfigWriteOutcome::Unavailable:
  case ConfigWriteOutcome::Refused:
    return reportStoreError(Streams, Result.Message_ + "; nothing was written");
  case ConfigWriteOutcome::Unknown:
    break;
  }
  reportError(Streams, "unknown whether the edit took effect",
              "apply again with --edit-id " + EditId);
  return ExitNoAnswer;
}

int apply(const Arguments &Args, const std::vector<connection::Endpoint> &Store,
          Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  std::int64_t Expected = -1;
  std::string EditId = randomEditId();
  Reader.integer("--expect", 0, INT64_MAX, Expected);
  Reader.string("--edit-id", EditId);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  auto Document = readDocument(Args.at("<file>").asString(), Streams);
  if (!Document)
    return ExitUsage;
  StoreSession Session(Store);
  process::ConfigWriter Writer(Session.Store_,
                               process::asioDelay(Session.Context_), {});
  std::optional<std::uint64_t> Base;
  if (Expected >= 0)
    Base = static_cast<std::uint64_t>(Expected);
  int Code = ExitNoAnswer;
  Writer.apply(std::move(*Document), Base, EditId,
               [&](const process::ConfigWriteResult &Result) {
                 Code = reportApply(Result, EditId, Streams);
                 Session.Context_.stop();
               });
  Session.Context_.run();
  return Code;
}

} // namespace

int runConfig(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  std::vector<connection::Endpoint> Store;
  Reader.endpoints("--store", DefaultStore, Store);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  if (Reader.flag("validate"))
    return validate(Args.at("<file>").asString(), Streams);
  if (Reader.flag("show"))
    return show(Store, Reader.flag("--json"), Streams);
  if (Reader.flag("diff"))
    return diff(Args.at("<file>").asString(), Store, Streams);
  return apply(Args, Store, Streams);
}

} // namespace wigeonwall::ctl
