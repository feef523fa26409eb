/// \file
/// \brief Processor time and memory of the calling thread and process.
#ifndef WIGEONWALL_STANDINS_RESOURCE_USAGE_H
#define WIGEONWALL_STANDINS_RESOURCE_USAGE_H

#include <cstddef>

namespace wigeonwall::standins {

/// \brief Processor time of the calling thread in seconds; other load on the
/// machine does not count.
[[nodiscard]] double threadCpuSeconds();

/// \brief Resident memory of the process in bytes.
[[nodiscard]] std::size_t residentBytes();

} // namespace wigeonwall::standins

#endif
