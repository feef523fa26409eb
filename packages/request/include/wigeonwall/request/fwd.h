/// \file
/// \brief Forward declarations of the request package.
#ifndef WIGEONWALL_REQUEST_FWD_H
#define WIGEONWALL_REQUEST_FWD_H

#include <cstdint>

namespace wigeonwall::request {

class AdmissionController;
class FairQueue;
class HealthTracker;
class Placer;
class RunTimeEstimator;
struct AdmissionRequest;
struct AgentStatus;
struct AgentLoad;
struct EjectedMinion;
struct JobAnswer;
struct JobKey;
struct JobSpec;
struct KindKey;
struct KindPolicy;
struct PlacementCandidate;
struct QueuedTask;
struct ServiceCapacity;
struct TaskResult;
struct TaskSpec;
struct TeamQuota;
enum class AdmissionPolicy : std::uint8_t;
enum class HealthState : std::uint8_t;
enum class MinionOutcome : std::uint8_t;
enum class PlacementPolicy : std::uint8_t;
enum class QueuePolicy : std::uint8_t;
enum class Outcome : std::uint8_t;
enum class Reason : std::uint8_t;
template <typename Code> struct Fault;

} // namespace wigeonwall::request

#endif
