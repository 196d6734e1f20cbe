/** @file service_order.h Order in which steps with tasks to start are served when not all of them fit. */

#pragma once

#include "fleet/fleet_state_base.h"

#include <vector>

namespace Filbertlanding {

/** A step whose turn has come, with tasks that do not run. */
struct ReadyStep {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t pendingTasks = 0; ///< Tasks without a run.
    std::int64_t priority = 0; ///< Of its queue; 0 goes first.
    bool isLongRunning = false;
    bool usesSpareCapacity = false;
    TimePoint acceptedAt;
    TimePoint objectiveDeadline; ///< Latest end with which the job is served in time.
    Duration remainingCriticalPath; ///< Longest chain of work from this step to the end of the job.
    double valueDensity = 0; ///< Worth of the job for each processor second that it still needs.
};

/** How a step stands with its objective. */
enum class DeadlineStatus : std::uint8_t {
    OnTime, ///< Can still be served in time.
    Late, ///< Will be late, and is worth less.
    Expired, ///< Is worth nothing to its caller any more, but was accepted.
};

/** Returns what a step that starts now can still reach. */
DeadlineStatus deadlineStatus(const ReadyStep &step, TimePoint now);

/** Returns whether a step has little time left to wait for a better place, and its result is still worth something. */
bool isDeadlineNear(const ReadyStep &step, TimePoint now);

/** Sorts steps into the order of service. */
void sortByServiceOrder(std::vector<ReadyStep> &steps, TimePoint now);

} // namespace Filbertlanding
