/** @file place_run.h Chooses workers for the tasks of a step. */

#pragma once

#include "fleet/fleet_type.h"
#include "fleet/pair_interference.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Lasting tasks with a latency target that are of one image. */
struct LatencySensitiveTasks {
    unsigned count = 0;
    std::int64_t cpuMillis = 0; ///< Processors that they reserve.
    double highestTailRatio = 0; ///< Highest tail that the last look showed, as a share of the target.
    const std::vector<double> *slopes = nullptr; ///< By spare image, in the order of SlopeTable::spareImages.
};

/** The slopes of all pairs of images, for one pass of placements. */
struct SlopeTable {
    std::vector<std::string> spareImages;
    std::map<std::string, std::vector<double>> byLongRunningImage;
    std::vector<double> unknown; ///< For a lasting image that was never seen.
    TimePoint fittedAt; ///< When the slopes were fitted.
};

/** Returns the slopes as learned so far. */
SlopeTable makeSlopeTable(const PairInterference &interference);

/** Returns the slopes of a lasting image. */
const std::vector<double> &slopesOf(const SlopeTable &table, const std::string &longRunningImage);

/** Returns the place of a spare image in the table; nothing if it was never seen. */
std::optional<std::size_t> spareImageIndex(const SlopeTable &table, const std::string &spareImage);

/** A worker that may take tasks, with what is free. */
struct PlacementCandidate {
    IncarnationNumber incarnation = 0;
    ServiceName service;
    ZoneName availabilityZone;
    std::string rack; ///< Label of its rack; empty if it has none.
    const std::vector<std::string> *labels = nullptr; ///< All labels.
    Resources capacity;
    Resources used; ///< Room of all that runs or was ordered.
    std::int64_t spareCpuRequested = 0; ///< Processors that tasks in spare room ask for.
    std::int64_t longRunningCpu = 0; ///< Processors reserved by lasting tasks.
    std::map<std::string, LatencySensitiveTasks> latencySensitiveTasks; ///< Lasting tasks with a latency target, by image.
    SpareCpuShares spareCpuShares; ///< Share of the processors that tasks in spare room ask for, by image.
    double sensitivity = 0; ///< Mean over all spare images of the highest slope with which they press here.
    unsigned consecutiveFailures = 0; ///< Failed runs in a row.
};

/** How many tasks of the step each worker has already. */
using StepSpread = std::map<IncarnationNumber, std::uint32_t>;

/** Returns whether a worker may run a task of the step at all, room aside. */
bool isEligible(const StepSpec &step, const ServiceName &service, const PlacementCandidate &candidate);

/** Returns whether the tasks of a step run far from their data on a worker of the rack. */
bool isDataRemote(const StepSpec &step, const std::string &rack);

/** Returns whether a task fits beside what runs. */
bool hasCapacityFor(const StepSpec &step, const PlacementCandidate &candidate);

/** What a choice is made for. */
struct WorkerQuery {
    const StepSpec &step;
    const ServiceName &service;
    const StepSpread &spread; ///< Tasks of the step on each worker.
    const PairInterference &interference;
    const SlopeTable &slopes;
    bool acceptsInterference = false; ///< The step's time runs out, so its tasks in spare room may press on lasting ones as far as they are worth it.
    IncarnationNumber excluded = 0; ///< Life that may not be chosen, for a copy of a task; 0 for none.
};

/** Returns the index of the best candidate for one more task of a step, or nothing. */
std::optional<std::size_t> chooseWorker(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates);

/** Computes the sensitivity of a worker from its lasting tasks. */
void updateSensitivity(PlacementCandidate &candidate, const SlopeTable &table);

/** Takes room on a candidate for a task of a step. */
void reserveCapacity(PlacementCandidate &candidate, const StepSpec &step, const SlopeTable &table);

} // namespace Filbertlanding
