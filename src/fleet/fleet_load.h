/** @file fleet_load.h Summarizes who uses the capacity of the workers, and who waits for it. */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <array>
#include <cstdint>

namespace Filbertlanding {

/** Work of one kind: that of jobs with the same deadline status, or of long-running jobs. */
struct WorkLoad {
    std::int64_t runningCpuMillis = 0; ///< CPU reserved by its runs.
    std::uint32_t waitingTasks = 0; ///< Tasks of ready steps without a run.
    std::int64_t waitingCpuMillis = 0; ///< CPU that they would reserve.
};

/** Use of the workers' CPU by tasks that reserve it, as of the last placement pass. Tasks that use spare capacity are left out. */
struct FleetLoad {
    std::uint32_t workers = 0; ///< Workers on which tasks may be placed now.
    std::int64_t capacityCpuMillis = 0; ///< CPU of these workers.
    std::int64_t freeCpuMillis = 0; ///< CPU that is not reserved.
    std::int64_t fittingCpuMillis = 0; ///< Part of it that waiting tasks of the mean size could reserve, each as a whole on one worker.
    WorkLoad longRunning;
    std::array<WorkLoad, DeadlineStatusNames.rows.size()> byStatus; ///< Other work. Runs count as of their placement, or of the take-over.
};

/** Measures the present load. It examines all workers and all of their runs. */
FleetLoad measureFleetLoad(const FleetScheduler &scheduler, const FleetState &state, TimePoint now);

} // namespace Filbertlanding
