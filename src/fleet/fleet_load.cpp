/** @file fleet_load.cpp Summarizes who uses the capacity of the workers, and who waits for it. */

#include "fleet/fleet_load.h"

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    WorkLoad &loadOf(FleetLoad &load, DeadlineStatus status)
    {
        return load.byStatus[static_cast<std::size_t>(status)];
    }

    /** Returns the deadline status that a run had when it was placed. */
    DeadlineStatus statusAtPlacement(const FleetScheduler &scheduler, const TaskRef &task, const RunView &run)
    {
        const auto view = scheduler.jobs.find(task.job);
        if (view == scheduler.jobs.end() || task.step >= view->second.criticalPathFrom.size()) {
            return DeadlineStatus::Expired; // The job has ended, and its runs are being stopped.
        }
        ReadyStep step;
        step.acceptedAt = view->second.acceptedAt;
        step.objectiveDeadline = view->second.objectiveDeadline;
        step.remainingCriticalPath = view->second.criticalPathFrom[task.step];
        return deadlineStatus(step, run.since);
    }

    void addRuns(FleetLoad &load, const FleetScheduler &scheduler, const WorkerSession &session)
    {
        for (const auto &[task, run] : session.runs) {
            if (run.usesSpareCapacity) {
                continue;
            }
            WorkLoad &work = run.isLongRunning ? load.longRunning : loadOf(load, statusAtPlacement(scheduler, task, run));
            work.runningCpuMillis += run.reserved.cpuMillis;
        }
    }

    void addWaitingTasks(FleetLoad &load, const FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        for (const ReadyStep &step : scheduler.readySteps) {
            const auto job = scheduler.jobs.contains(step.job) ? state.jobs.find(step.job) : state.jobs.end();
            if (job == state.jobs.end() || step.usesSpareCapacity) {
                continue;
            }
            const std::uint32_t tasks = countPendingTasks(scheduler, job->second, step.occurrence, step.step);
            WorkLoad &work = step.isLongRunning ? load.longRunning : loadOf(load, deadlineStatus(step, now));
            work.waitingTasks += tasks;
            work.waitingCpuMillis += job->second.spec.steps[step.step].request.cpuMillis * std::int64_t{tasks};
        }
    }

    /** Returns the mean CPU request of the waiting tasks that are not long-running; 0 if none waits. */
    std::int64_t meanWaitingRequest(const FleetLoad &load)
    {
        std::int64_t tasks = 0;
        std::int64_t cpuMillis = 0;
        for (const WorkLoad &work : load.byStatus) {
            tasks += work.waitingTasks;
            cpuMillis += work.waitingCpuMillis;
        }
        return tasks == 0 ? 0 : cpuMillis / tasks;
    }

} // namespace

FleetLoad measureFleetLoad(const FleetScheduler &scheduler, const FleetState &state, TimePoint now)
{
    FleetLoad load;
    addWaitingTasks(load, scheduler, state, now);
    const std::int64_t request = meanWaitingRequest(load);
    for (const auto &[number, session] : scheduler.sessions) {
        addRuns(load, scheduler, session);
        const auto incarnation = state.incarnations.find(number);
        if (incarnation == state.incarnations.end() || !isUsable(state, session, now)) {
            continue;
        }
        const std::int64_t capacity = usableCapacity(session, incarnation->second.profile.capacity).cpuMillis;
        const std::int64_t free = std::max<std::int64_t>(0, capacity - session.used.cpuMillis);
        ++load.workers;
        load.capacityCpuMillis += capacity;
        load.freeCpuMillis += free;
        load.fittingCpuMillis += request > 0 ? free / request * request : free;
    }
    return load;
}

} // namespace Filbertlanding
