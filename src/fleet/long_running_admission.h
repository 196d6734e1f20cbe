/** @file long_running_admission.h Admission control of long-running jobs while short jobs wait for CPU. */

#pragma once

#include "core/clock_type.h"
#include "fleet/fleet_type.h"

#include <map>
#include <utility>

namespace Filbertlanding {

/** Time at which accepted short jobs last waited with little slack left, by service and priority. */
using ShortJobWaits = std::map<std::pair<ServiceName, std::int64_t>, TimePoint>;

/** Returns whether a long-running job may be accepted: not while short jobs of its priority or a higher one become late for want of CPU. */
bool canAdmitLongRunningJob(const ShortJobWaits &waits, const ServiceName &service, std::int64_t priority, TimePoint now);

/** Returns whether a job keeps CPU reserved for as long as its callers want. */
bool reservesCpuForGood(const JobSpec &spec);

} // namespace Filbertlanding
