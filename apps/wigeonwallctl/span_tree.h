/// \file
/// \brief Orders the spans of one job as a tree.
#ifndef WIGEONWALLCTL_SPAN_TREE_H
#define WIGEONWALLCTL_SPAN_TREE_H

#include "wigeonwall/process/observation/span_file.h"

#include <istream>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Which spans are read; an empty service allows any.
struct SpanFilter {
  std::string JobId_;
  std::string Service_;
};

/// \brief Spans of one job in one or more files.
struct SpanSet {
  std::vector<process::SpanRecord> Spans_;
  /// Lines that are no span; the last line of a killed process may be cut.
  std::size_t BadLines_ = 0;

  void read(std::istream &Stream, const SpanFilter &Filter);
};

struct SpanNode {
  process::SpanRecord Span_;
  unsigned Depth_ = 0;
};

/// \brief Returns the spans depth first, siblings by start time.
///
/// A span whose parent is not among them, such as one whose parent belongs to
/// the caller or was lost, is a root.
[[nodiscard]] std::vector<SpanNode>
orderSpans(std::vector<process::SpanRecord> Spans);

} // namespace wigeonwall::ctl

#endif
