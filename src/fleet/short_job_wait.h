/** @file short_job_wait.h Short jobs that become late because all workers are full. */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <vector>

namespace Filbertlanding {

/**
 * Records which services and priorities have short jobs that become late because no worker has the CPU for their tasks after a placement pass.
 * Tasks that wait for something else, such as a label, memory or room within the limit of their account, don't count.
 */
void recordShortJobWaits(FleetScheduler &scheduler,
                         const FleetState &state,
                         const std::vector<PlacementCandidate *> &candidates,
                         const std::vector<ReadyStep> &ready,
                         TimePoint now);

} // namespace Filbertlanding
