/// \file
/// \brief CPU time of the calling thread and memory of the process.
#ifndef WIGEONWALL_STANDINS_RESOURCE_USAGE_H
#define WIGEONWALL_STANDINS_RESOURCE_USAGE_H

#include <cstddef>

namespace wigeonwall::standins {

/// \brief CPU time of the calling thread in seconds; unaffected by other load
/// on the machine.
[[nodiscard]] double threadCpuSeconds();

/// \brief Resident set size of the process in bytes.
[[nodiscard]] std::size_t residentBytes();

} // namespace wigeonwall::standins

#endif
