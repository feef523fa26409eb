/// \file
/// \brief CPU time of the calling thread and memory of the process.
#ifndef WIGEONWALL_STANDINS_RESOURCE_USAGE_H
#define WIGEONWALL_STANDINS_RESOURCE_USAGE_H

#include <cstddef>
#include <cstdint>
#include <sys/types.h>

namespace wigeonwall::standins {

/// \brief CPU time of the calling thread in seconds; unaffected by other load
/// on the machine.
[[nodiscard]] double threadCpuSeconds();

/// \brief Resident set size of the process in bytes.
[[nodiscard]] std::size_t residentBytes();

/// \brief Resident set size of another process in bytes; 0 after its end.
[[nodiscard]] std::size_t residentBytes(pid_t Process);

/// \brief Largest resident set size of another process since its start, in
/// bytes.
[[nodiscard]] std::size_t peakResidentBytes(pid_t Process);

/// \brief Bytes in the kernel's buffers of all connections accepted at a
/// loopback port: received and not read, or sent and not acknowledged.
[[nodiscard]] std::size_t socketBytes(std::uint16_t Port);

/// \brief Number of open file descriptors of another process.
[[nodiscard]] std::size_t openDescriptors(pid_t Process);

} // namespace wigeonwall::standins

#endif
