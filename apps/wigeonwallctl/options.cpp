#include "wigeonwallctl/options.h"

#include <charconv>
#include <sstream>

namespace wigeonwall::ctl {

namespace {

constexpr std::size_t MaxIdLength = 128;
constexpr const char *DefaultEntry = "127.0.0.1:7100";

std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

} // namespace

std::optional<double> parseNumber(const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  return Value;
}

const docopt::value *OptionReader::find(const char *Name) const {
  const auto Found = Args_.find(Name);
  return Found == Args_.end() || !Found->second ? nullptr : &Found->second;
}

bool OptionReader::given(const char *Name) const {
  return find(Name) != nullptr;
}

bool OptionReader::flag(const char *Name) const {
  const docopt::value *Value = find(Name);
  return Value != nullptr && Value->isBool() && Value->asBool();
}

void OptionReader::fail(const char *Name, std::string Message) {
  if (Failed_)
    return;
  Failed_ = true;
  Why_ = {OptionError::BadValue, std::move(Message), Name};
}

void OptionReader::integer(const char *Name, std::int64_t Min, std::int64_t Max,
                           std::int64_t &Out) {
  const docopt::value *Option = find(Name);
  if (Option == nullptr)
    return;
  const std::string &Text = Option->asString();
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End || Value < Min || Value > Max)
    return fail(Name, "expected an integer from " + std::to_string(Min) +
                          " to " + std::to_string(Max) + ", got \"" + Text +
                          "\"");
  Out = Value;
}

void OptionReader::milliseconds(const char *Name, std::int64_t Min,
                                std::int64_t Max,
                                std::chrono::milliseconds &Out) {
  std::int64_t Value = Out.count();
  integer(Name, Min, Max, Value);
  Out = std::chrono::milliseconds(Value);
}

void OptionReader::number(const char *Name, double Min, double Max,
                          double &Out) {
  const docopt::value *Option = find(Name);
  if (Option == nullptr)
    return;
  const std::string &Text = Option->asString();
  const auto Value = parseNumber(Text);
  // The negated comparison also rejects NaN.
  if (!Value || !(*Value >= Min && *Value <= Max))
    return fail(Name, "expected a number from " + formatNumber(Min) + " to " +
                          formatNumber(Max) + ", got \"" + Text + "\"");
  Out = *Value;
}

void OptionReader::string(const char *Name, std::string &Out) {
  if (const docopt::value *Option = find(Name))
    Out = Option->asString();
}

void OptionReader::identifier(const char *Name, std::string &Out) {
  string(Name, Out);
  const std::string Allowed = "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
  if (Out.empty() || Out.size() > MaxIdLength ||
      Out.find_first_not_of(Allowed) != std::string::npos)
    fail(Name, "expected 1 to " + std::to_string(MaxIdLength) +
                   " letters, digits or characters of \"-_.:\"");
}

void OptionReader::strings(const char *Name, std::vector<std::string> &Out) {
  if (const docopt::value *Option = find(Name))
    Out = Option->asStringList();
}

void OptionReader::entries(const char *Name,
                           std::vector<connection::Endpoint> &Out) {
  endpoints(Name, DefaultEntry, Out);
}

void OptionReader::endpoints(const char *Name, const char *Default,
                             std::vector<connection::Endpoint> &Out) {
  std::vector<std::string> Texts;
  strings(Name, Texts);
  if (Texts.empty())
    Texts.emplace_back(Default);
  for (const std::string &Text : Texts) {
    const auto Address = connection::parseEndpoint(Text);
    if (!Address || Address->Port_ == 0)
      return fail(Name, "expected IP:PORT, got \"" + Text + "\"");
    Out.push_back(*Address);
  }
}

} // namespace wigeonwall::ctl
