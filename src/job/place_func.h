/** @file place_func.h Parts of a placement decision that policies share. */

#pragma once

#include "job/place_type.h"

#include <optional>

namespace Filbertlanding {

/** Capacity of a worker that a task may fill: all for urgent tasks, all but the reserved share for others. */
Resources usableCapacity(const PlaceCandidate &worker, bool urgent, const PlaceSettings &settings);

/**
 * Size at which a task counts on a worker.
 * The prior of an unknown class may be larger than any worker. On a worker without batch tasks the size is cut to what is free there,
 * but never below the declared size, so that such a task starts alone and its class gets measured.
 * @return The size, or nothing when it does not fit.
 */
std::optional<Resources> fittingSize(const PlaceRequest &request, const PlaceCandidate &worker, const PlaceSettings &settings);

/** Slowdown of the worker's requests that the task is expected to add. */
double addedSlowdown(const PlaceRequest &request, const PlaceCandidate &worker, const InterferenceTable &interference);

/** Expected slowdown of a worker's requests above which no task is added. */
double slowdownLimit(const PlaceSettings &settings);

/** Returns whether the job failed on the worker with this index before. */
bool failedOnWorker(const PlaceRequest &request, std::uint32_t worker);

} // namespace Filbertlanding
