/** @file scheduler_care.cpp Care for what runs: tasks on workers that drain, and the pace of tasks in spare room. */

#include "fleet/pace_control.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr Duration LeaveMargin{400}; ///< Time before the end of a draining worker by which a task must have saved its progress.
    constexpr Duration MoveMargin{100}; ///< Orders and the log entry of a new start.
    constexpr Duration BadWorkerWait{1'500}; ///< Time for which nothing is placed on a worker with standing or slow tasks.
    constexpr unsigned MostMoves = 3; ///< Times that a task is moved for its progress.
    constexpr Duration PaceInterval{450}; ///< Time until a changed pace shows in the tails, which cover half a second.

} // namespace

namespace {

    /** Returns the run time that is expected of a run, by what runs of its step on other workers show. */
    RunTimeEstimate
    beliefOnWorker(const FleetScheduler &scheduler, const FleetState &state, const WorkerContact &contact, const TaskRef &task, const RunView &run)
    {
        RunTimeEstimate runTimeEstimate = expectedTaskTime(scheduler, state.jobs.at(task.job), task.step, contact.incarnation);
        if (run.isFar) {
            runTimeEstimate.mean += std::log(static_cast<double>(std::max<std::int64_t>(1, scheduler.settings.farFactor)));
        }
        return runTimeEstimate;
    }

} // namespace

void moveOffDraining(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now)
{
    const auto incarnation = state.incarnations.find(contact.incarnation);
    if (incarnation == state.incarnations.end() || !incarnation->second.profile.isDraining) {
        return;
    }
    for (auto &[task, run] : contact.runs) {
        if (run.phase != RunPhase::Started || run.stopWanted) {
            continue;
        }
        const TimePoint leaves = contact.leavesAt.value_or(now);
        const Duration left = leaves - now;
        const Duration needed = scheduler.settings.stopTimeout + LeaveMargin;
        const bool savesProgress = run.isCheckpointed && left <= needed;
        if (run.isLongRunning || savesProgress) {
            run.stopWanted = true;
            run.nextTry = now;
            contact.nextRunDue = now;
        }
    }
}

namespace {

    /** Returns what the runs on a worker show of its speed. The tasks of one step say little more than one of them, since they are alike. */
    WorkerSlowness slownessOf(const FleetScheduler &scheduler, const FleetState &state, const WorkerContact &contact)
    {
        WorkerSlowness slowness = contact.endedSlowness;
        const TaskRef *previous = nullptr;
        for (const auto &[task, run] : contact.runs) {
            const bool isAlike = previous != nullptr && previous->job == task.job && previous->step == task.step;
            const bool isWatched = !run.isLongRunning && run.phase == RunPhase::Started && !run.isEnding;
            const auto shown = isWatched && !isAlike ? observedRunTime(run.progress) : std::nullopt;
            if (shown) {
                previous = &task;
                addSlownessSample(slowness, *shown, beliefOnWorker(scheduler, state, contact, task, run));
            }
        }
        return slowness;
    }

    /** Returns whether one more task of a step may be moved now: a bounded number of times each, and never most of a step at once. */
    bool mayMove(const FleetScheduler &scheduler, const FleetState &state, const TaskRef &task)
    {
        const auto moved = scheduler.moves.find(task);
        if (moved != scheduler.moves.end() && moved->second >= MostMoves) {
            return false;
        }
        const auto first = scheduler.tasksOnMove.lower_bound({task.job, task.occurrence, task.step, 0});
        const auto last = scheduler.tasksOnMove.lower_bound({task.job, task.occurrence, task.step + 1, 0});
        const std::uint32_t taskCount = state.jobs.at(task.job).spec.steps[task.step].taskCount;
        return std::distance(first, last) < static_cast<std::ptrdiff_t>(std::max<std::uint32_t>(1, taskCount / 2));
    }

    /** Has a task run elsewhere, as a copy where that is allowed. */
    void moveRun(FleetScheduler &scheduler, WorkerContact &contact, const TaskRef &task, RunView &run, TimePoint now)
    {
        if (run.allowsSpeculativeCopies) {
            run.copyWanted = true;
            scheduler.wantedCopies[task] = contact.incarnation;
            scheduler.placeDue = true;
            return;
        }
        ++scheduler.moves[task];
        scheduler.tasksOnMove.insert(task);
        run.stopWanted = true;
        run.nextTry = now;
        contact.nextRunDue = now;
    }

} // namespace

void watchProgress(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now)
{
    const WorkerSlowness slowness = slownessOf(scheduler, state, contact);
    for (auto &[task, run] : contact.runs) {
        if (run.isLongRunning || run.phase != RunPhase::Started || run.stopWanted || run.copyWanted || run.isEnding) {
            continue;
        }
        ProgressInput input;
        input.progress = run.progress;
        input.runTimeEstimate = beliefOnWorker(scheduler, state, contact, task, run);
        input.worker = slowness;
        input.isThrottled = run.paceSent < 100 || run.speedLimitPercent < 100;
        input.isCheckpointed = run.isCheckpointed;
        input.restartDelay = scheduler.settings.stopTimeout + (run.isCheckpointed ? scheduler.settings.restoreTime : MoveMargin);
        if (assessProgress(input) == ProgressVerdict::Normal) {
            continue;
        }
        contact.avoidUntil = std::max(contact.avoidUntil, now + BadWorkerWait);
        if (mayMove(scheduler, state, task)) {
            moveRun(scheduler, contact, task, run, now);
        }
    }
}

namespace {

    /** What presses on whom on one worker. */
    struct WorkerPressure {
        double highestTailRatio = 0;
        Duration overTargetFor;
        std::map<std::string, double> interferenceShare; ///< Part of each image in what presses on tasks over their targets.
    };

    WorkerPressure pressureOn(const FleetScheduler &scheduler, const WorkerContact &contact, TimePoint now)
    {
        WorkerPressure pressure;
        for (const auto &[task, run] : contact.runs) {
            if (!run.isLongRunning || run.latencyTarget.ms == 0) {
                continue;
            }
            pressure.highestTailRatio = std::max(pressure.highestTailRatio, static_cast<double>(run.measure) / static_cast<double>(run.latencyTarget.ms));
            if (!run.overTargetSince) {
                continue;
            }
            pressure.overTargetFor = std::max(pressure.overTargetFor, now - *run.overTargetSince);
            double total = 0;
            for (const auto &[image, share] : contact.sharesInUse) {
                total += interferenceSlope(scheduler.learnedModel.interference, run.image, image) * share;
            }
            for (const auto &[image, share] : contact.sharesInUse) {
                const double part = total > 0 ? interferenceSlope(scheduler.learnedModel.interference, run.image, image) * share / total : 1.0;
                pressure.interferenceShare[image] = std::max(pressure.interferenceShare[image], part);
            }
        }
        return pressure;
    }

} // namespace

void adaptPace(FleetScheduler &scheduler, WorkerContact &contact, TimePoint now)
{
    if (!contact.hasNewTails || now - contact.paceChecked < PaceInterval + scheduler.settings.paceDelay) {
        return;
    }
    contact.hasNewTails = false;
    contact.paceChecked = now;
    const WorkerPressure pressure = pressureOn(scheduler, contact, now);
    for (auto &[task, run] : contact.runs) {
        if (!run.usesSpareCapacity || run.phase != RunPhase::Started) {
            continue;
        }
        const auto interferenceShare = pressure.interferenceShare.find(run.image);
        const ThrottleInput input{.speedLimitPercent = run.speedLimitPercent,
                                  .highestTailRatio = pressure.highestTailRatio,
                                  .interferenceShare = interferenceShare == pressure.interferenceShare.end() ? 0.0 : interferenceShare->second,
                                  .overTargetFor = pressure.overTargetFor,
                                  .harmLimit = scheduler.settings.harmLimit};
        const std::int64_t next = nextSpeedLimit(input);
        if (next != run.speedLimitPercent) {
            run.speedLimitPercent = next;
            run.nextTry = now;
            contact.nextRunDue = now;
        }
    }
}

} // namespace Filbertlanding
