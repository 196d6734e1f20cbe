/** @file placement_candidates.h The workers among which a placement pass chooses. */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <set>
#include <vector>

namespace Filbertlanding {

/** Returns the workers on which tasks may be placed now, with their candidates brought up to date. */
std::vector<PlacementCandidate *> usableWorkers(FleetScheduler &scheduler, const FleetState &state, TimePoint now);

/** Returns the services with less than half of their CPU reserved. */
std::set<ServiceName> findIdleServices(const std::vector<PlacementCandidate *> &candidates);

} // namespace Filbertlanding
