/// \file
/// \brief Prints the slopes from which docs/CAPACITY.md is worked out.
///
/// `measure_slopes [SECTION...]`; all sections by default. Times are processor
/// time of the measuring thread, so that other load counts little.
#include "sections.h"

#include <cstdio>
#include <cstring>
#include <utility>

int main(int Count, char **Arguments) {
  using namespace wigeonwall::measure;
  const std::pair<const char *, void (*)()> Sections[] = {
      {"membership", membership}, {"start_at_once", startAtOnce},
      {"memory", memory},         {"jobs", jobs},
      {"calls", calls},           {"decisions", decisions},
      {"documents", documents}};
  int Run = 0;
  for (const auto &[Name, Section] : Sections) {
    bool Wanted = Count == 1;
    for (int I = 1; I < Count; ++I)
      Wanted = Wanted || std::strcmp(Arguments[I], Name) == 0;
    if (!Wanted)
      continue;
    std::printf("== %s\n", Name);
    Section();
    std::fflush(stdout);
    ++Run;
  }
  return Run == 0 ? 2 : 0;
}
