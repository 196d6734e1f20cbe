/** @file placement_candidates.h The workers among which a placement pass chooses. */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

/** Returns the workers on which tasks may be placed now, with their candidates brought up to date. */
std::vector<PlacementCandidate *> usableWorkers(FleetScheduler &scheduler, const FleetState &state, TimePoint now);

/** Most that any one worker of a service has, of each resource; it need not be the same worker for all of them. */
struct LargestWorker {
    Resources capacity;
    Resources free;
    Resources freeOnSlow; ///< On workers that are avoided for slow or failing tasks.
};

using LargestWorkers = std::map<ServiceName, LargestWorker>;

/** Returns the larger amount of each resource. */
Resources largerOf(const Resources &left, const Resources &right);

/** Returns the most that any one worker of each service has. */
LargestWorkers findLargestWorkers(const std::vector<PlacementCandidate *> &candidates);

/** Returns the capacity of workers together. */
Resources totalCapacity(const std::vector<PlacementCandidate *> &candidates);

/** Returns the services with less than half of their CPU reserved. */
std::set<ServiceName> findIdleServices(const std::vector<PlacementCandidate *> &candidates);

} // namespace Filbertlanding
