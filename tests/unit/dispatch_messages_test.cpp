/// \file
/// \brief Guards messages between entries and agents, and their order across
/// broken connections.
#include "wigeonwall/connection/msgpack_codec.h"
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::process::dispatch;
using connection::PeerSession;
using namespace std::chrono_literals;

namespace {

/// Reads a frame; \p Frame has to outlive the result.
connection::PeerMessage parse(const std::string &Frame) {
  const std::string_view Bytes = Frame;
  BOOST_REQUIRE(connection::readFrameLength(Bytes) ==
                Bytes.size() - connection::FrameHeaderBytes);
  const auto Message =
      connection::parsePeerMessage(Bytes.substr(connection::FrameHeaderBytes));
  BOOST_REQUIRE(Message);
  return *Message;
}

std::vector<std::string> badMessages() {
  return {"", "{", "[]", connection::pack(17),
          connection::pack("order", "x", 0, "params"),
          connection::pack("order", -1, 0, "params"),
          connection::pack(std::vector<int>{}, 0, 0, "params"),
          connection::pack("order", 0, 0, "params", "more"),
          connection::pack("order", 0, 0, "params") + "rest",
          connection::pack("order", 0, 0, "params").substr(0, 5),
          // Strings and arrays that are longer than the message.
          "\x94\xdb\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
          // Arrays without end.
          std::string(100'000, '\x91')};
}

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
  const std::vector<std::int64_t> Tasks{0, 1};
  const auto Order = [&](const auto &Job, const auto &Cpu, const auto &Time,
                         const auto &Listed) {
    return connection::pack(Job, "s", "p", Cpu, 0, 0, Time, 0, 0, 0, true,
                            Listed);
  };
  BOOST_TEST(decodeOrder(Order("j", 1, 1, Tasks), Why).has_value());
  for (const std::string &Bytes :
       {Order(5, 1, 1, Tasks), Order("j", "needs", 1, Tasks),
        Order("j", Tasks, 1, Tasks), Order("j", 1, "soon", Tasks),
        Order("j", 1, 1, "tasks"), Order("j", 1, 1, std::vector<int>{1}),
        Order("j", 1, 1, std::vector<int>{-1, 1}),
        Order("j", 1, 1, std::vector<std::int64_t>{1LL << 32, 1}),
        connection::pack("j", "s", "p")}) {
    Why = {};
    BOOST_TEST(!decodeOrder(Bytes, Why).has_value());
    BOOST_TEST((Why.Code_ == MessageError::Malformed));
    BOOST_TEST(!Why.Message_.empty());
  }
  BOOST_TEST(!decodeOutcome(connection::pack(3), Why).has_value());
  BOOST_TEST(!decodeOutcome(connection::pack("j", 0, "vanished", 1, ""), Why)
                  .has_value());
  BOOST_TEST(!decodeReport(connection::pack("x"), request::AgentReport{}, Why)
                  .has_value());
  BOOST_TEST(!decodeHello(connection::pack("entry"), Why).has_value());
  BOOST_TEST(!decodeWelcome(connection::pack("yes"), Why).has_value());
  BOOST_TEST(!decodeCancel("", Why).has_value());
}

BOOST_AUTO_TEST_CASE(greetings_and_cancels_survive_the_codec) {
  MessageFault Why;
  const auto Hello = decodeHello(encodeHello({"entry@1", "7"}), Why);
  BOOST_REQUIRE(Hello);
  BOOST_TEST(Hello->Entry_ == "entry@1");
  BOOST_TEST(Hello->Session_ == "7");
  BOOST_TEST(decodeWelcome(encodeWelcome(true), Why).value());
  BOOST_TEST(decodeCancel(encodeCancel("job"), Why).value() == "job");
}

BOOST_AUTO_TEST_CASE(bad_bytes_are_no_messages) {
  const auto Messages = badMessages();
  for (std::size_t I = 0; I < Messages.size(); ++I)
    BOOST_TEST_CONTEXT(I)
  BOOST_TEST(!connection::parsePeerMessage(Messages[I]).has_value());
}

// Each message, cut or with one byte changed, is read or refused, not crashed
// on.
BOOST_AUTO_TEST_CASE(damaged_messages_are_survived) {
  RunOrder Order;
  Order.Job_ = "job";
  Order.Tasks_ = {{0, 1}, {1, 2}};
  const std::string Sound = encodeOrder(Order);
  MessageFault Why;
  for (std::size_t I = 0; I < Sound.size(); ++I) {
    BOOST_TEST(!decodeOrder(Sound.substr(0, I), Why).has_value());
    for (int Byte = 0; Byte < 256; ++Byte) {
      std::string Damaged = Sound;
      Damaged[I] = static_cast<char>(Byte);
      (void)decodeOrder(Damaged, Why);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_was_not_acknowledged_is_sent_again_in_order) {
  PeerSession Sender;
  PeerSession Receiver;
  const std::string First = Sender.sequencedFrame("order", "1");
  const std::string Second = Sender.sequencedFrame("order", "2");
  BOOST_TEST(Receiver.accept(parse(First)));
  // The connection breaks before the second arrives.
  const auto Again = Sender.unacknowledgedFrames();
  BOOST_REQUIRE(Again.size() == 2u);
  BOOST_TEST(!Receiver.accept(parse(Again[0])));
  BOOST_TEST(Receiver.accept(parse(Again[1])));
  const std::string Heartbeat = Receiver.unsequencedFrame("heartbeat", "");
  BOOST_TEST(Sender.accept(parse(Heartbeat)));
  BOOST_TEST(Sender.unacknowledgedFrames().empty());
}

BOOST_AUTO_TEST_CASE(a_gap_is_not_accepted) {
  PeerSession Sender;
  PeerSession Receiver;
  (void)Sender.sequencedFrame("order", "1");
  const std::string Second = Sender.sequencedFrame("order", "2");
  BOOST_TEST(!Receiver.accept(parse(Second)));
  BOOST_TEST(Receiver.received() == 0u);
}
