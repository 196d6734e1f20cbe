/** @file place_run.h Selects workers for the tasks of a step. */

#pragma once

#include "fleet/crash_evidence.h"
#include "fleet/fleet_type.h"
#include "fleet/hold_reason_type.h"
#include "fleet/pair_interference.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Long-running tasks of one image that have a latency target. */
struct LatencySensitiveTasks {
    unsigned count = 0;
    std::int64_t cpuMillis = 0; ///< CPU reserved by these tasks.
    double highestTailRatio = 0; ///< Highest tail latency in the last poll, relative to the target.
    double expectedTailRatio = 0; ///< Expected tail latency beside the tasks on the worker that use spare capacity, relative to the target.
    double tailDeviation = 0; ///< Standard deviation of the tail ratio around its expectation.
    double chanceOverTarget = 0; ///< Probability that the tail latency exceeds its target.
    const std::vector<double> *slopes = nullptr; ///< Slope for each spare image, in the order of SlopeTable::spareImages.
};

/** Interference slopes of all pairs of images, as a snapshot for a placement pass. */
struct SlopeTable {
    std::vector<std::string> spareImages; ///< Images of tasks that use spare capacity, sorted.
    std::map<std::string, std::vector<double>> byLongRunningImage;
    std::vector<double> unknown; ///< Slopes for a long-running image without samples.
    TimePoint fittedAt; ///< Time of the fit.
};

/** Builds the table from the present model. */
SlopeTable makeSlopeTable(const PairInterference &interference);

/** Returns the slopes of a long-running image. */
const std::vector<double> &slopesOf(const SlopeTable &table, const std::string &longRunningImage);

/** Returns the index of a spare image in the table; nothing if it has no samples. */
std::optional<std::size_t> spareImageIndex(const SlopeTable &table, const std::string &spareImage);

/** Capacity of a worker that is held for a step; see capacity_hold.h. */
struct HeldCapacity {
    StepRef step;
    TimePoint readyAt; ///< Time by which the request is expected to have room.
    Resources beyond; ///< Free capacity of the worker at that time, less the request.
};

/** A worker to which tasks can be assigned, with its capacity and use. */
struct PlacementCandidate {
    IncarnationNumber incarnation = 0;
    ServiceName service;
    ZoneName availabilityZone;
    std::string rack; ///< Rack label; empty if there is none.
    const std::vector<std::string> *labels = nullptr; ///< All labels of the worker.
    Resources capacity;
    Resources used; ///< Resources reserved by tasks that run or whose start was ordered.
    std::int64_t spareCpuRequested = 0; ///< CPU requested by tasks that use spare capacity.
    std::int64_t longRunningCpu = 0; ///< CPU reserved by long-running tasks.
    std::map<std::string, LatencySensitiveTasks> latencySensitiveTasks; ///< Long-running tasks with a latency target, by image.
    SpareCpuShares spareCpuShares; ///< Share of the worker's CPU requested by tasks that use spare capacity, by image.
    double sensitivity = 0; ///< Highest slope against a long-running task of this worker, averaged over all spare images.
    unsigned consecutiveFailures = 0; ///< Number of consecutive failed runs.
    bool isAvoided = false; ///< Tasks are placed on it only if no other worker may run them.
    bool isIsolated = false; ///< It is avoided because a task on it may crash it.
    bool isSecondChoice = false; ///< Tasks are placed on it only if no other worker has room for them now.
    bool isPreferredForSuspects = false; ///< Other tasks than strong suspects are placed on it only if no other worker has room for them now.
    bool isReservedForSuspects = false; ///< Other tasks than strong suspects are placed on it only if no other worker may run them.
    std::optional<HeldCapacity> held; ///< Short tasks are placed on it only if they end before or leave what is held; long-running tasks ignore it.
    std::size_t runs = 0; ///< Runs that are lost if it crashes.
    std::size_t runsAtRisk = 0; ///< Those of them whose queue has tasks that crash workers.
    std::size_t watchedSuspects = 0; ///< Runs that may crash it.
};

/** Number of tasks of a step on each worker. */
using StepSpread = std::map<IncarnationNumber, std::uint32_t>;

/** Returns whether a worker may run tasks of a step, capacity aside. */
bool isEligible(const StepSpec &step, const ServiceName &service, const PlacementCandidate &candidate);
bool isEligible(const StepSpec &step, const ServiceName &service, const WorkerProfile &profile);

/** Returns whether the data of a step is outside of a rack. */
bool isDataRemote(const StepSpec &step, const std::string &rack);

/** Returns whether a worker has enough free capacity for one more task of a step. */
bool hasCapacityFor(const StepSpec &step, const PlacementCandidate &candidate);

/** How much a task that uses spare capacity may harm the long-running tasks on its worker. */
enum class HarmTolerance : std::uint8_t {
    None, ///< No tail latency may come near its target.
    Limited, ///< The deadline of the step is near: tail latencies may rise up to the harm limit.
    Any, ///< Its job has made no progress for too long. Speed limits bound the harm once the task runs.
};

constexpr auto HarmToleranceNames = makeNameTable<HarmTolerance>({
    {HarmTolerance::None, "none"},
    {HarmTolerance::Limited, "limited"},
    {HarmTolerance::Any, "any"},
});

/** Input of chooseWorker(). */
struct WorkerQuery {
    const StepSpec &step;
    const ServiceName &service;
    const StepSpread &spread; ///< Present distribution of the tasks of the step.
    const PairInterference &interference;
    const SlopeTable &slopes;
    HarmTolerance harmTolerance = HarmTolerance::None;
    IncarnationNumber excluded = 0; ///< Incarnation that must not be chosen; 0 for none.
    bool acceptsAvoided = false; ///< Workers that are avoided may be chosen too.
    bool acceptsSlow = false; ///< Of these, those that are avoided for slow or failing tasks may be chosen.
    CrashSuspicion suspicion = CrashSuspicion::None; ///< Suspicion that the task crashes its worker.
    bool isIsolated = false; ///< No other tasks may join it on its worker for a while.
    bool isQueueAtRisk = false; ///< Tasks of the queue have recently crashed workers.
    StepRef stepRef; ///< Identifies the step.
    bool isHeldByAccountLimit = false; ///< The account may start no task of the step. Only counted for reports: placement does not search for such steps.
    std::optional<TimePoint> expectedEnd; ///< Time by which a short task should end if it starts now, while workers are held; nothing for long-running ones.
};

/** Returns what a task of a step reserves on its worker: no CPU if it uses spare capacity. */
Resources reservedBy(const StepSpec &step);

/** Returns whether the query allows a worker to run one more task of the step, its capacity aside. */
bool isAllowed(const WorkerQuery &query, const PlacementCandidate &candidate);

/** Returns why a candidate does not take one more task of a step; nothing if it does. */
std::optional<HoldReason> candidateHoldReason(const WorkerQuery &query, const PlacementCandidate &candidate);

/** Returns the index of the best candidate for one more task of a step; nothing if none is suitable. */
std::optional<std::size_t> chooseWorker(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates);

/** Returns whether the candidates that are neither excluded nor avoided nor reserved may run a number of further tasks of a step, if they were idle. */
bool hasAlternative(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates, std::uint32_t tasks);

/** Recomputes the expected tail latencies of a worker's long-running tasks from the tasks that use its spare capacity. */
void updateExpectedTails(PlacementCandidate &candidate, const PairInterference &interference);

/** Recomputes the sensitivity of a worker from its long-running tasks. */
void updateSensitivity(PlacementCandidate &candidate, const SlopeTable &table);

/** Reserves capacity on a candidate for the task of a query. */
void reserveCapacity(PlacementCandidate &candidate, const WorkerQuery &query);

} // namespace Filbertlanding
