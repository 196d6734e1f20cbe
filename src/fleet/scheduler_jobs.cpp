/** @file scheduler_jobs.cpp Adds and removes the scheduling data of jobs. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns whether workers have crashed under a task of a job. */
    bool hasCrashSuspects(const FleetJob &job)
    {
        bool hasCrashes = false;
        forEachTask(job, [&hasCrashes](const TaskRef &, const TaskRecord &task) {
            hasCrashes = hasCrashes || task.crashHistory.crashes > 0;
        });
        return hasCrashes;
    }

} // namespace

JobView &addJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now, WallTime wall)
{
    JobView view;
    // An age outside of this range means that the wall clock was adjusted since the job was accepted.
    constexpr std::int64_t MaxAgeMs = 120'000;
    const std::int64_t age = std::clamp<std::int64_t>(wall.ms - job.acceptedAt.ms, 0, MaxAgeMs);
    view.acceptedAt = now - Duration{age};
    view.hasSuspects = hasCrashSuspects(job);
    refreshJobView(scheduler, job, view);
    return scheduler.jobs[job.number] = std::move(view);
}

void removeJob(FleetScheduler &scheduler, JobNumber job)
{
    const TaskRef first{job, 0, 0, 0};
    const TaskRef last{job + 1, 0, 0, 0};
    scheduler.failedRuns.erase(scheduler.failedRuns.lower_bound(first), scheduler.failedRuns.lower_bound(last));
    scheduler.migrationCounts.erase(scheduler.migrationCounts.lower_bound(first), scheduler.migrationCounts.lower_bound(last));
    scheduler.migratingTasks.erase(scheduler.migratingTasks.lower_bound(first), scheduler.migratingTasks.lower_bound(last));
    scheduler.heldSuspects.erase(scheduler.heldSuspects.lower_bound(first), scheduler.heldSuspects.lower_bound(last));
    scheduler.jobs.erase(job);
}

} // namespace Filbertlanding
