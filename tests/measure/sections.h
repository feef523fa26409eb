/// \file
/// \brief Sections of the program that measures the slopes of
/// docs/CAPACITY.md.
#ifndef WIGEONWALL_MEASURE_SECTIONS_H
#define WIGEONWALL_MEASURE_SECTIONS_H

namespace wigeonwall::measure {

/// \brief Bytes and processor time of membership by the number of members.
void membership();
/// \brief Bytes and time until all members know each other when all start at
/// once.
void startAtOnce();
/// \brief Resident memory per member, map agent, record and so on.
void memory();
/// \brief Processor time per job and task at a home and at a gateway.
void jobs();
/// \brief Processor time of a call between processes on loopback.
void calls();
/// \brief Time of holders() and of placement by the number of agents.
void decisions();
/// \brief Size and codec time of the documents; calls of a watcher.
void documents();

} // namespace wigeonwall::measure

#endif
