/// \file
/// \brief Tests that each invalid settings line is rejected with its position,
/// section and key.
#include "wigeonwall/process/settings/settings.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::process;
namespace request = wigeonwall::request;

namespace {

// The cases below rely on the line numbers; the agent section starts at
// line 10.
const std::string ValidAgent = "[process]\n"
                               "id = agent-1\n"
                               "role = agent\n"
                               "failure_domain = midrand\n"
                               "control_listen = 127.0.0.1:1\n"
                               "traffic_listen = 127.0.0.1:2\n"
                               "admin_listen = 0.0.0.0:3\n"
                               "seeds =\n"
                               "store = 127.0.0.1:8500,[::1]:8500\n"
                               "[agent]\n"
                               "service = permit-desk\n"
                               "minion = 127.0.0.1:4\n"
                               "slots = 8\n"
                               "connections = 64\n";

struct FaultCase {
  const char *Old_;
  std::string New_;
  SettingsError Code_;
  std::string ExpectedStart_;
};

// Each case replaces Old_ in the valid file by New_. The error must start with
// ExpectedStart_.
const FaultCase FaultCases[] = {
    {"slots = 8", "slots = 0", SettingsError::BadValue, "f:13: [agent] slots:"},
    {"slots = 8", "slots = 1025", SettingsError::BadValue,
     "f:13: [agent] slots: expected an integer from 1 to 1024"},
    {"slots = 8", "slots = 8x", SettingsError::BadValue,
     "f:13: [agent] slots:"},
    {"slots = 8", "slots = -1", SettingsError::BadValue,
     "f:13: [agent] slots:"},
    {"slots = 8", "slots = 99999999999999999999", SettingsError::BadValue,
     "f:13: [agent] slots:"},
    {"slots = 8\n", "", SettingsError::MissingKey, "f:10: [agent] slots: key"},
    {"slots = 8", "slots = 8\n slots = 8", SettingsError::DuplicateKey,
     "f:14: [agent] slots: key is set twice"},
    {"slots = 8", "slot = 8", SettingsError::UnknownKey,
     "f:13: [agent] slot: unknown key"},
    {"slots = 8", "slots 8", SettingsError::Syntax, "f:13: expected"},
    {"slots = 8", "slots = 8\nplacement = nearest", SettingsError::BadValue,
     "f:14: [agent] placement: expected one of random, two_choices"},
    {"slots = 8", "slots = 8\ndrain_timeout_ms = 600001",
     SettingsError::BadValue, "f:14: [agent] drain_timeout_ms:"},
    {"slots = 8", "slots = " + std::string(5000, ' ') + "8",
     SettingsError::Syntax, "f:13: line has"},
    {"slots = 8", "slots = 8\n[entry]", SettingsError::UnknownSection,
     "f:14: [entry]: section does not fit role \"agent\""},
    {"[agent]", "[agents]", SettingsError::UnknownSection,
     "f:10: [agents]: unknown section"},
    {"slots = 8", "slots = 8\n[empty]", SettingsError::UnknownSection,
     "f:14: [empty]: unknown section"},
    {"role = agent", "role = entry", SettingsError::UnknownSection,
     "f:10: [agent]: section does not fit role \"entry\""},
    {"[process]\n", "", SettingsError::UnknownKey, "f:1: [] id: unknown key"},
    {"role = agent", "role = home", SettingsError::BadValue,
     "f:3: [process] role: expected one of entry, agent"},
    {"role = agent\n", "", SettingsError::MissingKey, "f:1: [process] role:"},
    {"id = agent-1", "id = agent 1", SettingsError::BadValue,
     "f:2: [process] id:"},
    {"127.0.0.1:1\n", "0.0.0.0:1\n", SettingsError::BadValue,
     "f:5: [process] control_listen:"},
    {"127.0.0.1:1\n", "localhost:1\n", SettingsError::BadValue,
     "f:5: [process] control_listen: expected IP:PORT"},
    {"127.0.0.1:1\n", "127.0.0.1:0\n", SettingsError::BadValue,
     "f:5: [process] control_listen:"},
    {"127.0.0.1:2\n", "127.0.0.1:1\n", SettingsError::BadValue,
     "f:1: [process] traffic_listen: same address"},
    {"seeds =", "control_announce = 0.0.0.0:5\nseeds =",
     SettingsError::BadValue, "f:8: [process] control_announce:"},
    {"seeds =", "traffic_announce = 127.0.0.1:1\nseeds =",
     SettingsError::BadValue, "f:1: [process] traffic_announce: same address"},
    {"seeds =", "seeds = 127.0.0.1:5,", SettingsError::BadValue,
     "f:8: [process] seeds:"},
    {"seeds =", "seeds = 127.0.0.1:5,127.0.0.1:5", SettingsError::BadValue,
     "f:8: [process] seeds: address 127.0.0.1:5 is listed twice"},
    {"store = 127.0.0.1:8500,[::1]:8500", "store =", SettingsError::BadValue,
     "f:9: [process] store:"},
};

} // namespace

// Guards against an invalid file that is accepted, or whose error is reported
// at the wrong position.
BOOST_AUTO_TEST_CASE(every_invalid_file_is_rejected_with_its_position) {
  for (const FaultCase &Case : FaultCases) {
    std::string Text = ValidAgent;
    const std::size_t Offset = Text.find(Case.Old_);
    BOOST_REQUIRE(Offset != std::string::npos);
    Text.replace(Offset, std::string(Case.Old_).size(), Case.New_);
    SettingsFault Fault;
    BOOST_TEST_CONTEXT(Case.New_.substr(0, 40)) {
      BOOST_TEST(!parseSettings(Text, "f", Fault).has_value());
      BOOST_TEST((Fault.Code_ == Case.Code_));
      BOOST_TEST(describe(Fault).substr(0, Case.ExpectedStart_.size()) ==
                 Case.ExpectedStart_);
    }
  }
}

// Guards against values that are stored in the wrong field.
BOOST_AUTO_TEST_CASE(valid_settings_keep_their_values_and_defaults) {
  SettingsFault Fault;
  const auto Loaded = parseSettings(ValidAgent, "f", Fault);
  BOOST_REQUIRE_MESSAGE(Loaded.has_value(), describe(Fault));
  BOOST_TEST(Loaded->ControlListen_.Port_ == 1);
  BOOST_TEST(Loaded->TrafficListen_.Port_ == 2);
  BOOST_TEST(Loaded->AdminListen_.Port_ == 3);
  BOOST_TEST(Loaded->Seeds_.empty());
  BOOST_TEST(Loaded->Store_.at(1).Host_ == "::1");
  BOOST_TEST(Loaded->Agent_.Minion_.Port_ == 4);
  BOOST_TEST(Loaded->Agent_.DrainTimeout_.count() == 30'000);
  BOOST_TEST(
      (Loaded->Agent_.Placement_ == request::PlacementPolicy::LeastLoaded));
}

// Guards against a process that announces an address at which other processes
// cannot reach it.
BOOST_AUTO_TEST_CASE(announced_addresses_replace_the_listen_addresses) {
  SettingsFault Fault;
  const auto Plain = parseSettings(ValidAgent, "f", Fault);
  BOOST_REQUIRE_MESSAGE(Plain.has_value(), describe(Fault));
  BOOST_TEST(Plain->controlAddress().Port_ == 1);
  BOOST_TEST(Plain->trafficAddress().Port_ == 2);
  std::string Text = ValidAgent;
  Text.replace(Text.find("seeds ="), 0,
               "control_announce = 10.0.0.1:5\n"
               "traffic_announce = 10.0.0.1:6\n");
  const auto Loaded = parseSettings(Text, "f", Fault);
  BOOST_REQUIRE_MESSAGE(Loaded.has_value(), describe(Fault));
  BOOST_TEST(Loaded->ControlListen_.Port_ == 1);
  BOOST_TEST(Loaded->controlAddress().Host_ == "10.0.0.1");
  BOOST_TEST(Loaded->controlAddress().Port_ == 5);
  BOOST_TEST(Loaded->trafficAddress().Port_ == 6);
}

// Guards against inih splitting a line that is longer than its buffer.
BOOST_AUTO_TEST_CASE(long_line_is_one_line) {
  std::string Text = ValidAgent;
  Text.replace(Text.find("slots = 8"), 7, "slots =" + std::string(3000, ' '));
  SettingsFault Fault;
  const auto Loaded = parseSettings(Text, "f", Fault);
  BOOST_REQUIRE_MESSAGE(Loaded.has_value(), describe(Fault));
  BOOST_TEST(Loaded->Agent_.Slots_ == 8U);
}

// Guards against example files that the program rejects.
BOOST_AUTO_TEST_CASE(example_files_load) {
  for (const char *Path : {"examples/entry.ini", "examples/agent.ini"}) {
    SettingsFault Fault;
    BOOST_TEST_CONTEXT(Path) {
      BOOST_TEST(loadSettings(Path, Fault).has_value(), describe(Fault));
    }
  }
}

// Guards against a missing file that is treated as an empty one.
BOOST_AUTO_TEST_CASE(unreadable_file_is_an_error) {
  SettingsFault Fault;
  BOOST_TEST(!loadSettings("no/such/file.ini", Fault).has_value());
  BOOST_TEST((Fault.Code_ == SettingsError::Unreadable));
}
