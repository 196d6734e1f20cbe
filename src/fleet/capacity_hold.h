/**
 * @file capacity_hold.h Holds capacity of workers for requests that are too large for the gaps between smaller tasks.
 *
 * What a busy worker frees is taken by small tasks at once, so the capacity for a large request is never free as a whole. A hold leaves a worker to one
 * step until the short tasks there have ended, as reservations of backfilling batch schedulers do. Meanwhile short tasks are placed on the worker only
 * if they are expected to end before, or if they fit beside the request. Other long-running tasks may use the worker at any time, which ends the hold if
 * too little remains. A worker is held only if its short tasks are all that is in the way; what long-running tasks reserve is not expected to become free.
 */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <optional>
#include <vector>

namespace Filbertlanding {

/** When a worker will have room for a request. */
struct RoomForecast {
    TimePoint readyAt; ///< Time by which enough of its short tasks are expected to have ended.
    Resources beyond; ///< What is free beside the request then.
};

/** Returns when a worker will have room for a request; nothing if its long-running tasks leave too little. */
std::optional<RoomForecast>
forecastRoom(const SchedulerSettings &settings, const WorkerSession &session, const Resources &capacity, const Resources &request, TimePoint now);

/** Ends the holds whose time is over, whose worker can no longer be used, or whose step no longer needs them, and sets the others on the candidates. */
void refreshHolds(FleetScheduler &scheduler, const FleetState &state, const std::vector<PlacementCandidate *> &candidates, TimePoint now);

/**
 * Holds the worker on which there will be room for one more task of the query's step first. Returns whether one was found. At most a part of the
 * workers of a service is held at the same time.
 */
bool holdWorker(FleetScheduler &scheduler, const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates, TimePoint now);

/** Returns the number of workers that are held for a step. */
std::uint32_t countHolds(const FleetScheduler &scheduler, const StepRef &step);

} // namespace Filbertlanding
