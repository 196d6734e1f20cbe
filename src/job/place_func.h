/** @file place_func.h Helper functions shared by placement policies. */

#pragma once

#include "job/place_type.h"

#include <optional>

namespace Filbertlanding {

/** Returns the capacity of a worker that tasks may use: all of it for urgent tasks, without the reserved share for others. */
Resources usableCapacity(const PlaceCandidate &worker, bool urgent, const PlaceSettings &settings);

/**
 * Returns the size to charge for a task on a worker.
 * The assumed size of a class without measurements can exceed every worker. On a worker without batch tasks the size is therefore reduced
 * to the free capacity, but not below the declared size, so that the task starts there alone and its class is measured.
 * @return The size, or nothing if the task does not fit.
 */
std::optional<Resources> fittingSize(const PlaceRequest &request, const PlaceCandidate &worker, const PlaceSettings &settings);

/** Returns the slowdown of the worker's requests that the task is expected to add. */
double addedSlowdown(const PlaceRequest &request, const PlaceCandidate &worker, const InterferenceTable &interference);

/** Returns the expected slowdown of a worker's requests above which no further task is placed there. */
double slowdownLimit(const PlaceSettings &settings);

/** Returns whether the job has failed on the worker with this index. */
bool failedOnWorker(const PlaceRequest &request, std::uint32_t worker);

} // namespace Filbertlanding
