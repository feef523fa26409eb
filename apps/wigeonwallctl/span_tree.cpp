#include "wigeonwallctl/span_tree.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace wigeonwall::ctl {

using process::SpanRecord;

namespace {

bool hasTag(const SpanRecord &Span, const char *Name, const std::string &Text) {
  const Json::Value &Tag = Span.Tags_[Name];
  return Tag.isString() && Tag.asString() == Text;
}

using Children = std::multimap<std::string, std::size_t>;

/// Appends a span and its descendants; each span once, also when the parents
/// of a damaged file form a cycle.
void append(std::size_t Index, unsigned Depth,
            const std::vector<SpanRecord> &Spans, const Children &ByParent,
            std::set<std::size_t> &Seen, std::vector<SpanNode> &Out) {
  if (!Seen.insert(Index).second)
    return;
  Out.push_back({Spans[Index], Depth});
  const auto [First, Last] = ByParent.equal_range(Spans[Index].SpanId_);
  for (auto Each = First; Each != Last; ++Each)
    append(Each->second, Depth + 1, Spans, ByParent, Seen, Out);
}

} // namespace

void SpanSet::read(std::istream &Stream, const SpanFilter &Filter) {
  for (std::string Line; std::getline(Stream, Line);) {
    request::CodecFault Why;
    auto Span = process::decodeSpan(Line, Why);
    if (!Span)
      ++BadLines_;
    else if (hasTag(*Span, "job_id", Filter.JobId_) &&
             (Filter.Service_.empty() ||
              hasTag(*Span, "service", Filter.Service_)))
      Spans_.push_back(std::move(*Span));
  }
}

std::vector<SpanNode> orderSpans(std::vector<SpanRecord> Spans) {
  // The task comes before the name, so that the hops of one task that start
  // together stay together.
  std::stable_sort(
      Spans.begin(), Spans.end(), [](const auto &Left, const auto &Right) {
        const auto Task = [](const SpanRecord &Span) {
          const Json::Value &Tag = Span.Tags_["task"];
          return Tag.isIntegral() ? Tag.asLargestInt() : -1;
        };
        return std::make_tuple(Left.StartUs_, Task(Left), Left.Name_) <
               std::make_tuple(Right.StartUs_, Task(Right), Right.Name_);
      });
  std::set<std::string> Ids;
  for (const SpanRecord &Span : Spans)
    Ids.insert(Span.SpanId_);
  Children ByParent;
  for (std::size_t I = 0; I < Spans.size(); ++I)
    ByParent.emplace(Spans[I].ParentId_, I);
  std::set<std::size_t> Seen;
  std::vector<SpanNode> Result;
  for (std::size_t I = 0; I < Spans.size(); ++I)
    if (Ids.count(Spans[I].ParentId_) == 0)
      append(I, 0, Spans, ByParent, Seen, Result);
  for (std::size_t I = 0; I < Spans.size(); ++I)
    append(I, 0, Spans, ByParent, Seen, Result);
  return Result;
}

} // namespace wigeonwall::ctl
