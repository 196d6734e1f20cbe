/** @file scheduler_applied.cpp Effects of applied commands on the scheduler. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Requests the stop of the committed runs of a task. */
    void stopRuns(FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task, TimePoint now)
    {
        for (const ActiveRun &active : task.active) {
            const auto session = scheduler.sessions.find(active.incarnation);
            if (session == scheduler.sessions.end()) {
                continue;
            }
            const auto run = session->second.runs.find(ref);
            if (run != session->second.runs.end() && run->second.run == active.run) {
                run->second.isStopRequested = true;
                run->second.nextAttempt = now;
                session->second.nextRunOrderAt = now;
                markDirty(scheduler, session->second);
            }
        }
    }

    /** Drops the proposed starts of a job that has ended. They will be rejected, and its tasks are no longer held. */
    void dropProposedStarts(FleetScheduler &scheduler, JobNumber job)
    {
        const auto first = scheduler.proposedStarts.lower_bound({job, 0, 0, 0});
        const auto last = scheduler.proposedStarts.lower_bound({job + 1, 0, 0, 0});
        for (auto proposed = first; proposed != last; ++proposed) {
            const auto session = scheduler.sessions.find(proposed->second);
            if (session == scheduler.sessions.end()) {
                continue;
            }
            const auto run = session->second.runs.find(proposed->first);
            if (run != session->second.runs.end() && run->second.phase == RunPhase::Proposed) {
                removeRun(session->second, proposed->first);
            }
        }
        scheduler.proposedStarts.erase(first, last);
    }

    void stopJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now)
    {
        forEachTask(job, [&scheduler, now](const TaskRef &ref, const TaskRecord &task) {
            stopRuns(scheduler, ref, task, now);
        });
    }

    const TaskRecord *findTask(const FleetState &state, const TaskRef &ref)
    {
        const auto job = state.jobs.find(ref.job);
        return job == state.jobs.end() ? nullptr : findTask(job->second, ref);
    }

    /** Adds the run of a committed start that an earlier scheduler of the same term has proposed. That one has sent no order for it, so this one does. */
    void takeOverStart(WorkerSession &session, const FleetState &state, const StartRun &start, TimePoint now)
    {
        const StepSpec &spec = state.jobs.at(start.task.job).spec.steps[start.task.step];
        RunView view = makeRunView(spec, start.run, RunPhase::Proposed, now);
        view.checkpoint = findTask(state, start.task)->checkpoint;
        view.isDataRemote = isDataRemote(spec, state.incarnations.at(start.incarnation).profile.rack);
        addRun(session, start.task, std::move(view));
    }

    void handleStartApplied(FleetScheduler &scheduler, const FleetState &state, const StartRun &start, const FleetChange &change, TimePoint now)
    {
        const auto proposed = scheduler.proposedStarts.find(start.task);
        if (proposed != scheduler.proposedStarts.end() && proposed->second == start.incarnation) {
            scheduler.proposedStarts.erase(proposed);
        }
        const auto session = scheduler.sessions.find(start.incarnation);
        if (session == scheduler.sessions.end()) {
            return;
        }
        if (change.isApplied && !session->second.runs.contains(start.task)) {
            takeOverStart(session->second, state, start, now);
        }
        const auto run = session->second.runs.find(start.task);
        // An earlier scheduler of the term may have proposed the same start, so the run may be committed already.
        if (run == session->second.runs.end() || run->second.run != start.run || run->second.phase != RunPhase::Proposed) {
            return;
        }
        if (!change.isApplied) {
            removeRun(session->second, start.task);
            scheduler.isPlacementDue = true;
            return;
        }
        run->second.phase = RunPhase::Ordered;
        run->second.nextAttempt = now;
        session->second.nextRunOrderAt = now;
        markDirty(scheduler, session->second);
    }

    /**
     * Suspends placements on a worker after consecutive failed runs, for longer with each failure. A run that is done resets the backoff. A long backoff
     * ends as a mere preference for other workers, since the worker may be the only one that may run a task.
     */
    void updateFailureBackoff(FleetScheduler &scheduler, WorkerSession &worker, const EndRun &end, TimePoint now)
    {
        constexpr unsigned ToleratedFailures = 1; // Some tasks fail on any worker.
        constexpr unsigned MaxBackoffSteps = 6;
        constexpr Duration BackoffStep{500};
        constexpr Duration MaxSuspension{2'000};
        worker.isCandidateStale = true;
        if (end.outcome == RunOutcome::Done) {
            worker.consecutiveFailures = 0;
            scheduler.failedRuns.erase(end.task);
            return;
        }
        if (end.outcome != RunOutcome::Failed) {
            return;
        }
        ++worker.consecutiveFailures;
        if (scheduler.jobs.contains(end.task.job)) {
            FailedRun &failed = scheduler.failedRuns[end.task];
            failed = {end.incarnation, now, failed.failures + 1};
        }
        if (worker.consecutiveFailures > ToleratedFailures) {
            const unsigned steps = std::min(worker.consecutiveFailures - ToleratedFailures, MaxBackoffSteps);
            const Duration backoff = BackoffStep * static_cast<std::int64_t>(steps);
            worker.noPlacementUntil = std::max(worker.noPlacementUntil, now + std::min(backoff, MaxSuspension));
            worker.avoidedUntil = std::max(worker.avoidedUntil, now + backoff);
        }
    }

    /** Allows the worker to discard the ends that it has listed, once all of them are committed. */
    void advanceCommittedEnds(WorkerSession &worker, TimePoint now)
    {
        if (worker.pendingEnds == 0 && worker.inheritedEnds.empty()) {
            worker.committedThrough = worker.proposedThrough;
            worker.nextPoll = now;
        }
    }

    /** Handles the committed end of a run of an earlier incarnation, which a later one may have listed. */
    void handleInheritedEndApplied(FleetScheduler &scheduler, const EndRun &end, TimePoint now)
    {
        for (auto &[number, session] : scheduler.sessions) {
            if (session.earlierIncarnations.contains(end.incarnation) && session.inheritedEnds.erase(end.task) > 0) {
                advanceCommittedEnds(session, now);
            }
        }
    }

    void handleRunEndApplied(FleetScheduler &scheduler, const FleetState &state, const EndRun &end, TimePoint now)
    {
        scheduler.isPlacementDue = true;
        const auto session = scheduler.sessions.find(end.incarnation);
        if (session != scheduler.sessions.end()) {
            WorkerSession &worker = session->second;
            const auto run = worker.runs.find(end.task);
            if (run != worker.runs.end() && run->second.run == end.run) {
                // An end that an earlier scheduler of the term has proposed is not among the pending ones.
                worker.pendingEnds -= run->second.isEndProposed ? 1 : 0;
                removeRun(worker, end.task);
            }
            markDirty(scheduler, worker);
            advanceCommittedEnds(worker, now);
            updateFailureBackoff(scheduler, worker, end, now);
            if (worker.isReplaced) {
                handleInheritedEndApplied(scheduler, end, now);
            }
        }
        const TaskRecord *task = findTask(state, end.task);
        if (task != nullptr && task->isDone) {
            stopRuns(scheduler, end.task, *task, now);
        }
    }

    /** Marks the successor of another incarnation. It is empty, and so the best place for a task that may have crashed the other one. */
    void markRestarted(FleetScheduler &scheduler, WorkerSession &session, const WorkerSession &earlier, TimePoint now)
    {
        constexpr Duration ReservationTime{1'000}; // Until the crash and the ends of its runs are committed, and the suspect is placed.
        session.predecessorSilence = silenceStart(earlier, now);
        session.reservedUntil = now + ReservationTime;
        session.isReservationStrict = areCrashesTelling(crashRate(scheduler, earlier, now));
    }

    /** Replaces an incarnation by a later one of the same worker, which accounts for its runs. */
    void replaceIncarnation(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, WorkerSession &earlier, TimePoint now)
    {
        earlier.isReplaced = true;
        markRestarted(scheduler, session, earlier, now);
        markDirty(scheduler, earlier);
        session.earlierIncarnations.insert(earlier.incarnation);
        for (const auto &[task, run] : earlier.runs) {
            // A start that the earlier incarnation has not listed may have reached the process that has taken over its name.
            if (run.phase != RunPhase::Proposed && !run.wasListed) {
                addOrphanRun(session, taskName(state.jobs.at(task.job), task), run.run, now);
            }
        }
        for (const UnconfirmedStart &start : earlier.unconfirmedStarts) {
            if (now < start.until) {
                addOrphanRun(session, start.task, start.run, now);
            }
        }
        session.nextRunOrderAt = now;
    }

    void handleIncarnationApplied(FleetScheduler &scheduler, const FleetState &state, const FleetChange &change, TimePoint now)
    {
        const WorkerIncarnation &incarnation = state.incarnations.at(change.incarnation);
        scheduler.isPlacementDue = true;
        if (!change.isNewIncarnation) {
            const auto known = scheduler.sessions.find(change.incarnation);
            if (known != scheduler.sessions.end()) {
                known->second.isCandidateStale = true;
            }
            return;
        }
        WorkerSession &session = scheduler.sessions[change.incarnation];
        session.incarnation = change.incarnation;
        session.previousLeasesEnd = now;
        session.fenceEpoch = scheduler.lastOrder + 1;
        session.reportedCapacity = incarnation.profile.capacity;
        for (auto &[number, earlier] : scheduler.sessions) {
            const auto known = state.incarnations.find(number);
            if (number == change.incarnation || known == state.incarnations.end()) {
                continue;
            }
            const WorkerProfile &earlierProfile = known->second.profile;
            if (earlierProfile.address == incarnation.profile.address && earlierProfile.startedAtMs < incarnation.profile.startedAtMs) {
                // The process that had the address has probably ended. Only its answer tells.
                markRestarted(scheduler, session, earlier, now);
                earlier.nextPoll = now;
                markDirty(scheduler, earlier);
            }
            if (earlierProfile.worker == incarnation.profile.worker) {
                replaceIncarnation(scheduler, state, session, earlier, now);
            }
        }
    }

    void handleIncarnationEndApplied(FleetScheduler &scheduler, IncarnationNumber ended, TimePoint now)
    {
        scheduler.sessions.erase(ended);
        scheduler.candidates.erase(ended);
        scheduler.isPlacementDue = true;
        for (auto &[number, session] : scheduler.sessions) {
            if (session.earlierIncarnations.erase(ended) > 0 && session.earlierIncarnations.empty()) {
                session.isEarlierEndProposed = false;
                session.inheritedEnds.clear();
                advanceCommittedEnds(session, now);
            }
        }
    }

    void handleCrashApplied(FleetScheduler &scheduler, const RecordCrash &crash)
    {
        for (const CrashedRun &run : crash.runs) {
            const auto job = scheduler.jobs.find(run.task.job);
            if (job != scheduler.jobs.end()) {
                job->second.hasSuspects = true;
            }
            scheduler.heldSuspects.erase(run.task);
        }
    }

    /** Returns whether a command without an effect of its own on the scheduler may allow a task to start. */
    bool mayAllowStart(const FleetCommand &command)
    {
        return !std::holds_alternative<SubmitFleetJob>(command) && !std::holds_alternative<SaveLearnedModel>(command)
            && !std::holds_alternative<AdvanceRetentionClock>(command) && !std::holds_alternative<RecordJobStart>(command);
    }

} // namespace

void handleApplied(FleetScheduler &scheduler, const FleetState &state, const FleetCommand &command, const FleetChange &change, TimePoint now, WallTime wall)
{
    if (const auto *start = std::get_if<StartRun>(&command)) {
        handleStartApplied(scheduler, state, *start, change, now);
    } else if (const auto *end = std::get_if<EndRun>(&command)) {
        handleRunEndApplied(scheduler, state, *end, now);
    } else if (std::holds_alternative<RegisterWorker>(command)) {
        if (change.isApplied) {
            handleIncarnationApplied(scheduler, state, change, now);
        }
    } else if (const auto *incarnation = std::get_if<EndIncarnation>(&command)) {
        handleIncarnationEndApplied(scheduler, incarnation->incarnation, now);
    } else if (const auto *crash = std::get_if<RecordCrash>(&command)) {
        handleCrashApplied(scheduler, *crash);
    } else if (std::holds_alternative<SubmitFleetJob>(command) && change.isApplied && change.endedJobs.empty()) {
        addJob(scheduler, state.jobs.at(change.job), now, wall);
        scheduler.isPlacementDue = true;
    } else if (mayAllowStart(command)) {
        scheduler.isPlacementDue = true;
    }
    for (const JobNumber job : change.endedJobs) {
        removeJob(scheduler, job);
        dropProposedStarts(scheduler, job);
        stopJob(scheduler, state.jobs.at(job), now);
    }
}

} // namespace Filbertlanding
