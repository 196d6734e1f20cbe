/** @file placement_log.cpp Log lines of the tasks that have waited for long, and of the load that they wait behind. */

#include "core/clock_func.h"
#include "fleet/fleet_load.h"
#include "fleetd/fleet_core.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration LoadInterval{1'000}; ///< Interval between two lines of the load.

} // namespace

void FleetCore::logHeldTasks()
{
    for (const HeldStep &held : checkWaitingSteps(this->waitingSteps, *this->scheduler, this->state, steadyNow())) {
        logLine(LogArea::Place,
                LogLevel::Info,
                "task_held",
                {{"job", this->state.jobs.at(held.task.job).id},
                 {"occurrence", held.task.occurrence},
                 {"step", held.task.step},
                 {"index", held.task.index},
                 {"pending", held.pendingTasks},
                 {"waitedMs", held.waitedFor.ms},
                 {"idleMs", formatIdleTasks(held.idleTasks)},
                 {"place", held.place},
                 {"readySteps", held.readySteps},
                 {"harm", HarmToleranceNames.nameOf(held.harmTolerance)},
                 {"willing", held.workers.willing},
                 {"heldBy", formatHoldCounts(held.workers.byReason)},
                 {"heldWithRoom", formatHoldCounts(held.workers.withRoom)},
                 {"largestFreeCpu", held.workers.largestFreeCpuMillis},
                 {"requestCpu", this->state.jobs.at(held.task.job).spec.steps[held.task.step].request.cpuMillis}});
    }
}

void FleetCore::logFleetLoad()
{
    const TimePoint now = steadyNow();
    if (now < this->nextLoadLine) {
        return;
    }
    this->nextLoadLine = now + LoadInterval;
    const FleetLoad load = measureFleetLoad(*this->scheduler, this->state, now);
    const auto of = [&load](DeadlineStatus deadline) {
        return load.byStatus[static_cast<std::size_t>(deadline)];
    };
    logLine(LogArea::Place,
            LogLevel::Info,
            "fleet_load",
            {{"workers", load.workers},
             {"capacityCpu", load.capacityCpuMillis},
             {"heldWorkers", this->scheduler->capacityHolds.size()},
             {"freeCpu", load.freeCpuMillis},
             {"fittingCpu", load.fittingCpuMillis},
             {"longRunningCpu", load.longRunning.runningCpuMillis},
             {"longRunningWaitingCpu", load.longRunning.waitingCpuMillis},
             {"onTimeCpu", of(DeadlineStatus::OnTime).runningCpuMillis},
             {"onTimeWaitingCpu", of(DeadlineStatus::OnTime).waitingCpuMillis},
             {"lateCpu", of(DeadlineStatus::Late).runningCpuMillis},
             {"lateWaitingCpu", of(DeadlineStatus::Late).waitingCpuMillis},
             {"expiredCpu", of(DeadlineStatus::Expired).runningCpuMillis},
             {"expiredWaitingCpu", of(DeadlineStatus::Expired).waitingCpuMillis}});
}

} // namespace Filbertlanding
