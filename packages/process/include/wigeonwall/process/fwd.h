/// \file
/// \brief Forward declarations of the process package.
#ifndef WIGEONWALL_PROCESS_FWD_H
#define WIGEONWALL_PROCESS_FWD_H

namespace wigeonwall::process {

class ConfigWriter;
class Counters;
class Tracer;
struct Settings;

} // namespace wigeonwall::process

#endif
