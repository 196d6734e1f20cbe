/** @file memory_limits.h Limits of the memory that callers make the replicated state hold, from the settings. */

#pragma once

#include "fleet/job_admission.h"
#include "settings/fleet_settings.h"

namespace Filbertlanding {

/** Returns the memory limits of the settings. */
MemoryLimits memoryLimitsOf(const FleetDaemonSettings &settings);

} // namespace Filbertlanding
