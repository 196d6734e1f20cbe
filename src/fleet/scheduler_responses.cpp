/** @file scheduler_responses.cpp Handles the responses of workers to orders. */

#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <set>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxListedEnds = 500; ///< Maximum number of ends that a worker lists; a list of this length may be incomplete.
    constexpr Duration UnhealthyBackoff{1'000}; ///< Placement backoff for a worker that refuses orders.
    constexpr Duration CapacityBackoff{300}; ///< Placement backoff for a worker with less free capacity than expected.
    constexpr Duration ClockRounding{1}; ///< Clocks are reported in whole milliseconds.
    constexpr Duration InitialRetryDelay{20}; ///< Delay of the first retry; doubled with each further attempt without a response.
    constexpr Duration MaxRetryDelay{500}; ///< Maximum retry delay, within which a recovered worker is detected.
    constexpr unsigned MaxDoublings = 7;

    Duration retryDelay(unsigned failures)
    {
        return std::min(MaxRetryDelay, InitialRetryDelay * (std::int64_t{1} << std::min(failures, MaxDoublings)));
    }

    void markResponsive(WorkerSession &session, const OrderResponse &response, TimePoint now)
    {
        session.consecutiveOrderFailures = 0;
        session.unresponsiveSince.reset();
        session.lastResponse = now;
        if (response.clockMs) {
            addClockSample(session, *response.clockMs, now);
        }
    }

    /**
     * Returns whether the worker's clock has restarted, which means another incarnation with the same name. Only poll responses identify the
     * incarnation itself.
     */
    bool hasClockRestarted(const PendingOrder &pendingOrder, const OrderResponse &response)
    {
        return response.clockMs && pendingOrder.minWorkerClockMs && *response.clockMs + ClockRounding.ms < *pendingOrder.minWorkerClockMs;
    }

    /** Returns whether the worker has rejected the order only because a later order of this leader has raised the fence. */
    bool hasStaleFence(const FleetScheduler &scheduler, const WorkerSession &session, const PendingOrder &pendingOrder, const OrderResponse &response)
    {
        return response.outcome == OrderOutcome::Fenced && (session.isReplaced || pendingOrder.fence < fenceOf(scheduler.term, session));
    }

    /** Handles outcomes that are common to all orders. Returns false if there is nothing else to handle. */
    bool handleCommonOutcome(FleetScheduler &scheduler,
                             const FleetState &state,
                             WorkerSession &session,
                             const OrderResponse &response,
                             TimePoint now,
                             WallTime wall,
                             SchedulerActions &actions)
    {
        if (response.outcome == OrderOutcome::Fenced) {
            actions.isDeposed = true;
            return false;
        }
        if (response.outcome == OrderOutcome::OtherIncarnation) {
            // Another incarnation has the address, so the addressed process has exited.
            proposeIncarnationEnd(scheduler, state, session, now, wall, actions);
            return false;
        }
        return true;
    }

    RunView *findRun(WorkerSession &session, const TaskRef &task, std::uint32_t run)
    {
        const auto found = session.runs.find(task);
        return found != session.runs.end() && found->second.run == run ? &found->second : nullptr;
    }

    /** Handles the end of a run that is assigned to an earlier incarnation, but whose start order has reached this one with the same name. */
    bool
    handleInheritedEnd(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, const ListedEnd &end, WallTime wall, SchedulerActions &actions)
    {
        bool isInherited = false;
        for (const IncarnationNumber incarnation : session.earlierIncarnations) {
            const auto earlier = scheduler.sessions.find(incarnation);
            RunView *run = earlier == scheduler.sessions.end() ? nullptr : findRun(earlier->second, task, end.run);
            if (run == nullptr || run->phase == RunPhase::Proposed) {
                continue;
            }
            run->checkpoint = end.checkpoint.empty() ? run->checkpoint : end.checkpoint;
            session.inheritedEnds.insert(task);
            proposeRunEnd(earlier->second, task, *run, end.outcome, wall, actions);
            isInherited = true;
        }
        return isInherited;
    }

    /** Returns whether a task is known and still has to be done. */
    bool isOpenTask(const FleetState &state, const TaskRef &ref)
    {
        const auto job = state.jobs.find(ref.job);
        if (job == state.jobs.end() || hasEnded(job->second.state)) {
            return false;
        }
        const TaskRecord *task = findTask(job->second, ref);
        return task != nullptr && !task->isDone && !job->second.spec.steps[ref.step].isLongRunning;
    }

    /** Notes the start that a listed end shows, of a run that was given up before. */
    void noteUnassignedStart(FleetScheduler &scheduler, const FleetState &state, const TaskRef &task, const ListedEnd &end, SchedulerActions &actions)
    {
        const auto job = state.jobs.find(task.job);
        const bool hasStep = job != state.jobs.end() && task.step < job->second.spec.steps.size();
        if (hasStep && impliesStart(job->second.spec.steps[task.step], end.outcome)) {
            noteStart(scheduler, state, task, actions);
        }
    }

    /** Handles a listed end of a run that this incarnation is not known to have. */
    void handleUnassignedEnd(FleetScheduler &scheduler,
                             const FleetState &state,
                             WorkerSession &session,
                             const TaskRef &task,
                             const ListedEnd &end,
                             TimePoint now,
                             WallTime wall,
                             SchedulerActions &actions)
    {
        const bool isInherited = handleInheritedEnd(scheduler, session, task, end, wall, actions);
        noteUnassignedStart(scheduler, state, task, end, actions);
        if (!isInherited && end.outcome == RunOutcome::Done && isOpenTask(state, task)) {
            noteRun(session, RunNoticeKind::DoneUnassigned, end.task, end.run, now, actions);
        }
    }

    void handleListedEnds(FleetScheduler &scheduler,
                          const FleetState &state,
                          WorkerSession &session,
                          const OrderResponse &response,
                          TimePoint now,
                          WallTime wall,
                          std::set<TaskRef> &listed,
                          SchedulerActions &actions)
    {
        for (const ListedEnd &end : response.ended) {
            const auto task = findTaskRef(state, end.task);
            RunView *run = task ? findRun(session, *task, end.run) : nullptr;
            if (run != nullptr) {
                listed.insert(*task);
            }
            if (end.number <= session.proposedThrough) {
                continue;
            }
            session.proposedThrough = end.number;
            if (run == nullptr) {
                if (task) {
                    handleUnassignedEnd(scheduler, state, session, *task, end, now, wall, actions);
                }
                continue;
            }
            run->checkpoint = end.checkpoint.empty() ? run->checkpoint : end.checkpoint;
            if (end.outcome == RunOutcome::Done && response.clockMs) {
                learnFromCompletedRun(scheduler, state, session, *task, *run, *response.clockMs);
            }
            session.endsPendingSince = session.pendingEnds == 0 ? now : session.endsPendingSince;
            proposeRunEnd(session, *task, *run, end.outcome, wall, actions);
        }
        if (session.pendingEnds == 0 && session.inheritedEnds.empty()) {
            session.committedThrough = session.proposedThrough;
        }
    }

    /** Records the tail latency of long-running tasks, and updates the interference model with it. */
    void recordTailLatency(FleetScheduler &scheduler, const Resources &capacity, WorkerSession &session, const std::set<TaskRef> &listed, TimePoint now)
    {
        constexpr std::int64_t ReadyPercent = 100;
        session.hasNewTailLatency = true;
        session.isCandidateStale = true;
        session.cpuSharesInUse.clear();
        for (const TaskRef &task : listed) {
            const RunView &run = session.runs.at(task);
            if (run.usesSpareCapacity && !run.isEndProposed) {
                session.cpuSharesInUse[run.image] += static_cast<double>(run.measurement) / std::max<double>(1, static_cast<double>(capacity.cpuMillis));
            }
        }
        for (const TaskRef &task : listed) {
            const RunView &run = session.runs.at(task);
            if (run.isLongRunning && run.latencyTarget.ms > 0 && run.measurement > 0 && run.percent >= ReadyPercent) {
                const double tailRatio = static_cast<double>(run.measurement) / static_cast<double>(run.latencyTarget.ms);
                addTailSample(scheduler.learnedModel.interference, run.image, tailRatio, session.cpuSharesInUse);
            }
        }
        for (auto &[task, run] : session.runs) {
            const bool isOverTarget = run.latencyTarget.ms > 0 && run.measurement > run.latencyTarget.ms;
            run.overTargetSince = isOverTarget ? run.overTargetSince.value_or(now) : std::optional<TimePoint>();
        }
    }

    void handleListedRuns(FleetScheduler &scheduler,
                          const FleetState &state,
                          WorkerSession &session,
                          const OrderResponse &response,
                          TimePoint now,
                          std::set<TaskRef> &listed,
                          SchedulerActions &actions)
    {
        for (const ListedRun &entry : response.running) {
            const auto task = findTaskRef(state, entry.task);
            RunView *run = task ? findRun(session, *task, entry.run) : nullptr;
            if (run == nullptr || run->phase == RunPhase::Proposed) {
                noteRun(session, RunNoticeKind::RunningUnassigned, entry.task, entry.run, now, actions);
                addOrphanRun(session, entry.task, entry.run, now);
                if (task) {
                    noteStart(scheduler, state, *task, actions);
                }
                continue;
            }
            listed.insert(*task);
            run->wasListed = true;
            run->phase = RunPhase::Started;
            confirmStart(scheduler, state, *task, *run, actions);
            run->checkpoint = entry.checkpoint.empty() ? run->checkpoint : entry.checkpoint;
            run->percent = entry.percent;
            run->measurement = entry.measurement;
            if (!run->isLongRunning && response.clockMs) {
                updateRunProgress(scheduler, session, *task, *run, entry.percent, *response.clockMs);
            }
        }
    }

    /** Ends the runs that the worker does not list although it would have to if it had started them. */
    void endUnlistedRuns(const FleetState &state,
                         WorkerSession &session,
                         bool isFirstResponse,
                         const std::set<TaskRef> &listed,
                         TimePoint now,
                         WallTime wall,
                         SchedulerActions &actions)
    {
        for (auto &[task, run] : session.runs) {
            const bool isSettled = run.settledAtOrder != 0 && run.settledAtOrder < session.lastPoll && !run.isOrderPending;
            // Orders of earlier leaders have no effect after a poll with the new fence, so a run that is missing then never starts.
            const bool isInherited =
                isFirstResponse && run.settledAtOrder == 0 && !run.isOrderPending && run.unansweredAttempts == 0 && run.phase == RunPhase::Started;
            if (run.phase != RunPhase::Proposed && !run.isEndProposed && !listed.contains(task) && (isSettled || isInherited)) {
                presumeRunEnd(state, session, task, run, RunNoticeKind::NotListed, now, wall, actions);
            }
        }
    }

    void handlePollResponse(FleetScheduler &scheduler,
                            const FleetState &state,
                            WorkerSession &session,
                            const PendingOrder &pendingOrder,
                            const OrderResponse &response,
                            TimePoint now,
                            WallTime wall,
                            SchedulerActions &actions)
    {
        session.isPollPending = false;
        session.nextPoll = now;
        if (hasStaleFence(scheduler, session, pendingOrder, response) || !handleCommonOutcome(scheduler, state, session, response, now, wall, actions)) {
            return;
        }
        if (response.outcome != OrderOutcome::Done || !response.hasLists) {
            ++session.consecutiveOrderFailures;
            session.unresponsiveSince = session.unresponsiveSince.value_or(now);
            session.isIncarnationConfirmed = false;
            session.nextPoll = now + retryDelay(session.consecutiveOrderFailures);
            if (response.outcome == OrderOutcome::NotListening) {
                noteEarlyCrash(scheduler, state, session);
            }
            // The worker may be cut off by something that refuses connections, and the goodbye one of its predecessor that has arrived late.
            const bool hasAnnouncedEnd = session.isShuttingDown && state.incarnations.at(session.incarnation).profile.isDraining;
            if (response.outcome == OrderOutcome::NotListening && hasAnnouncedEnd) {
                proposeIncarnationEnd(scheduler, state, session, now, wall, actions);
            }
            return;
        }
        const WorkerIncarnation &incarnation = state.incarnations.at(session.incarnation);
        if (response.startedAtMs && *response.startedAtMs != incarnation.profile.startedAtMs) {
            session.isReplaced = session.isReplaced || *response.startedAtMs > incarnation.profile.startedAtMs;
            session.nextPoll = now + UnhealthyBackoff;
            return;
        }
        const bool wasUnresponsive = session.consecutiveOrderFailures > 0;
        markResponsive(session, response, now);
        // Other orders than polls may be answered by a later incarnation with the same name.
        session.expiredRuns.clear();
        session.discardedThrough = std::max(session.discardedThrough, pendingOrder.committedThrough);
        const bool isFirstResponse = !session.hasAcceptedFence;
        if (isFirstResponse && incarnation.hasPredecessor) {
            // An order for an earlier incarnation may have granted a lease based on another clock; workers cap such a lease at longestLease.
            session.previousLeasesEnd = std::max(session.previousLeasesEnd, now + maxLeaseOnLocalClock(scheduler.settings.longestLease));
        }
        session.hasAcceptedFence = true;
        if (!session.clock) {
            session.nextPoll = now + UnhealthyBackoff;
        }
        session.isIncarnationConfirmed = true;
        session.lastAnsweredPoll = session.lastPoll;
        session.confirmedAt = session.pollSentAt;
        std::set<TaskRef> listed;
        handleListedEnds(scheduler, state, session, response, now, wall, listed, actions);
        handleListedRuns(scheduler, state, session, response, now, listed, actions);
        recordTailLatency(scheduler, incarnation.profile.capacity, session, listed, now);
        checkProgress(scheduler, state, session, now);
        if (response.ended.size() < MaxListedEnds) {
            endUnlistedRuns(state, session, isFirstResponse, listed, now, wall, actions);
        }
        scheduler.isPlacementDue = scheduler.isPlacementDue || isFirstResponse || wasUnresponsive;
        session.nextRunOrderAt = now;
    }

    /** Handles a start order that the worker has rejected. */
    void handleRejectedStart(const FleetState &state,
                             WorkerSession &session,
                             const TaskRef &task,
                             RunView &run,
                             OrderOutcome outcome,
                             TimePoint now,
                             WallTime wall,
                             SchedulerActions &actions)
    {
        session.noPlacementUntil = now + (outcome == OrderOutcome::InsufficientCapacity ? CapacityBackoff : UnhealthyBackoff);
        if (!run.mayHaveReachedWorker) {
            presumeRunEnd(state, session, task, run, RunNoticeKind::StartRejected, now, wall, actions);
            return;
        }
        // An earlier attempt may still arrive, or its run may have ended. A stop order prevents the former, the next poll reveals the latter.
        run.isStopRequested = true;
        run.phase = RunPhase::Started;
    }

    void handleStartResponse(FleetScheduler &scheduler,
                             const FleetState &state,
                             WorkerSession &session,
                             const TaskRef &task,
                             RunView &run,
                             const OrderResponse &response,
                             TimePoint now,
                             WallTime wall,
                             SchedulerActions &actions)
    {
        switch (response.outcome) {
        case OrderOutcome::Done:
            markResponsive(session, response, now);
            run.mayHaveReachedWorker = true;
            run.phase = RunPhase::Started;
            // Only the response to the first attempt tells when the run started; a later attempt may find it already running.
            if (response.clockMs && run.unansweredAttempts == 0 && run.checkpoint.empty()) {
                updateProgress(run.progress, 0, *response.clockMs, 1.0);
            }
            run.unansweredAttempts = 0;
            run.settledAtOrder = scheduler.lastOrder;
            confirmStart(scheduler, state, task, run, actions);
            return;
        case OrderOutcome::NoResponse:
            run.mayHaveReachedWorker = true;
            ++run.unansweredAttempts;
            run.nextAttempt = now + retryDelay(run.unansweredAttempts);
            addUnconfirmedStart(session, taskName(state.jobs.at(task.job), task), run.run, now);
            session.noPlacementUntil = std::max(session.noPlacementUntil, now + CapacityBackoff);
            session.nextPoll = now;
            return;
        case OrderOutcome::Unreachable:
        case OrderOutcome::NotListening:
            ++session.consecutiveOrderFailures;
            session.unresponsiveSince = session.unresponsiveSince.value_or(now);
            session.nextPoll = now;
            if (!run.mayHaveReachedWorker) {
                presumeRunEnd(state, session, task, run, RunNoticeKind::NotReceived, now, wall, actions);
                return;
            }
            ++run.unansweredAttempts;
            run.nextAttempt = now + retryDelay(run.unansweredAttempts);
            return;
        default:
            handleRejectedStart(state, session, task, run, response.outcome, now, wall, actions);
            return;
        }
    }

    void handleStopResponse(const FleetScheduler &scheduler, WorkerSession &session, RunView &run, const OrderResponse &response, TimePoint now)
    {
        if (response.outcome == OrderOutcome::Done) {
            markResponsive(session, response, now);
            run.isStopConfirmed = true;
            run.unansweredAttempts = 0;
            run.settledAtOrder = scheduler.lastOrder;
            session.nextPoll = std::min(session.nextPoll, now);
            return;
        }
        ++run.unansweredAttempts;
        run.nextAttempt = now + retryDelay(run.unansweredAttempts);
    }

    void handleOrphanStopResponse(
        const FleetScheduler &scheduler, WorkerSession &session, const PendingOrder &pendingOrder, const OrderResponse &response, TimePoint now)
    {
        const auto orphan = std::find_if(session.orphanRuns.begin(), session.orphanRuns.end(), [&pendingOrder](const OrphanRun &item) {
            return item.task == pendingOrder.orphanTask && item.run == pendingOrder.run;
        });
        if (orphan == session.orphanRuns.end()) {
            return;
        }
        if (response.outcome == OrderOutcome::Done) {
            session.orphanRuns.erase(orphan);
            session.orphanStoppedAt = scheduler.lastOrder;
            session.nextPoll = std::min(session.nextPoll, now);
            return;
        }
        orphan->isOrderPending = false;
        orphan->nextAttempt = now + UnhealthyBackoff / 4;
    }

} // namespace

SchedulerActions
handleResponse(FleetScheduler &scheduler, const FleetState &state, std::uint64_t order, const OrderResponse &response, TimePoint now, WallTime wall)
{
    SchedulerActions actions;
    const auto found = scheduler.pendingOrders.find(order);
    if (found == scheduler.pendingOrders.end()) {
        return actions;
    }
    const PendingOrder pendingOrder = found->second;
    scheduler.pendingOrders.erase(found);
    const auto entry = scheduler.sessions.find(pendingOrder.incarnation);
    if (entry == scheduler.sessions.end()) {
        return actions;
    }
    WorkerSession &session = entry->second;
    markDirty(scheduler, session);
    if (pendingOrder.kind == OrderKind::Poll) {
        handlePollResponse(scheduler, state, session, pendingOrder, response, now, wall, actions);
        return actions;
    }
    session.nextRunOrderAt = now;
    const bool isUnsent = response.outcome == OrderOutcome::Unreachable || response.outcome == OrderOutcome::NotListening;
    const bool hasFailed = response.outcome == OrderOutcome::NoResponse || isUnsent;
    session.isIncarnationConfirmed = session.isIncarnationConfirmed && !hasFailed && !hasClockRestarted(pendingOrder, response);
    if (pendingOrder.isOrphan) {
        handleOrphanStopResponse(scheduler, session, pendingOrder, response, now);
    }
    RunView *run = pendingOrder.isOrphan ? nullptr : findRun(session, pendingOrder.task, pendingOrder.run);
    if (run != nullptr) {
        run->isOrderPending = false;
    }
    if (hasStaleFence(scheduler, session, pendingOrder, response)) {
        // The order remains due and is sent again with the present fence.
        if (run != nullptr && pendingOrder.kind == OrderKind::Throttle) {
            run->sentSpeedLimitPercent = -1;
        }
        return actions;
    }
    if (!handleCommonOutcome(scheduler, state, session, response, now, wall, actions) || run == nullptr) {
        return actions;
    }
    if (pendingOrder.kind == OrderKind::Start) {
        handleStartResponse(scheduler, state, session, pendingOrder.task, *run, response, now, wall, actions);
    } else if (pendingOrder.kind == OrderKind::Stop) {
        handleStopResponse(scheduler, session, *run, response, now);
    } else if (response.outcome != OrderOutcome::Done) {
        run->sentSpeedLimitPercent = -1;
        run->nextAttempt = now + UnhealthyBackoff / 4;
    }
    return actions;
}

} // namespace Filbertlanding
