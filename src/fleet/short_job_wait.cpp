/** @file short_job_wait.cpp Short jobs that become late because all workers are full. */

#include "fleet/short_job_wait.h"

#include "fleet/placement_candidates.h"
#include "fleet/scheduler_detail.h"

namespace Filbertlanding {

void recordShortJobWaits(FleetScheduler &scheduler,
                         const FleetState &state,
                         const std::vector<PlacementCandidate *> &candidates,
                         const std::vector<ReadyStep> &ready,
                         TimePoint now)
{
    constexpr Duration LearningTime{5'000}; // A new leader does not know all workers before.
    if (now - scheduler.since < LearningTime) {
        return;
    }
    const LargestWorkers largestWorkers = findLargestWorkers(candidates);
    for (const ReadyStep &step : ready) {
        if (step.isLongRunning || step.usesSpareCapacity || step.isHeldByAccountLimit || !isDeadlineNear(step, now)) {
            continue;
        }
        const FleetJob &job = state.jobs.at(step.job);
        const auto largest = largestWorkers.find(job.queue.service);
        const std::int64_t request = job.spec.steps[step.step].request.cpuMillis;
        const bool lacksCpu = largest != largestWorkers.end() && request > largest->second.free.cpuMillis && request <= largest->second.capacity.cpuMillis;
        if (lacksCpu && countPendingTasks(scheduler, job, step.occurrence, step.step) > 0) {
            scheduler.shortJobWaits[{job.queue.service, step.priority}] = now;
        }
    }
}

} // namespace Filbertlanding
