#include "standins/resource_usage.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace wigeonwall::standins {

double threadCpuSeconds() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

std::size_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  return ResidentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace wigeonwall::standins
