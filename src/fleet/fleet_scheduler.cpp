/** @file fleet_scheduler.cpp Start of a leadership, reports of workers, and effects of applied commands. */

#include "fleet/job_admission.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration ModelSaveInterval{5'000}; ///< A new leader lacks at most this much of the learned model; saving it more often would only use log space.
    constexpr std::size_t MaxSavedModelBytes = 262'144; ///< A larger model is not saved to the log, and the next leader learns it from scratch.
    constexpr Duration SweepInterval{100}; ///< Interval of the sweep for draining workers and speed limits.
    constexpr std::int64_t WorkersPerPlacementMs = 100; ///< A placement pass visits all workers, so on a large fleet events of several ms share one pass.
    constexpr Duration FullTickInterval{20}; ///< Maximum delay of orders that become due without an event; processing all sessions for
                                             ///< each response would be too expensive.

    /** Returns whether workers have crashed under a task of a job. */
    bool hasCrashSuspects(const FleetJob &job)
    {
        return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &item) {
            return std::any_of(item.second.steps.begin(), item.second.steps.end(), [](const StepRecord &step) {
                return std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskRecord &task) {
                    return task.crashHistory.crashes > 0;
                });
            });
        });
    }

    /** Adds an active job. */
    JobView &addJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now, WallTime wall)
    {
        JobView view;
        // An age outside of this range means that the wall clock was adjusted since the job was accepted.
        constexpr std::int64_t MaxAgeMs = 120'000;
        const std::int64_t age = std::clamp<std::int64_t>(wall.ms - job.acceptedAt.ms, 0, MaxAgeMs);
        view.acceptedAt = now - Duration{age};
        view.bytes = estimateJobMemory(job.spec);
        view.hasSuspects = hasCrashSuspects(job);
        refreshJobView(scheduler, job, view);
        scheduler.openBytes += view.bytes;
        return scheduler.jobs[job.number] = std::move(view);
    }

    /** Adds the active runs of the replicated state to the sessions. */
    void takeOverRuns(FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, TimePoint now)
    {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                    const TaskRecord &task = occurrence.steps[step].tasks[index];
                    for (const ActiveRun &active : task.active) {
                        const auto session = scheduler.sessions.find(active.incarnation);
                        if (session == scheduler.sessions.end()) {
                            continue;
                        }
                        RunView view = makeRunView(job.spec.steps[step], active.run, RunPhase::Started, now);
                        view.mayHaveReachedWorker = true;
                        view.isDataRemote = isDataRemote(job.spec.steps[step], state.incarnations.at(active.incarnation).profile.rack);
                        view.isStopRequested = task.isDone || hasEnded(job.state);
                        view.checkpoint = task.checkpoint;
                        view.suspicion = suspicionOf(task.crashHistory);
                        view.watchTime = watchTimeOf(task.crashHistory);
                        view.isolationTime = isolationTimeOf(task.crashHistory);
                        addRun(session->second, {job.number, number, step, index}, std::move(view));
                    }
                }
            }
        }
    }

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

    void stopJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now)
    {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                    stopRuns(scheduler, {job.number, number, step, index}, occurrence.steps[step].tasks[index], now);
                }
            }
        }
    }

    const TaskRecord *findTask(const FleetState &state, const TaskRef &ref)
    {
        const auto job = state.jobs.find(ref.job);
        if (job == state.jobs.end()) {
            return nullptr;
        }
        const auto occurrence = job->second.occurrences.find(ref.occurrence);
        if (occurrence == job->second.occurrences.end() || ref.step >= occurrence->second.steps.size()) {
            return nullptr;
        }
        const auto &tasks = occurrence->second.steps[ref.step].tasks;
        return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
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
        FailedRun &failed = scheduler.failedRuns[end.task];
        failed = {end.incarnation, now, failed.failures + 1};
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
                removeRun(worker, end.task);
            }
            worker.pendingEnds -= worker.pendingEnds > 0 ? 1 : 0;
            markDirty(scheduler, worker);
            advanceCommittedEnds(worker, now);
            updateFailureBackoff(scheduler, worker, end, now);
            handleInheritedEndApplied(scheduler, end, now);
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
            if (earlierProfile.worker != incarnation.profile.worker) {
                continue;
            }
            earlier.isReplaced = true;
            markRestarted(scheduler, session, earlier, now);
            markDirty(scheduler, earlier);
            session.earlierIncarnations.insert(number);
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
    }

    /** Marks the sessions with replaced incarnations, and lets the session with the latest incarnation account for their runs unless it has ended too. */
    void linkReplacedIncarnations(FleetScheduler &scheduler, const FleetState &state)
    {
        for (auto &[number, session] : scheduler.sessions) {
            const IncarnationNumber latest = state.latestIncarnation.at(state.incarnations.at(number).profile.worker);
            session.isReplaced = latest != number;
            const auto successor = session.isReplaced ? scheduler.sessions.find(latest) : scheduler.sessions.end();
            if (successor != scheduler.sessions.end()) {
                successor->second.earlierIncarnations.insert(number);
            }
        }
    }

    /**
     * Returns whether all runs of the earlier incarnations are accounted for: those that this incarnation may have executed are stopped, and a
     * later poll has listed their ends.
     */
    bool canEndEarlierIncarnations(const WorkerSession &session)
    {
        const bool isOpen = !session.earlierIncarnations.empty() && !session.isEarlierEndProposed;
        return isOpen && session.hasAcceptedFence && session.orphanRuns.empty() && session.lastAnsweredPoll > session.orphanStoppedAt;
    }

} // namespace

FleetScheduler
startScheduler(const SchedulerSettings &settings, const FleetState &state, std::uint64_t term, std::uint64_t lastOrder, TimePoint now, WallTime wall)
{
    FleetScheduler scheduler;
    scheduler.settings = settings;
    scheduler.term = term;
    scheduler.lastOrder = lastOrder;
    scheduler.since = now;
    scheduler.learnedModel = decodeLearned(state.learnedModel, now);
    scheduler.nextModelSave = now + ModelSaveInterval;
    for (const auto &[number, incarnation] : state.incarnations) {
        if (incarnation.hasEnded) {
            continue;
        }
        WorkerSession &session = scheduler.sessions[number];
        session.incarnation = number;
        session.fenceEpoch = lastOrder;
        session.previousLeasesEnd = now + maxLeaseOnLocalClock(settings.taskLease);
    }
    linkReplacedIncarnations(scheduler, state);
    for (const auto &[number, job] : state.jobs) {
        takeOverRuns(scheduler, state, job, now);
        if (!hasEnded(job.state)) {
            addJob(scheduler, job, now, wall).openedOccurrences = static_cast<std::uint32_t>(job.occurrences.size());
        }
    }
    for (auto &[number, session] : scheduler.sessions) {
        for (const IncarnationNumber earlier : session.earlierIncarnations) {
            for (const auto &[task, run] : scheduler.sessions.at(earlier).runs) {
                addOrphanRun(session, taskName(state.jobs.at(task.job), task), run.run, now);
            }
        }
    }
    return scheduler;
}

ReportOutcome handleWorkerReport(FleetScheduler &scheduler, const FleetState &state, const FleetWorkerReport &report, TimePoint now)
{
    const auto latest = state.latestIncarnation.find(report.profile.worker);
    if (latest == state.latestIncarnation.end()) {
        return {RegisterWorker{report.profile, report.sequence}, false};
    }
    const WorkerIncarnation &incarnation = state.incarnations.at(latest->second);
    if (report.profile.startedAtMs < incarnation.profile.startedAtMs) {
        return {std::nullopt, true};
    }
    if (report.profile.startedAtMs > incarnation.profile.startedAtMs) {
        return {RegisterWorker{report.profile, report.sequence}, false};
    }
    const auto found = scheduler.sessions.find(incarnation.number);
    if (found == scheduler.sessions.end()) {
        return {std::nullopt, true};
    }
    WorkerSession &session = found->second;
    const bool startsDraining = report.profile.isDraining && !incarnation.profile.isDraining;
    const std::uint64_t lastSequence = std::max(session.lastReportSequence, incarnation.reportSequence);
    const bool isOutdated = report.sequence <= lastSequence;
    if (isOutdated && !startsDraining) {
        return {std::nullopt, true};
    }
    session.isShuttingDown = false;
    if (report.drainRemaining) {
        session.earliestExit = now + *report.drainRemaining;
    }
    if (isOutdated) {
        // That a worker drains is final, so it counts whatever the sequence number of the report. Nothing else in an older report does.
        RegisterWorker drained{incarnation.profile, incarnation.reportSequence};
        drained.profile.isDraining = true;
        return {std::move(drained), false};
    }
    session.lastReportSequence = report.sequence;
    scheduler.isPlacementDue = scheduler.isPlacementDue || !session.reportedCapacity;
    if (session.reportedCapacity != report.profile.capacity) {
        session.reportedCapacity = report.profile.capacity;
        session.isCandidateStale = true;
    }
    WorkerProfile profile = report.profile;
    profile.isDraining = profile.isDraining || incarnation.profile.isDraining;
    if (profile == incarnation.profile) {
        return {};
    }
    return {RegisterWorker{std::move(profile), report.sequence}, false};
}

void handleGoodbye(FleetScheduler &scheduler, const FleetState &state, const WorkerName &worker)
{
    const auto latest = state.latestIncarnation.find(worker);
    if (latest == state.latestIncarnation.end()) {
        return;
    }
    const auto session = scheduler.sessions.find(latest->second);
    if (session != scheduler.sessions.end()) {
        session->second.isShuttingDown = true;
    }
}

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
        scheduler.sessions.erase(incarnation->incarnation);
        scheduler.candidates.erase(incarnation->incarnation);
        scheduler.isPlacementDue = true;
        for (auto &[number, session] : scheduler.sessions) {
            if (session.earlierIncarnations.erase(incarnation->incarnation) > 0 && session.earlierIncarnations.empty()) {
                session.isEarlierEndProposed = false;
                session.inheritedEnds.clear();
                advanceCommittedEnds(session, now);
            }
        }
    } else if (const auto *crash = std::get_if<RecordCrash>(&command)) {
        for (const CrashedRun &run : crash->runs) {
            const auto job = scheduler.jobs.find(run.task.job);
            if (job != scheduler.jobs.end()) {
                job->second.hasSuspects = true;
            }
            scheduler.heldSuspects.erase(run.task);
        }
    } else if (std::holds_alternative<SubmitFleetJob>(command) && change.isApplied && change.endedJobs.empty()) {
        addJob(scheduler, state.jobs.at(change.job), now, wall);
        scheduler.isPlacementDue = true;
    } else if (!std::holds_alternative<SubmitFleetJob>(command) && !std::holds_alternative<SaveLearnedModel>(command)) {
        scheduler.isPlacementDue = true;
    }
    for (const JobNumber job : change.endedJobs) {
        removeJob(scheduler, job);
        stopJob(scheduler, state.jobs.at(job), now);
    }
}

namespace {

    /** Returns the sessions that this tick processes: periodically all of them, otherwise those with events since the last tick. */
    std::vector<WorkerSession *> sessionsToTick(FleetScheduler &scheduler, TimePoint now)
    {
        std::vector<WorkerSession *> sessions;
        if (now >= scheduler.nextFullTick) {
            scheduler.nextFullTick = now + FullTickInterval;
            sessions.reserve(scheduler.sessions.size());
            for (auto &[number, session] : scheduler.sessions) {
                sessions.push_back(&session);
            }
        } else {
            for (const IncarnationNumber incarnation : scheduler.dirtySessions) {
                const auto found = scheduler.sessions.find(incarnation);
                if (found != scheduler.sessions.end()) {
                    sessions.push_back(&found->second);
                }
            }
        }
        scheduler.dirtySessions.clear();
        return sessions;
    }

    /** Proposes to save the learned model for the next leader. */
    void proposeModelSave(FleetScheduler &scheduler, const FleetState &state, TimePoint now, SchedulerActions &actions)
    {
        scheduler.nextModelSave = now + ModelSaveInterval;
        std::string model = encodeLearned(scheduler.learnedModel);
        if (model.size() <= MaxSavedModelBytes && model != state.learnedModel) {
            actions.propose.push_back(SaveLearnedModel{std::move(model)});
        }
    }

    /** Processes one session: expired runs, ended incarnations, and orders that are due. */
    void tickSession(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        session.isDirty = false;
        if (session.isReplaced) {
            proposeCrash(scheduler, state, session, now, wall, actions);
        }
        expireRuns(scheduler, state, session, now, wall, actions);
        if (canEndEarlierIncarnations(session)) {
            session.isEarlierEndProposed = true;
            for (const IncarnationNumber earlier : session.earlierIncarnations) {
                const auto replaced = scheduler.sessions.find(earlier);
                if (replaced != scheduler.sessions.end()) {
                    proposeIncarnationEnd(scheduler, state, replaced->second, now, wall, actions);
                }
            }
        }
        if (session.runs.empty() && hasSuccessorEnded(state, session)) {
            proposeIncarnationEnd(scheduler, state, session, now, wall, actions);
        }
        if (now >= session.nextRunOrderAt) {
            withdrawStartsOverCapacity(state, session, wall, actions);
            sendRunOrders(scheduler, state, session, now, actions);
        }
        sendPoll(scheduler, state, session, now, actions);
    }

} // namespace

SchedulerActions schedulerTick(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, TimePoint leaderLeaseEnd)
{
    SchedulerActions actions;
    if (now >= leaderLeaseEnd) {
        return actions;
    }
    if (now >= scheduler.nextSweep) {
        scheduler.nextSweep = now + SweepInterval;
        scheduler.nextFullTick = now;
        for (auto &[number, session] : scheduler.sessions) {
            evacuateDrainingWorker(scheduler, state, session, now);
            adjustSpeedLimits(scheduler, state, session, now);
        }
        refitInterference(scheduler.learnedModel.interference, now);
        if (now >= scheduler.nextModelSave) {
            proposeModelSave(scheduler, state, now, actions);
        }
        // Workers may become usable again just because time has passed.
        scheduler.isPlacementDue = true;
    }
    for (WorkerSession *session : sessionsToTick(scheduler, now)) {
        tickSession(scheduler, state, *session, now, wall, actions);
    }
    if (scheduler.isPlacementDue && now >= scheduler.nextPlacement) {
        scheduler.isPlacementDue = false;
        scheduler.nextPlacement = now + Duration{static_cast<std::int64_t>(scheduler.sessions.size()) / WorkersPerPlacementMs};
        placeTasks(scheduler, state, now, wall, actions);
    }
    return actions;
}

} // namespace Filbertlanding
