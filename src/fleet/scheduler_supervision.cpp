/** @file scheduler_supervision.cpp Supervision of running tasks: evacuation of draining workers, progress checks, and speed limits. */

#include "fleet/account_standing.h"
#include "fleet/pace_control.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr Duration DrainMargin{400}; ///< Time before the exit of a draining worker by which a checkpointed task must have saved its checkpoint.
    constexpr Duration MigrationOverhead{100}; ///< Duration of the orders and the log entry of a new start.
    constexpr Duration BadWorkerBackoff{1'500}; ///< Time for which a worker with stalled or slow tasks is avoided.
    constexpr unsigned MaxMigrations = 3; ///< Maximum number of migrations of a task because of its progress.
    constexpr Duration MaxStandstill{5'000}; ///< Time after which a task that stands still is moved to another worker, if one takes it.
    constexpr Duration ThrottleInterval{450}; ///< Time until a changed speed limit is visible in the tail latencies, which cover half a second.

} // namespace

namespace {

    /** Returns the expected run time of a run, based on the runs of its step on other workers. */
    RunTimeEstimate
    estimateOnWorker(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session, const TaskRef &task, const RunView &run)
    {
        RunTimeEstimate runTimeEstimate = expectedTaskTime(scheduler, state.jobs.at(task.job), task.step, session.incarnation);
        if (run.isDataRemote) {
            runTimeEstimate.mean += std::log(static_cast<double>(std::max<std::int64_t>(1, scheduler.settings.farFactor)));
        }
        return runTimeEstimate;
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
        const TimePoint exitAt = session.earliestExit.value_or(now);
        const Duration timeLeft = exitAt - now;
        const Duration timeNeeded = scheduler.settings.stopTimeout + DrainMargin;
        const bool savesProgress = run.isCheckpointed && timeLeft <= timeNeeded;
        if (run.isLongRunning || savesProgress) {
            run.isStopRequested = true;
            run.nextAttempt = now;
            session.nextRunOrderAt = now;
        }
    }
}

namespace {

    /** Returns the slowness that the runs on a worker show. Only one run per step counts, since the errors of alike tasks are correlated. */
    WorkerSlowness slownessOf(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session)
    {
        WorkerSlowness slowness = session.completedRunSlowness;
        const TaskRef *previous = nullptr;
        for (const auto &[task, run] : session.runs) {
            const bool isSameStep = previous != nullptr && previous->job == task.job && previous->step == task.step;
            const bool isTracked = !run.isLongRunning && run.phase == RunPhase::Started && !run.isEndProposed;
            const auto observed = isTracked && !isSameStep ? observedRunTime(run.progress) : std::nullopt;
            if (observed) {
                previous = &task;
                addSlownessSample(slowness, *observed, estimateOnWorker(scheduler, state, session, task, run));
            }
        }
        return slowness;
    }

    /**
     * Returns whether a task may be migrated now. The number of migrations per task is limited, and only half of a step may migrate at the same time. A run
     * is not stopped if the limit of its account, which may have been lowered since its start, would not let the task start again.
     */
    bool mayMigrate(const FleetScheduler &scheduler, const FleetState &state, const TaskRef &task)
    {
        const auto moved = scheduler.migrationCounts.find(task);
        if (moved != scheduler.migrationCounts.end() && moved->second >= MaxMigrations) {
            return false;
        }
        const FleetJob &job = state.jobs.at(task.job);
        if (!job.spec.steps[task.step].allowsSpeculativeCopies && !mayRestartTask(scheduler, state, job, task.step)) {
            return false;
        }
        const auto first = scheduler.migratingTasks.lower_bound({task.job, task.occurrence, task.step, 0});
        const auto last = scheduler.migratingTasks.lower_bound({task.job, task.occurrence, task.step + 1, 0});
        const std::uint32_t taskCount = job.spec.steps[task.step].taskCount;
        return std::distance(first, last) < static_cast<std::ptrdiff_t>(std::max<std::uint32_t>(1, taskCount / 2));
    }

    /** Returns whether another worker that is not avoided either may run a task, so that stopping it is of use. */
    bool mayRunElsewhere(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session, const TaskRef &task, TimePoint now)
    {
        const FleetJob &job = state.jobs.at(task.job);
        const StepSpec &step = job.spec.steps[task.step];
        return std::any_of(scheduler.sessions.begin(), scheduler.sessions.end(), [&](const auto &item) {
            const WorkerSession &other = item.second;
            return other.incarnation != session.incarnation && now >= other.avoidedUntil && isUsable(state, other, now)
                && isEligible(step, job.queue.service, state.incarnations.at(other.incarnation).profile);
        });
    }

    /** Migrates a run to another worker, or requests a speculative copy where the step allows it. */
    void migrateRun(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, RunView &run, TimePoint now)
    {
        if (run.allowsSpeculativeCopies) {
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
        if (run.isLongRunning || run.phase != RunPhase::Started || run.isStopRequested || run.isCopyRequested || run.isEndProposed) {
            continue;
        }
        ProgressInput input;
        input.progress = run.progress;
        input.runTimeEstimate = estimateOnWorker(scheduler, state, session, task, run);
        input.worker = slowness;
        input.isThrottled = run.sentSpeedLimitPercent < 100 || run.speedLimitPercent < 100;
        input.isCheckpointed = run.isCheckpointed;
        input.restartDelay = scheduler.settings.stopTimeout + (run.isCheckpointed ? scheduler.settings.restoreTime : MigrationOverhead);
        if (assessProgress(input) == ProgressVerdict::Normal) {
            continue;
        }
        session.avoidedUntil = std::max(session.avoidedUntil, now + BadWorkerBackoff);
        if (mayMigrate(scheduler, state, task) && mayRunElsewhere(scheduler, state, session, task, now)) {
            migrateRun(scheduler, session, task, run, now);
        }
    }
}

namespace {

    /** Interference between the tasks on a worker. */
    struct WorkerInterference {
        double highestTailRatio = 0;
        Duration overTargetFor;
        std::map<std::string, double> interferenceShare; ///< Share of each image in the interference with tasks over their targets.
    };

    WorkerInterference measureInterference(const FleetScheduler &scheduler, const WorkerSession &session, TimePoint now)
    {
        WorkerInterference interference;
        for (const auto &[task, run] : session.runs) {
            if (!run.isLongRunning || run.latencyTarget.ms == 0) {
                continue;
            }
            interference.highestTailRatio =
                std::max(interference.highestTailRatio, static_cast<double>(run.measurement) / static_cast<double>(run.latencyTarget.ms));
            if (!run.overTargetSince) {
                continue;
            }
            interference.overTargetFor = std::max(interference.overTargetFor, now - *run.overTargetSince);
            double total = 0;
            for (const auto &[image, share] : session.cpuSharesInUse) {
                total += interferenceSlope(scheduler.learnedModel.interference, run.image, image) * share;
            }
            for (const auto &[image, share] : session.cpuSharesInUse) {
                const double part = total > 0 ? interferenceSlope(scheduler.learnedModel.interference, run.image, image) * share / total : 1.0;
                interference.interferenceShare[image] = std::max(interference.interferenceShare[image], part);
            }
        }
        return interference;
    }

    /** Returns whether another worker would take a task now, with a limited harm to its long-running tasks. */
    bool hasWillingWorker(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &session, const TaskRef &task, TimePoint now)
    {
        const FleetJob &job = state.jobs.at(task.job);
        const StepSpread spread = spreadOf(scheduler, job, {.job = task.job, .occurrence = task.occurrence, .step = task.step});
        const WorkerQuery query{.step = job.spec.steps[task.step],
                                .service = job.queue.service,
                                .spread = spread,
                                .interference = scheduler.learnedModel.interference,
                                .slopes = *scheduler.slopes,
                                .harmTolerance = HarmTolerance::Limited,
                                .excluded = session.incarnation};
        return std::any_of(scheduler.candidates.begin(), scheduler.candidates.end(), [&](const auto &item) {
            const auto other = scheduler.sessions.find(item.first);
            return other != scheduler.sessions.end() && isUsable(state, other->second, now) && !candidateHoldReason(query, item.second);
        });
    }

    /** Moves a run whose speed limit has been zero for too long. The long-running tasks beside it may stay over their targets for ever. */
    void moveIfStandingStill(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, const TaskRef &task, RunView &run, TimePoint now)
    {
        if (run.speedLimitPercent > 0 || run.isStopRequested || run.isCopyRequested || run.isEndProposed) {
            run.moveAt.reset();
            return;
        }
        run.moveAt = run.moveAt.value_or(now + MaxStandstill);
        if (now < *run.moveAt) {
            return;
        }
        run.moveAt = now + MaxStandstill;
        if (scheduler.slopes != nullptr && mayMigrate(scheduler, state, task) && hasWillingWorker(scheduler, state, session, task, now)) {
            migrateRun(scheduler, session, task, run, now);
        }
    }

} // namespace

void adjustSpeedLimits(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now)
{
    if (!session.hasNewTailLatency || now - session.speedLimitsAdjustedAt < ThrottleInterval + scheduler.settings.paceDelay) {
        return;
    }
    session.hasNewTailLatency = false;
    session.speedLimitsAdjustedAt = now;
    const WorkerInterference interference = measureInterference(scheduler, session, now);
    for (auto &[task, run] : session.runs) {
        if (!run.usesSpareCapacity || run.phase != RunPhase::Started) {
            continue;
        }
        const auto interferenceShare = interference.interferenceShare.find(run.image);
        const ThrottleInput input{.speedLimitPercent = run.speedLimitPercent,
                                  .highestTailRatio = interference.highestTailRatio,
                                  .interferenceShare = interferenceShare == interference.interferenceShare.end() ? 0.0 : interferenceShare->second,
                                  .overTargetFor = interference.overTargetFor,
                                  .harmLimit = scheduler.settings.harmLimit};
        const std::int64_t next = nextSpeedLimit(input);
        if (next != run.speedLimitPercent) {
            run.speedLimitPercent = next;
            run.nextAttempt = now;
            session.nextRunOrderAt = now;
        }
        moveIfStandingStill(scheduler, state, session, task, run, now);
    }
}

} // namespace Filbertlanding
