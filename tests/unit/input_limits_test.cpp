/// \file
/// \brief Tests the limits that follow from the machine, and the limits of the
/// request reader on all parts of a request.
#include "wigeonwall/connection/http_request_reader.h"
#include "wigeonwall/process/dispatch/input_limits.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall::connection;
using namespace wigeonwall::process::dispatch;

namespace {

const std::string Chunked =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string &Text, std::size_t Times) {
  std::string Result;
  for (std::size_t I = 0; I < Times; ++I)
    Result += Text;
  return Result;
}

struct ReaderCase {
  const char *Name_;
  std::string Text_;
  ReadStatus Status_;
  std::optional<InputRefusal> Refusal_;
};

const ReaderCase ReaderCases[] = {
    {"some trailers", Chunked + "1;a=b\r\nx\r\n0\r\nT: u\r\n\r\n",
     ReadStatus::Done, std::nullopt},
    {"endless trailers", Chunked + "0\r\n" + repeat("a: b\r\n", 4'000),
     ReadStatus::Refused, InputRefusal::Trailers},
    {"endless trailer line", Chunked + "0\r\na: " + std::string(20'000, 'b'),
     ReadStatus::Refused, InputRefusal::Trailers},
    {"many trailers", Chunked + "0\r\n" + repeat("a: b\r\n", 65) + "\r\n",
     ReadStatus::Refused, InputRefusal::Trailers},
    {"endless extension", Chunked + "1;a=" + std::string(20'000, 'b'),
     ReadStatus::Refused, InputRefusal::Extensions},
    {"long extensions in sum",
     Chunked + repeat("1;a=" + std::string(1'000, 'b') + "\r\nx\r\n", 5),
     ReadStatus::Refused, InputRefusal::Extensions},
    {"many extensions", Chunked + repeat("1;a\r\nx\r\n", 65),
     ReadStatus::Refused, InputRefusal::Extensions},
    {"endless chunk length", Chunked + std::string(20'000, '0'),
     ReadStatus::Refused, InputRefusal::Extensions},
    {"many small chunks", Chunked + repeat("1\r\nx\r\n", 4'097),
     ReadStatus::Refused, InputRefusal::Body},
    {"many fields", "GET / HTTP/1.1\r\n" + repeat("a: b\r\n", 129) + "\r\n",
     ReadStatus::Refused, InputRefusal::Header},
    {"long fields in sum",
     "GET / HTTP/1.1\r\n" + repeat("a: " + std::string(1'000, 'b') + "\r\n", 9),
     ReadStatus::Refused, InputRefusal::Header},
};

} // namespace

// The parser limits the header only within one read, and the other parts not at
// all, so that each case is read in pieces of several sizes.
BOOST_AUTO_TEST_CASE(all_parts_of_a_request_have_limits) {
  for (const ReaderCase &Case : ReaderCases)
    for (const std::size_t PieceBytes : {1, 7, 1'500, 30'000})
      BOOST_TEST_CONTEXT(Case.Name_ << " in pieces of " << PieceBytes) {
        HttpRequestReader Reader({}, 4'096);
        Reader.begin();
        ReadStatus Status = ReadStatus::NeedsMore;
        for (std::size_t At = 0;
             At < Case.Text_.size() && Status == ReadStatus::NeedsMore;
             At += PieceBytes) {
          Status =
              Reader.feed(std::string_view(Case.Text_).substr(At, PieceBytes));
          if (Status == ReadStatus::NeedsMore)
            BOOST_REQUIRE(Reader.heldBytes() < 64'000u);
        }
        BOOST_TEST((Status == Case.Status_));
        if (Case.Refusal_ && Status == ReadStatus::Refused)
          BOOST_TEST((Reader.refusal() == *Case.Refusal_));
      }
}

// Links to all agents, the store and the readiness checks need descriptors that
// callers must not take, and the smallest machine must hold a full budget.
BOOST_AUTO_TEST_CASE(totals_follow_the_machine) {
  DispatchSettings Settings;
  const InputTotals Default = inputTotals(Settings);
  BOOST_TEST(Default.TrafficBytes_ + Default.ControlBytes_ == 30'000'000u);
  BOOST_TEST(Default.CallerConnections_ == 3'000u);
  BOOST_TEST(Default.OpenTasks_ == 30'000u);
  Settings.MemoryMb_ = 512;
  Settings.FileDescriptors_ = 3'075;
  const InputTotals Large = inputTotals(Settings);
  BOOST_TEST(Large.TrafficBytes_ + Large.ControlBytes_ == 128'000'000u);
  BOOST_TEST(Large.CallerConnections_ == 2'363u);
  Settings.UnfinishedKb_ = 4'000;
  Settings.CallerConnections_ = 100;
  const InputTotals Lowered = inputTotals(Settings);
  BOOST_TEST(Lowered.TrafficBytes_ + Lowered.ControlBytes_ == 4'000'000u);
  BOOST_TEST(Lowered.CallerConnections_ == 100u);
}

// A very small machine must still serve ordinary callers.
BOOST_AUTO_TEST_CASE(small_machines_keep_a_minimum) {
  DispatchSettings Settings;
  Settings.MemoryMb_ = 16;
  Settings.FileDescriptors_ = 256;
  const InputTotals Totals = inputTotals(Settings);
  BOOST_TEST(Totals.TrafficBytes_ >= 3'000'000u);
  BOOST_TEST(Totals.CallerConnections_ == 64u);
  BOOST_TEST(Totals.WaitingRequests_ >= 100u);
}
