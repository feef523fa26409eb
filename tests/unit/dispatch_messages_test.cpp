/// \file
/// \brief Tests the codec of messages between entries and agents, and their
/// order across reconnections.
#include "wigeonwall/connection/msgpack_codec.h"
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using connection::PeerSession;
using namespace std::chrono_literals;

namespace {

/// Parses a frame; \p Frame has to outlive the result.
connection::PeerMessage parse(const std::string &Frame) {
  const std::string_view Bytes = Frame;
  BOOST_REQUIRE(connection::readFrameLength(Bytes) ==
                Bytes.size() - connection::FrameHeaderBytes);
  const auto Message =
      connection::parsePeerMessage(Bytes.substr(connection::FrameHeaderBytes));
  BOOST_REQUIRE(Message);
  return *Message;
}

std::vector<std::string> malformedMessages() {
  return {"", "{", "[]", connection::pack(17),
          connection::pack("order", "x", 0, "params"),
          connection::pack("order", -1, 0, "params"),
          connection::pack(std::vector<int>{}, 0, 0, "params"),
          connection::pack("order", 0, 0, "params", "more"),
          connection::pack("order", 0, 0, "params") + "rest",
          connection::pack("order", 0, 0, "params").substr(0, 5),
          // Strings and arrays that are longer than the message.
          "\x94\xdb\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
          // Deeply nested arrays.
          std::string(100'000, '\x91'),
          // Arrays in the place of a field.
          std::string("\x94\xa1m\x00\x00\x91\x91\x91\x01", 9)};
}

} // namespace

BOOST_AUTO_TEST_CASE(orders_round_trip) {
  RunOrder Order;
  Order.Job_ = "0123456789abcdef";
  Order.Service_ = "permit-desk";
  Order.RequiredLabel_ = "b";
  Order.Payload_ = "text \"with\" quotes\n";
  Order.Needs_ = {3'100, 64, 1};
  Order.Expected_ = 60ms;
  Order.TimeToDeadline_ = -5ms;
  Order.TimeToExpiry_ = 400ms;
  Order.MaxWait_ = 10ms;
  Order.MayDecline_ = false;
  Order.AgentClockMs_ = 482'113;
  Order.Tasks_ = {{0, 1}, {7, 3}};
  MessageFault Fault;
  const auto Read = decodeOrder(encodeOrder(Order), Fault);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->RequiredLabel_ == "b");
  BOOST_TEST(Read->Payload_ == Order.Payload_);
  BOOST_TEST((Read->Needs_ == Order.Needs_));
  BOOST_TEST((Read->TimeToDeadline_ == Order.TimeToDeadline_));
  BOOST_TEST((Read->MaxWait_ == Order.MaxWait_));
  BOOST_TEST(!Read->MayDecline_);
  BOOST_TEST(Read->AgentClockMs_ == 482'113);
  BOOST_REQUIRE(Read->Tasks_.size() == 2u);
  BOOST_TEST(Read->Tasks_[1].Index_ == 7u);
  BOOST_TEST(Read->Tasks_[1].Number_ == 3);
}

// An agent keeps the texts of an order while its tasks wait.
BOOST_AUTO_TEST_CASE(texts_of_an_order_have_a_limit) {
  for (const std::size_t Bytes : {4'096, 4'097})
    for (std::string RunOrder::*Text :
         {&RunOrder::Payload_, &RunOrder::RequiredLabel_}) {
      RunOrder Order;
      Order.*Text = std::string(Bytes, 'x');
      MessageFault Fault;
      BOOST_TEST(decodeOrder(encodeOrder(Order), Fault).has_value() ==
                 (Bytes == 4'096));
    }
}

BOOST_AUTO_TEST_CASE(outcomes_and_reports_round_trip) {
  MessageFault Fault;
  const auto Outcome = decodeOutcome(
      encodeOutcome({"job", 3, request::RunEnd::Lapsed, 2, "no_progress"}),
      Fault);
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
  Report.ReportsChanges_ = false;
  Report.AgentClockMs_ = 482'113;
  const auto Read =
      decodeReport(encodeReport(Report, true), request::AgentReport{}, Fault);
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read->Free_ == Report.Free_));
  BOOST_TEST((Read->Waits_ == Report.Waits_));
  BOOST_TEST(!Read->ReportsChanges_);
  BOOST_TEST(Read->AgentClockMs_ == 482'113);
  BOOST_TEST(Read->Labels_.size() == 2u);
  Report.Accepting_ = false;
  const auto Next = decodeReport(encodeReport(Report, false), *Read, Fault);
  BOOST_REQUIRE(Next);
  BOOST_TEST(!Next->Accepting_);
  // Reports carry no failure domain; a separate message does.
  BOOST_TEST(Read->FailureDomain_.empty());
  BOOST_TEST(decodeFailureDomain(encodeFailureDomain("north"), Fault).value() ==
             "north");
  BOOST_TEST(!decodeFailureDomain(connection::pack(3), Fault));
  BOOST_TEST(decodeEvacuations(encodeEvacuations("{}"), Fault).value() == "{}");
  BOOST_TEST(!decodeEvacuations("{}", Fault));
  BOOST_TEST(Next->Service_ == "permit-desk");
}

// A process of the previous build ignores a report with a profile, so only
// entries that ask for it get it.
BOOST_AUTO_TEST_CASE(profiles_are_an_optional_last_field) {
  MessageFault Fault;
  request::AgentReport Report;
  const std::string Without = encodeReport(Report, true);
  for (int I = 0; I < 8; ++I)
    BOOST_TEST(Report.Profile_.append(
        {I * 185ms, I * 1'400 - 1'000, 65'536 - 64 * I}));
  BOOST_TEST(encodeReport(Report, true) == Without);
  const std::string With = encodeReport(Report, true, true);
  BOOST_TEST(With.size() <= Without.size() + 72);
  const auto Read = decodeReport(With, {}, Fault);
  BOOST_REQUIRE(Read);
  BOOST_TEST(std::equal(
      Read->Profile_.steps().begin(), Read->Profile_.steps().end(),
      Report.Profile_.steps().begin(), Report.Profile_.steps().end()));
  const auto Next = decodeReport(Without, *Read, Fault);
  BOOST_REQUIRE(Next);
  BOOST_TEST(Next->Profile_.empty());
  BOOST_TEST(queryAsksForProfiles(encodeQuery(true)));
  BOOST_TEST(!queryAsksForProfiles(encodeQuery()));
  BOOST_TEST(!queryAsksForProfiles("?"));
}

BOOST_AUTO_TEST_CASE(rejects_malformed_profiles) {
  using Values = std::vector<std::int64_t>;
  const auto Decode = [](const Values &Profile) {
    MessageFault Fault;
    return decodeReport(connection::pack(true, 1, true, 0, 0, 0, 1'000, 0, 0, 0,
                                         0, std::optional<std::string>(),
                                         Profile),
                        {}, Fault)
        .has_value();
  };
  BOOST_TEST(Decode({}));
  BOOST_TEST(Decode({0, 1, 1, 1'500, -5, 1}));
  BOOST_TEST(!Decode({0, 1}));
  BOOST_TEST(!Decode({-1, 1, 1}));
  BOOST_TEST(!Decode({0, 1, 1, 0, 1, 1}));
  BOOST_TEST(!Decode({1'501, 1, 1}));
  BOOST_TEST(!Decode({0, std::int64_t{1} << 62, 1}));
  Values Long;
  for (int I = 0; I < 9; ++I)
    Long.insert(Long.end(), {1, 1, 1});
  BOOST_TEST(!Decode(Long));
}

BOOST_AUTO_TEST_CASE(rejects_values_of_the_wrong_type) {
  MessageFault Fault;
  const std::vector<std::int64_t> Tasks{0, 1};
  const auto Order = [&](const auto &Job, const auto &Cpu, const auto &Time,
                         const auto &Listed) {
    return connection::pack(Job, "s", "", "p", Cpu, 0, 0, Time, 0, 0, 0, true,
                            0, Listed);
  };
  BOOST_TEST(decodeOrder(Order("j", 1, 1, Tasks), Fault).has_value());
  for (const std::string &Bytes :
       {Order(5, 1, 1, Tasks), Order("j", "needs", 1, Tasks),
        Order("j", Tasks, 1, Tasks), Order("j", 1, "soon", Tasks),
        Order("j", 1, 1, "tasks"), Order("j", 1, 1, std::vector<int>{1}),
        Order("j", 1, 1, std::vector<int>{-1, 1}),
        Order("j", 1, 1, std::vector<std::int64_t>{1LL << 32, 1}),
        Order("j", -1, 1, Tasks), Order("j", 1, 1LL << 62, Tasks),
        // An order of a build without the agent's clock.
        connection::pack("j", "s", "", "p", 1, 0, 0, 1, 0, 0, 0, true, Tasks),
        connection::pack("j", "s", "p")}) {
    Fault = {};
    BOOST_TEST(!decodeOrder(Bytes, Fault).has_value());
    BOOST_TEST((Fault.Code_ == MessageError::Malformed));
    BOOST_TEST(!Fault.Message_.empty());
  }
  BOOST_TEST(!decodeOutcome(connection::pack(3), Fault).has_value());
  BOOST_TEST(!decodeOutcome(connection::pack("j", 0, "vanished", 1, ""), Fault)
                  .has_value());
  BOOST_TEST(!decodeReport(connection::pack("x"), request::AgentReport{}, Fault)
                  .has_value());
  // Figures whose sums would overflow.
  const auto Report = [](std::int64_t Clock, std::int64_t Cpu,
                         std::int64_t Slowness, std::int64_t Capacity) {
    return connection::pack(
        true, Clock, true, Cpu, 0, 0, Slowness, 0, 0, 0, 0,
        std::optional<std::string>(
            connection::pack("s", Capacity, 0, 0, std::vector<std::string>{})));
  };
  const request::AgentReport None;
  BOOST_TEST(decodeReport(Report(1, -1, 1'000, 1), None, Fault).has_value());
  for (const std::string &Bytes :
       {Report(-1, 1, 1, 1), Report(INT64_MAX, 1, 1, 1),
        Report(1, INT64_MIN, 1, 1), Report(1, INT64_MAX, 1, 1),
        Report(1, 1, 0, 1), Report(1, 1, -1, 1), Report(1, 1, INT64_MAX, 1),
        Report(1, 1, 1, -1), Report(1, 1, 1, INT64_MAX)})
    BOOST_TEST(!decodeReport(Bytes, None, Fault).has_value());
  for (const std::int64_t Number : {std::int64_t{-1}, INT64_MAX, INT64_MIN}) {
    BOOST_TEST(
        !decodeOutcome(connection::pack("j", 0, "done", Number, ""), Fault)
             .has_value());
    BOOST_TEST(
        !decodeOrder(Order("j", 1, 1, std::vector{std::int64_t{0}, Number}),
                     Fault)
             .has_value());
    BOOST_TEST(!decodeOrder(Order("j", Number, 1, Tasks), Fault).has_value());
  }
  BOOST_TEST(!decodeHello(connection::pack("entry"), Fault).has_value());
  BOOST_TEST(!decodeWelcome(connection::pack("yes"), Fault).has_value());
  BOOST_TEST(!decodeCancel("", Fault).has_value());
  for (const std::int64_t Clock : {std::int64_t{-1}, INT64_MAX})
    BOOST_TEST(!decodeHeartbeat(encodeHeartbeat(Clock), Fault).has_value());
  BOOST_TEST(!decodeHeartbeat(connection::pack(), Fault).has_value());
}

BOOST_AUTO_TEST_CASE(hello_welcome_and_cancel_round_trip) {
  MessageFault Fault;
  const auto Hello = decodeHello(encodeHello({"entry@1", "7"}), Fault);
  BOOST_REQUIRE(Hello);
  BOOST_TEST(Hello->Entry_ == "entry@1");
  BOOST_TEST(Hello->Session_ == "7");
  BOOST_TEST(decodeWelcome(encodeWelcome(true), Fault).value());
  BOOST_TEST(decodeCancel(encodeCancel("job"), Fault).value() == "job");
  BOOST_TEST(decodeHeartbeat(encodeHeartbeat(482'113), Fault).value() ==
             482'113);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_frames) {
  const auto Messages = malformedMessages();
  for (std::size_t I = 0; I < Messages.size(); ++I)
    BOOST_TEST_CONTEXT(I)
  BOOST_TEST(!connection::parsePeerMessage(Messages[I]).has_value());
}

// A truncated order is rejected; an order with one changed byte is decoded or
// rejected without a crash.
BOOST_AUTO_TEST_CASE(decodes_or_rejects_corrupted_orders) {
  RunOrder Order;
  Order.Job_ = "job";
  Order.Tasks_ = {{0, 1}, {1, 2}};
  const std::string Valid = encodeOrder(Order);
  MessageFault Fault;
  for (std::size_t I = 0; I < Valid.size(); ++I) {
    BOOST_TEST(!decodeOrder(Valid.substr(0, I), Fault).has_value());
    for (int Byte = 0; Byte < 256; ++Byte) {
      std::string Damaged = Valid;
      Damaged[I] = static_cast<char>(Byte);
      (void)decodeOrder(Damaged, Fault);
    }
  }
}

BOOST_AUTO_TEST_CASE(resends_unacknowledged_messages_in_order) {
  PeerSession Sender;
  PeerSession Receiver;
  const std::string First = Sender.sequencedFrame("order", "1");
  const std::string Second = Sender.sequencedFrame("order", "2");
  BOOST_TEST(Receiver.accept(parse(First)));
  // The connection breaks before the second message arrives.
  const auto Resent = Sender.unacknowledgedFrames();
  BOOST_REQUIRE(Resent.size() == 2u);
  BOOST_TEST(!Receiver.accept(parse(Resent[0])));
  BOOST_TEST(Receiver.accept(parse(Resent[1])));
  const std::string Heartbeat = Receiver.unsequencedFrame("heartbeat", "");
  BOOST_TEST(Sender.accept(parse(Heartbeat)));
  BOOST_TEST(Sender.unacknowledgedFrames().empty());
}

BOOST_AUTO_TEST_CASE(rejects_a_gap_in_the_sequence) {
  PeerSession Sender;
  PeerSession Receiver;
  (void)Sender.sequencedFrame("order", "1");
  const std::string Second = Sender.sequencedFrame("order", "2");
  BOOST_TEST(!Receiver.accept(parse(Second)));
  BOOST_TEST(Receiver.received() == 0u);
}
