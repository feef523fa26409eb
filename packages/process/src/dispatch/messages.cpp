#include "wigeonwall/process/dispatch/messages.h"

#include "wigeonwall/connection/msgpack_codec.h"

#include <limits>

namespace wigeonwall::process::dispatch {

using connection::pack;
using connection::unpack;

namespace {

/// Slowness is encoded in thousandths.
constexpr double SlownessUnit = 1'000.0;

using Us = std::int64_t;

// The library accepts nested arrays with missing elements, so all fields are at
// the top level, and optional fields are packed separately.
static_assert(std::tuple_size_v<decltype(request::AgentReport::Waits_)> == 4,
              "the codec of reports names each wait");

std::int64_t microseconds(request::Duration Value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
}

/// Longest time in a message, in either direction.
constexpr std::chrono::microseconds MaxTime = std::chrono::hours(24);

/// Largest amount of a resource, slowness, clock reading or run number in a
/// message; sums of them do not overflow.
constexpr std::int64_t MaxAmount = 1'000'000'000'000;
constexpr std::int64_t MaxNumber = std::int64_t{1} << 53;

/// Longest payload, label or name in an order; callers' payloads have up to
/// 4,000 bytes. An agent keeps them while the tasks wait.
constexpr std::size_t MaxTextBytes = 4'096;

void requireText(const std::string &Text) {
  if (Text.size() > MaxTextBytes)
    throw msgpack::type_error();
}

/// Throws for a value outside of \p Min to \p Max.
void requireRange(std::int64_t Value, std::int64_t Min, std::int64_t Max) {
  if (Value < Min || Value > Max)
    throw msgpack::type_error();
}

void requireRange(const request::Resources &Value, std::int64_t Min) {
  requireRange(Value.CpuMillicores_, Min, MaxAmount);
  requireRange(Value.MemoryMb_, Min, MaxAmount);
  requireRange(Value.Gpus_, Min, MaxAmount);
}

/// Throws for a time that is not valid in any message.
request::Duration fromMicroseconds(std::int64_t Value) {
  requireRange(Value, -MaxTime.count(), MaxTime.count());
  return std::chrono::microseconds(Value);
}

/// Calls \p Read; a malformed message sets a fault and is rejected completely.
template <typename Decode>
auto catchDecodeErrors(MessageFault &Fault, Decode Read)
    -> std::optional<decltype(Read())> {
  try {
    return Read();
  } catch (const msgpack::unpack_error &Error) {
    Fault = {MessageError::Malformed, Error.what(), ""};
  } catch (const msgpack::type_error &) {
    Fault = {MessageError::Malformed, "wrong number, type or range of fields",
             ""};
  }
  return std::nullopt;
}

/// First byte of a report with a profile: an array of 13 fields.
constexpr char ProfileReportHeader = '\x9d';

bool hasProfile(std::string_view Bytes) {
  return !Bytes.empty() && Bytes.front() == ProfileReportHeader;
}

/// Returns three numbers for each step: time in ms, cpu and memory, each as the
/// difference to the step before. Small numbers take one to three bytes.
std::vector<std::int64_t> profileValues(const request::CapacityProfile &From) {
  std::vector<std::int64_t> Result;
  Result.reserve(3 * From.steps().size());
  request::CapacityStep Last;
  for (const request::CapacityStep &Each : From.steps()) {
    Result.insert(Result.end(), {request::toMilliseconds(Each.At_) -
                                     request::toMilliseconds(Last.At_),
                                 Each.CpuMillicores_ - Last.CpuMillicores_,
                                 Each.MemoryMb_ - Last.MemoryMb_});
    Last = Each;
  }
  return Result;
}

/// Throws for a profile with too many steps, or steps out of order.
request::CapacityProfile readProfile(const std::vector<std::int64_t> &Values) {
  if (Values.size() % 3 != 0 ||
      Values.size() > 3 * request::CapacityProfile::MaxReportedSteps)
    throw msgpack::type_error();
  request::CapacityProfile Result;
  request::CapacityStep Next;
  for (std::size_t I = 0; I < Values.size(); I += 3) {
    for (std::size_t K = 0; K < 3; ++K)
      requireRange(Values[I + K], -MaxAmount, MaxAmount);
    Next.At_ += std::chrono::milliseconds(Values[I]);
    Next.CpuMillicores_ += Values[I + 1];
    Next.MemoryMb_ += Values[I + 2];
    requireRange(Next.CpuMillicores_, -MaxAmount, MaxAmount);
    requireRange(Next.MemoryMb_, -MaxAmount, MaxAmount);
    if (Next.At_ < Next.At_.zero() ||
        Next.At_ > request::CapacityProfile::Horizon || !Result.append(Next))
      throw msgpack::type_error();
  }
  return Result;
}

} // namespace

std::string encodeHello(const EntryHello &Hello) {
  return pack(Hello.Entry_, Hello.Session_);
}

std::optional<EntryHello> decodeHello(std::string_view Bytes,
                                      MessageFault &Fault) {
  return catchDecodeErrors(Fault, [Bytes] {
    auto [Entry, Session] = unpack<std::string, std::string>(Bytes);
    return EntryHello{std::move(Entry), std::move(Session)};
  });
}

std::string encodeWelcome(bool Resumed) { return pack(Resumed); }

std::optional<bool> decodeWelcome(std::string_view Bytes, MessageFault &Fault) {
  return catchDecodeErrors(
      Fault, [Bytes] { return std::get<0>(unpack<bool>(Bytes)); });
}

std::string encodeHeartbeat(std::int64_t AgentClockMs) {
  return pack(AgentClockMs);
}

std::optional<std::int64_t> decodeHeartbeat(std::string_view Bytes,
                                            MessageFault &Fault) {
  return catchDecodeErrors(Fault, [Bytes] {
    const std::int64_t ClockMs = std::get<0>(unpack<std::int64_t>(Bytes));
    requireRange(ClockMs, 0, MaxNumber);
    return ClockMs;
  });
}

std::string encodeQuery(bool Profiles) {
  return Profiles ? pack(true) : pack();
}

bool queryAsksForProfiles(std::string_view Bytes) {
  return Bytes == encodeQuery(true);
}

std::string encodeCancel(const std::string &Job) { return pack(Job); }

std::optional<std::string> decodeCancel(std::string_view Bytes,
                                        MessageFault &Fault) {
  return catchDecodeErrors(
      Fault, [Bytes] { return std::get<0>(unpack<std::string>(Bytes)); });
}

std::string encodeOrder(const RunOrder &Order) {
  // Alternates the index and the run number of each task.
  std::vector<std::int64_t> Tasks;
  Tasks.reserve(2 * Order.Tasks_.size());
  for (const RunOrderTask &Task : Order.Tasks_)
    Tasks.insert(Tasks.end(), {std::int64_t{Task.Index_}, Task.Number_});
  return pack(Order.Job_, Order.Service_, Order.RequiredLabel_, Order.Payload_,
              Order.Needs_.CpuMillicores_, Order.Needs_.MemoryMb_,
              Order.Needs_.Gpus_, microseconds(Order.Expected_),
              microseconds(Order.TimeToDeadline_),
              microseconds(Order.TimeToExpiry_), microseconds(Order.MaxWait_),
              Order.MayDecline_, Order.AgentClockMs_, Tasks);
}

std::optional<RunOrder> decodeOrder(std::string_view Bytes,
                                    MessageFault &Fault) {
  return catchDecodeErrors(Fault, [Bytes] {
    RunOrder Result;
    Us Expected = 0;
    Us TimeToDeadline = 0;
    Us TimeToExpiry = 0;
    Us MaxWait = 0;
    std::vector<std::int64_t> Tasks;
    std::tie(Result.Job_, Result.Service_, Result.RequiredLabel_,
             Result.Payload_, Result.Needs_.CpuMillicores_,
             Result.Needs_.MemoryMb_, Result.Needs_.Gpus_, Expected,
             TimeToDeadline, TimeToExpiry, MaxWait, Result.MayDecline_,
             Result.AgentClockMs_, Tasks) =
        unpack<std::string, std::string, std::string, std::string, std::int64_t,
               std::int64_t, std::int64_t, Us, Us, Us, Us, bool, std::int64_t,
               std::vector<std::int64_t>>(Bytes);
    Result.Expected_ = fromMicroseconds(Expected);
    Result.TimeToDeadline_ = fromMicroseconds(TimeToDeadline);
    Result.TimeToExpiry_ = fromMicroseconds(TimeToExpiry);
    Result.MaxWait_ = fromMicroseconds(MaxWait);
    for (const std::string *Each : {&Result.Job_, &Result.Service_,
                                    &Result.RequiredLabel_, &Result.Payload_})
      requireText(*Each);
    requireRange(Result.Needs_, 0);
    requireRange(Expected, 0, MaxTime.count());
    requireRange(Result.AgentClockMs_, 0, MaxNumber);
    if (Tasks.size() % 2 != 0)
      throw msgpack::type_error();
    for (std::size_t I = 0; I < Tasks.size(); I += 2) {
      requireRange(Tasks[I], 0, std::numeric_limits<std::uint32_t>::max());
      requireRange(Tasks[I + 1], 0, MaxNumber);
      Result.Tasks_.push_back(
          {static_cast<std::uint32_t>(Tasks[I]), Tasks[I + 1]});
    }
    return Result;
  });
}

std::string encodeOutcome(const RunOutcome &Outcome) {
  return pack(Outcome.Job_, Outcome.Index_,
              request::findName(request::RunEndNames, Outcome.End_),
              Outcome.Number_, Outcome.Reason_);
}

std::optional<RunOutcome> decodeOutcome(std::string_view Bytes,
                                        MessageFault &Fault) {
  return catchDecodeErrors(Fault, [Bytes] {
    RunOutcome Result;
    std::string_view End;
    std::tie(Result.Job_, Result.Index_, End, Result.Number_, Result.Reason_) =
        unpack<std::string, std::uint32_t, std::string_view, std::int64_t,
               std::string>(Bytes);
    requireRange(Result.Number_, 0, MaxNumber);
    const auto Known = request::findValue(request::RunEndNames, End);
    if (!Known)
      throw msgpack::type_error();
    Result.End_ = *Known;
    return Result;
  });
}

std::string encodeFailureDomain(const std::string &Domain) {
  return pack(Domain);
}

std::optional<std::string> decodeFailureDomain(std::string_view Bytes,
                                               MessageFault &Fault) {
  return catchDecodeErrors(
      Fault, [Bytes] { return std::get<0>(unpack<std::string>(Bytes)); });
}

std::string encodeEvacuations(const std::string &Document) {
  return pack(Document);
}

std::optional<std::string> decodeEvacuations(std::string_view Bytes,
                                             MessageFault &Fault) {
  return catchDecodeErrors(
      Fault, [Bytes] { return std::get<0>(unpack<std::string>(Bytes)); });
}

std::string encodeReport(const request::AgentReport &Report, bool Full,
                         bool WithProfile) {
  std::optional<std::string> Minion;
  if (Full)
    Minion = pack(Report.Service_, Report.Capacity_.CpuMillicores_,
                  Report.Capacity_.MemoryMb_, Report.Capacity_.Gpus_,
                  Report.Labels_);
  const auto &Waits = Report.Waits_;
  const auto PackWith = [&](const auto &...Last) {
    return pack(
        Report.ReportsChanges_, Report.AgentClockMs_, Report.Accepting_,
        Report.Free_.CpuMillicores_, Report.Free_.MemoryMb_, Report.Free_.Gpus_,
        static_cast<std::int64_t>(Report.Slowness_ * SlownessUnit),
        microseconds(Waits[0]), microseconds(Waits[1]), microseconds(Waits[2]),
        microseconds(Waits[3]), Minion, Last...);
  };
  return WithProfile ? PackWith(profileValues(Report.Profile_)) : PackWith();
}

std::optional<request::AgentReport>
decodeReport(std::string_view Bytes, const request::AgentReport &Previous,
             MessageFault &Fault) {
  return catchDecodeErrors(Fault, [&] {
    request::AgentReport Result = Previous;
    std::int64_t Slowness = 0;
    std::array<Us, 4> Waits{};
    std::optional<std::string_view> Minion;
    std::vector<std::int64_t> Profile;
    auto Fields = std::tie(Result.ReportsChanges_, Result.AgentClockMs_,
                           Result.Accepting_, Result.Free_.CpuMillicores_,
                           Result.Free_.MemoryMb_, Result.Free_.Gpus_, Slowness,
                           Waits[0], Waits[1], Waits[2], Waits[3], Minion);
    if (hasProfile(Bytes))
      std::tuple_cat(Fields, std::tie(Profile)) =
          unpack<bool, std::int64_t, bool, std::int64_t, std::int64_t,
                 std::int64_t, std::int64_t, Us, Us, Us, Us,
                 std::optional<std::string_view>, std::vector<std::int64_t>>(
              Bytes);
    else
      Fields = unpack<bool, std::int64_t, bool, std::int64_t, std::int64_t,
                      std::int64_t, std::int64_t, Us, Us, Us, Us,
                      std::optional<std::string_view>>(Bytes);
    Result.Profile_ = readProfile(Profile);
    requireRange(Result.AgentClockMs_, 0, MaxNumber);
    // More tasks may be waiting than the minion has capacity for.
    requireRange(Result.Free_, -MaxAmount);
    requireRange(Slowness, 1, MaxAmount);
    Result.Slowness_ = static_cast<double>(Slowness) / SlownessUnit;
    for (std::size_t I = 0; I < Waits.size(); ++I)
      Result.Waits_[I] = fromMicroseconds(Waits[I]);
    if (Minion)
      std::tie(Result.Service_, Result.Capacity_.CpuMillicores_,
               Result.Capacity_.MemoryMb_, Result.Capacity_.Gpus_,
               Result.Labels_) =
          unpack<std::string, std::int64_t, std::int64_t, std::int64_t,
                 std::vector<std::string>>(*Minion);
    requireRange(Result.Capacity_, 0);
    return Result;
  });
}

} // namespace wigeonwall::process::dispatch
