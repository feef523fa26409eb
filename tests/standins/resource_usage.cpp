#include "standins/resource_usage.h"

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <string>
#include <unistd.h>

namespace wigeonwall::standins {

double threadCpuSeconds() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

namespace {

std::size_t readResidentBytes(const std::string &Process) {
  std::ifstream Statm("/proc/" + Process + "/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  return ResidentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::size_t residentBytes() { return readResidentBytes("self"); }

std::size_t residentBytes(pid_t Process) {
  return readResidentBytes(std::to_string(Process));
}

std::size_t peakResidentBytes(pid_t Process) {
  constexpr std::size_t BytesPerKib = 1'024;
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Word;
  std::size_t Kib = 0;
  while (Status >> Word)
    if (Word == "VmHWM:" && Status >> Kib)
      break;
  return Kib * BytesPerKib;
}

std::size_t socketBytes(std::uint16_t Port) {
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line);
  std::size_t Result = 0;
  while (std::getline(Table, Line)) {
    unsigned LocalPort = 0;
    unsigned State = 0;
    unsigned Unsent = 0;
    unsigned Unread = 0;
    // The queue of a listening socket counts connections.
    if (std::sscanf(Line.c_str(), "%*d: %*8x:%x %*8x:%*x %x %x:%x", &LocalPort,
                    &State, &Unsent, &Unread) == 4 &&
        LocalPort == Port && State != TCP_LISTEN)
      Result += Unsent + Unread;
  }
  return Result;
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Error;
  std::size_t Count = 0;
  for (std::filesystem::directory_iterator
           Each("/proc/" + std::to_string(Process) + "/fd", Error),
       End;
       !Error && Each != End; Each.increment(Error))
    ++Count;
  return Count;
}

} // namespace wigeonwall::standins
