/// \file
/// \brief Guards messages between entries and agents, and their order across
/// broken connections.
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using connection::PeerSession;
using namespace std::chrono_literals;

namespace {

connection::PeerMessage parse(const std::string &Line) {
  const auto Message =
      connection::parsePeerMessage(Line.data(), Line.data() + Line.size() - 1);
  BOOST_REQUIRE(Message);
  return *Message;
}

const char *const BadLines[] = {
    "",
    "{",
    "[]",
    "17",
    R"({"method":1,"params":{},"sequence":"x"})",
    R"({"method":[],"params":{}})",
    R"({"method":"order","sequence":-1,"params":{}})",
};

} // namespace

BOOST_AUTO_TEST_CASE(orders_survive_the_codec) {
  RunOrder Order;
  Order.Job_ = "0123456789abcdef";
  Order.Service_ = "permit-desk";
  Order.Payload_ = "text \"with\" quotes\n";
  Order.Needs_ = {3'100, 64, 1};
  Order.Expected_ = 60ms;
  Order.OnTimeIn_ = -5ms;
  Order.UsefulIn_ = 400ms;
  Order.Patience_ = 10ms;
  Order.MayMove_ = false;
  Order.Tasks_ = {{0, 1}, {7, 3}};
  MessageFault Why;
  const auto Read = decodeOrder(encodeOrder(Order), Why);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->Payload_ == Order.Payload_);
  BOOST_TEST((Read->Needs_ == Order.Needs_));
  BOOST_TEST((Read->OnTimeIn_ == Order.OnTimeIn_));
  BOOST_TEST((Read->Patience_ == Order.Patience_));
  BOOST_TEST(!Read->MayMove_);
  BOOST_REQUIRE(Read->Tasks_.size() == 2u);
  BOOST_TEST(Read->Tasks_[1].Index_ == 7u);
  BOOST_TEST(Read->Tasks_[1].Number_ == 3);
}

BOOST_AUTO_TEST_CASE(outcomes_and_reports_survive_the_codec) {
  MessageFault Why;
  const auto Outcome = decodeOutcome(
      encodeOutcome({"job", 3, request::RunEnd::Lapsed, 2, "no_progress"}),
      Why);
  BOOST_REQUIRE(Outcome);
  BOOST_TEST((Outcome->End_ == request::RunEnd::Lapsed));
  BOOST_TEST(Outcome->Reason_ == "no_progress");
  request::AgentReport Report;
  Report.Accepting_ = true;
  Report.Service_ = "permit-desk";
  Report.Labels_ = {"a", "r1-3"};
  Report.Free_ = {-3'000, 5, 0};
  Report.Waits_ = {1ms, 2ms, 3ms, 4ms};
  Report.Slowness_ = 1.25;
  const auto Read =
      decodeReport(encodeReport(Report, true), request::AgentReport{}, Why);
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read->Free_ == Report.Free_));
  BOOST_TEST((Read->Waits_ == Report.Waits_));
  BOOST_TEST(Read->Labels_.size() == 2u);
  Report.Accepting_ = false;
  const auto Next = decodeReport(encodeReport(Report, false), *Read, Why);
  BOOST_REQUIRE(Next);
  BOOST_TEST(!Next->Accepting_);
  BOOST_TEST(Next->Service_ == "permit-desk");
}

BOOST_AUTO_TEST_CASE(values_of_another_type_are_refused) {
  MessageFault Why;
  for (const char *Field : {"job", "needs", "expected_us", "tasks"}) {
    Json::Value Value = encodeOrder(RunOrder{});
    Value[Field] = Json::Value(Json::objectValue);
    Value[Field]["x"] = 1;
    BOOST_TEST_CONTEXT(Field) BOOST_TEST(!decodeOrder(Value, Why));
  }
  BOOST_TEST(!decodeOutcome(Json::Value(3), Why));
  BOOST_TEST(!decodeReport(Json::Value("x"), request::AgentReport{}, Why));
}

BOOST_AUTO_TEST_CASE(bad_lines_are_no_messages) {
  for (const std::string Line : BadLines)
    BOOST_TEST_CONTEXT(Line)
  BOOST_TEST(
      !connection::parsePeerMessage(Line.data(), Line.data() + Line.size()));
}

BOOST_AUTO_TEST_CASE(what_was_not_acknowledged_is_sent_again_in_order) {
  PeerSession Sender;
  PeerSession Receiver;
  const std::string First = Sender.number("order", "1");
  const std::string Second = Sender.number("order", "2");
  BOOST_TEST(Receiver.accept(parse(First)));
  // The connection breaks before the second arrives.
  const auto Again = Sender.unacknowledged();
  BOOST_REQUIRE(Again.size() == 2u);
  BOOST_TEST(!Receiver.accept(parse(Again[0])));
  BOOST_TEST(Receiver.accept(parse(Again[1])));
  BOOST_TEST(Sender.accept(parse(Receiver.unnumbered("heartbeat", "{}"))));
  BOOST_TEST(Sender.unacknowledged().empty());
}

BOOST_AUTO_TEST_CASE(a_gap_is_not_accepted) {
  PeerSession Sender;
  PeerSession Receiver;
  (void)Sender.number("order", "1");
  BOOST_TEST(!Receiver.accept(parse(Sender.number("order", "2"))));
  BOOST_TEST(Receiver.received() == 0u);
}
