/**
 * @file worker_report_check.h Checks whether a status report can be one of a worker of this fleet.
 *
 * Workers are known only by what they report, and anything may write to the address to which they do. A report that cannot be true must not reach
 * the replicated state: it would stay there, and under the name of a sound worker it would end that worker's runs.
 */

#pragma once

#include "core/result_code.h"
#include "fleet/fleet_scheduler_func.h"

#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Why a report is refused. */
struct WorkerReportError {
    ResultCode code = ResultCode::BadRequest;
    std::string message;
};

/**
 * Returns why a report cannot be one of a worker of this fleet; nothing if it can.
 * @param availabilityZones Zones that have hosts; empty if they are not known.
 */
std::optional<WorkerReportError>
findReportError(const FleetWorkerReport &report, const FleetState &state, const std::vector<ZoneName> &availabilityZones, WallTime now);

} // namespace Filbertlanding
