/** @file scheduler_care.cpp Care for what runs: tasks on workers that drain, and the pace of tasks in spare room. */

#include "fleet/pace_control.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr Duration DrainMargin{400}; ///< Time before the end of a draining worker by which a task must have saved its progress.
    constexpr Duration MigrationOverhead{100}; ///< Orders and the log entry of a new start.
    constexpr Duration BadWorkerBackoff{1'500}; ///< Time for which nothing is placed on a worker with standing or slow tasks.
    constexpr unsigned MaxMigrations = 3; ///< Times that a task is moved for its progress.
    constexpr Duration ThrottleInterval{450}; ///< Time until a changed pace shows in the tails, which cover half a second.

} // namespace

namespace {

    /** Returns the run time that is expected of a run, by what runs of its step on other workers show. */
    RunTimeBelief
    estimateOnWorker(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session, const TaskRef &task, const RunView &run)
    {
        RunTimeBelief belief = expectedTaskTime(scheduler, state.jobs.at(task.job), task.step, session.incarnation);
        if (run.isDataRemote) {
            belief.mean += std::log(static_cast<double>(std::max<std::int64_t>(1, scheduler.settings.farFactor)));
        }
        return belief;
    }

} // namespace

void evacuateDrainingWorker(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now)
{
    const auto incarnation = state.incarnations.find(session.incarnation);
    if (incarnation == state.incarnations.end() || !incarnation->second.profile.isDraining) {
        return;
    }
    for (auto &[task, run] : session.runs) {
        if (run.phase != RunPhase::Started || run.isStopRequested) {
            continue;
        }
        const TimePoint leaves = session.earliestExit.value_or(now);
        const Duration left = leaves - now;
        const Duration needed = scheduler.settings.stopTimeout + DrainMargin;
        const bool savesProgress = run.isCheckpointed && left <= needed;
        if (run.isLasting || savesProgress) {
            run.isStopRequested = true;
            run.nextAttempt = now;
            session.nextRunOrderAt = now;
        }
    }
}

namespace {

    /** Returns what the runs on a worker show of its speed. The tasks of one step say little more than one of them, since they are alike. */
    WorkerSlowness slownessOf(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session)
    {
        WorkerSlowness slowness = session.completedRunSlowness;
        const TaskRef *previous = nullptr;
        for (const auto &[task, run] : session.runs) {
            const bool isAlike = previous != nullptr && previous->job == task.job && previous->step == task.step;
            const bool isWatched = !run.isLasting && run.phase == RunPhase::Started && !run.isEndProposed;
            const auto shown = isWatched && !isAlike ? shownRunTime(run.progress) : std::nullopt;
            if (shown) {
                previous = &task;
                addSlowness(slowness, *shown, estimateOnWorker(scheduler, state, session, task, run));
            }
        }
        return slowness;
    }

    /** Returns whether one more task of a step may be moved now: a bounded number of times each, and never most of a step at once. */
    bool mayMigrate(const FleetScheduler &scheduler, const FleetState &state, const TaskRef &task)
    {
        const auto moved = scheduler.migrationCounts.find(task);
        if (moved != scheduler.migrationCounts.end() && moved->second >= MaxMigrations) {
            return false;
        }
        const auto first = scheduler.migratingTasks.lower_bound({task.job, task.occurrence, task.step, 0});
        const auto last = scheduler.migratingTasks.lower_bound({task.job, task.occurrence, task.step + 1, 0});
        const std::uint32_t taskCount = state.jobs.at(task.job).spec.steps[task.step].taskCount;
        return std::distance(first, last) < static_cast<std::ptrdiff_t>(std::max<std::uint32_t>(1, taskCount / 2));
    }

    /** Has a task run elsewhere, as a copy where that is allowed. */
    void migrateRun(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, RunView &run, TimePoint now)
    {
        if (run.mayRunCopies) {
            run.isCopyRequested = true;
            scheduler.requestedCopies[task] = session.incarnation;
            scheduler.isPlacementDue = true;
            return;
        }
        ++scheduler.migrationCounts[task];
        scheduler.migratingTasks.insert(task);
        run.isStopRequested = true;
        run.nextAttempt = now;
        session.nextRunOrderAt = now;
    }

} // namespace

void checkProgress(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now)
{
    const WorkerSlowness slowness = slownessOf(scheduler, state, session);
    for (auto &[task, run] : session.runs) {
        if (run.isLasting || run.phase != RunPhase::Started || run.isStopRequested || run.isCopyRequested || run.isEndProposed) {
            continue;
        }
        ProgressInput input;
        input.progress = run.progress;
        input.belief = estimateOnWorker(scheduler, state, session, task, run);
        input.worker = slowness;
        input.isPaced = run.sentSpeedLimitPercent < 100 || run.pacePercent < 100;
        input.isCheckpointed = run.isCheckpointed;
        input.moveCost = scheduler.settings.stopTimeout + (run.isCheckpointed ? scheduler.settings.restoreTime : MigrationOverhead);
        if (judgeProgress(input) == ProgressVerdict::Normal) {
            continue;
        }
        session.noPlacementUntil = std::max(session.noPlacementUntil, now + BadWorkerBackoff);
        if (mayMigrate(scheduler, state, task)) {
            migrateRun(scheduler, session, task, run, now);
        }
    }
}

namespace {

    /** What presses on whom on one worker. */
    struct WorkerInterference {
        double worstTail = 0;
        Duration overFor;
        std::map<std::string, double> blame; ///< Part of each image in what presses on tasks over their targets.
    };

    WorkerInterference measureInterference(const FleetScheduler &scheduler, const WorkerSession &session, TimePoint now)
    {
        WorkerInterference interference;
        for (const auto &[task, run] : session.runs) {
            if (!run.isLasting || run.latencyTarget.ms == 0) {
                continue;
            }
            interference.worstTail = std::max(interference.worstTail, static_cast<double>(run.measurement) / static_cast<double>(run.latencyTarget.ms));
            if (!run.overTargetSince) {
                continue;
            }
            interference.overFor = std::max(interference.overFor, now - *run.overTargetSince);
            double total = 0;
            for (const auto &[image, share] : session.cpuSharesInUse) {
                total += slopeOf(scheduler.learnedModel.interference, run.image, image) * share;
            }
            for (const auto &[image, share] : session.cpuSharesInUse) {
                const double part = total > 0 ? slopeOf(scheduler.learnedModel.interference, run.image, image) * share / total : 1.0;
                interference.blame[image] = std::max(interference.blame[image], part);
            }
        }
        return interference;
    }

} // namespace

void adjustSpeedLimits(FleetScheduler &scheduler, WorkerSession &session, TimePoint now)
{
    if (!session.hasNewTailLatency || now - session.speedLimitsAdjustedAt < ThrottleInterval + scheduler.settings.paceDelay) {
        return;
    }
    session.hasNewTailLatency = false;
    session.speedLimitsAdjustedAt = now;
    const WorkerInterference interference = measureInterference(scheduler, session, now);
    for (auto &[task, run] : session.runs) {
        if (!run.fillsSpare || run.phase != RunPhase::Started) {
            continue;
        }
        const auto blame = interference.blame.find(run.image);
        const PaceInput input{.pacePercent = run.pacePercent,
                              .worstTail = interference.worstTail,
                              .blame = blame == interference.blame.end() ? 0.0 : blame->second,
                              .overFor = interference.overFor,
                              .harmLimit = scheduler.settings.harmLimit};
        const std::int64_t next = nextPace(input);
        if (next != run.pacePercent) {
            run.pacePercent = next;
            run.nextAttempt = now;
            session.nextRunOrderAt = now;
        }
    }
}

} // namespace Filbertlanding
