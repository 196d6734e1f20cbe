/** @file scheduler_orders.cpp Orders to workers, retries, and the expiry of leases. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration OrphanRetryInterval{20}; ///< Interval at which orphan runs are checked.
    /** Maximum wait of polls on workers with latency-sensitive tasks, since tasks that use spare capacity may be placed there while a poll waits. */
    constexpr Duration LatencyPollWait{500};
    constexpr Duration PollWaitPerWorker{2}; ///< Lengthens waits on a large fleet, so that polls without changes do not saturate the leader's CPU.
    constexpr Duration MaxLogWait{500}; ///< Time after which a lease is renewed even if the ends of the last poll are not committed yet.
    constexpr Duration Never{3'600'000}; ///< No order is due until the next event.

    /** Returns how long a poll may wait for a run to end: short enough to follow tail latencies and to detect a stalled task in time. */
    Duration pollWait(const FleetScheduler &scheduler, const WorkerSession &session)
    {
        Duration wait = scheduler.settings.pollWait;
        const Duration latencyWait = std::max(LatencyPollWait, PollWaitPerWorker * static_cast<std::int64_t>(scheduler.sessions.size()));
        for (const auto &[task, run] : session.runs) {
            const Duration limit = run.isLongRunning && run.latencyTarget.ms > 0 ? latencyWait : std::max(latencyWait, run.expectedTime / 3);
            wait = std::min(wait, run.isLongRunning && run.latencyTarget.ms == 0 ? wait : limit);
        }
        return wait;
    }

    /**
     * Returns the response timeout of a poll beyond its wait. Every other attempt after a failure has a longer timeout, for a worker that works
     * but responds slowly; the attempts in between detect early that an unreachable worker is back.
     */
    Duration responseTimeout(const FleetScheduler &scheduler, const WorkerSession &session)
    {
        constexpr std::int64_t SlowResponseFactor = 4;
        return scheduler.settings.orderTimeout * (session.consecutiveOrderFailures % 2 == 1 ? SlowResponseFactor : 1);
    }

    /**
     * Returns whether a worker may be told to discard ends. A start without a response may have been executed by a new incarnation with the same
     * name, which would then discard its own ends; so this incarnation must have responded to a poll that was sent just before.
     */
    bool mayDiscardEnds(const WorkerSession &session, TimePoint now)
    {
        constexpr Duration ConfirmationValidity{40}; // Too short for a process to restart and complete a task.
        return !hasUnconfirmedStarts(session, now) || now - session.confirmedAt <= ConfirmationValidity;
    }

    bool needsPoll(const WorkerSession &session)
    {
        const bool hasRuns = std::any_of(session.runs.begin(), session.runs.end(), [](const auto &item) {
            return item.second.phase != RunPhase::Proposed;
        });
        const bool mayHaveInherited = !session.earlierIncarnations.empty() && !session.isEarlierEndProposed;
        return !session.hasAcceptedFence || !session.clock || mayHaveInherited || hasRuns || session.committedThrough > session.discardedThrough
            || session.consecutiveOrderFailures > 0 || !session.isIncarnationConfirmed;
    }

    /** Grants a lease with an order. An unresponsive worker gets no new lease, so that the expiry of its lease is known. */
    void grantLease(const FleetScheduler &scheduler, WorkerSession &session, TimePoint now, WorkerOrder &order)
    {
        if (session.consecutiveOrderFailures > 0 || session.isReplaced) {
            return;
        }
        order.leaseEndMs = leaseEndAfter(session, scheduler.settings.taskLease, now);
        if (order.leaseEndMs) {
            session.leaseEndMs = std::max(session.leaseEndMs, *order.leaseEndMs);
        }
    }

    void sendStart(
        FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, const TaskRef &task, RunView &run, TimePoint now, SchedulerActions &actions)
    {
        WorkerOrder order;
        order.kind = OrderKind::Start;
        grantLease(scheduler, session, now, order);
        if (!order.leaseEndMs && session.leaseEndMs > 0) {
            order.leaseEndMs = session.leaseEndMs;
        }
        if (!order.leaseEndMs) {
            return;
        }
        const FleetJob &job = state.jobs.at(task.job);
        order.task = taskName(job, task);
        order.run = run.run;
        order.payload = job.spec.payload;
        order.checkpoint = run.checkpoint;
        order.timeout = scheduler.settings.orderTimeout;
        order.usesFreshConnection = run.unansweredAttempts > 0;
        run.isOrderPending = true;
        run.startSentAt = now;
        sendOrder(scheduler,
                  state,
                  session,
                  std::move(order),
                  {.kind = OrderKind::Start, .incarnation = session.incarnation, .task = task, .run = run.run},
                  now,
                  actions);
    }

    /** Sends a stop or throttle order for a run. */
    void sendRunOrder(FleetScheduler &scheduler,
                      const FleetState &state,
                      WorkerSession &session,
                      OrderKind kind,
                      const TaskRef &task,
                      RunView &run,
                      TimePoint now,
                      SchedulerActions &actions)
    {
        WorkerOrder order;
        order.kind = kind;
        order.task = taskName(state.jobs.at(task.job), task);
        order.run = run.run;
        order.percent = run.speedLimitPercent;
        order.timeout = scheduler.settings.orderTimeout;
        order.usesFreshConnection = run.unansweredAttempts > 0;
        run.isOrderPending = true;
        sendOrder(scheduler, state, session, std::move(order), {.kind = kind, .incarnation = session.incarnation, .task = task, .run = run.run}, now, actions);
    }

    void sendOrphanStops(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions)
    {
        for (OrphanRun &orphan : session.orphanRuns) {
            if (orphan.isOrderPending || now < orphan.nextAttempt) {
                continue;
            }
            orphan.isOrderPending = true;
            WorkerOrder order;
            order.kind = OrderKind::Stop;
            order.task = orphan.task;
            order.run = orphan.run;
            order.timeout = scheduler.settings.orderTimeout;
            sendOrder(scheduler,
                      state,
                      session,
                      std::move(order),
                      {.kind = OrderKind::Stop, .incarnation = session.incarnation, .run = orphan.run, .isOrphan = true, .orphanTask = orphan.task},
                      now,
                      actions);
        }
    }

    /** Returns the resources of the runs that a worker has, or will have once their committed starts are sent. */
    Resources committedUse(const WorkerSession &session)
    {
        Resources used;
        for (const auto &[task, run] : session.runs) {
            if (run.phase != RunPhase::Proposed && !run.isEndProposed) {
                used = used + run.reserved;
            }
        }
        return used;
    }

} // namespace

RunView makeRunView(const StepSpec &step, std::uint32_t run, RunPhase phase, TimePoint now)
{
    RunView view;
    view.run = run;
    view.phase = phase;
    view.reserved = step.request;
    view.since = now;
    view.image = step.image;
    view.latencyTarget = step.latencyTarget;
    view.isLongRunning = step.isLongRunning;
    view.usesSpareCapacity = step.usesSpareCapacity;
    view.isCheckpointed = step.isCheckpointed;
    view.allowsSpeculativeCopies = step.allowsSpeculativeCopies;
    view.expectedTime = step.estimate;
    if (step.usesSpareCapacity) {
        view.spareCpuMillis = step.request.cpuMillis;
        view.reserved.cpuMillis = 0;
    }
    return view;
}

void markDirty(FleetScheduler &scheduler, WorkerSession &session)
{
    if (!session.isDirty) {
        session.isDirty = true;
        scheduler.dirtySessions.push_back(session.incarnation);
    }
}

TaskName taskName(const FleetJob &job, const TaskRef &task)
{
    return {job.id, task.occurrence, task.step, task.index};
}

std::optional<TaskRef> findTaskRef(const FleetState &state, const TaskName &name)
{
    const auto number = state.jobNumbers.find(name.job);
    if (number == state.jobNumbers.end()) {
        return std::nullopt;
    }
    return TaskRef{number->second, name.occurrence, name.step, name.index};
}

void proposeRunEnd(WorkerSession &session, const TaskRef &task, RunView &run, RunOutcome outcome, WallTime wall, SchedulerActions &actions)
{
    if (run.isEndProposed) {
        return;
    }
    run.isEndProposed = true;
    ++session.pendingEnds;
    actions.propose.push_back(EndRun{task, run.run, session.incarnation, outcome, run.checkpoint, wall});
}

void noteRun(const WorkerSession &session, RunNoticeKind kind, const TaskName &task, std::uint32_t run, TimePoint now, SchedulerActions &actions)
{
    const bool hasResponded = session.lastResponse.ms != 0;
    actions.notices.push_back({kind, task, run, session.incarnation, hasResponded ? std::optional<Duration>(now - session.lastResponse) : std::nullopt});
}

void presumeRunEnd(const FleetState &state,
                   WorkerSession &session,
                   const TaskRef &task,
                   RunView &run,
                   RunNoticeKind reason,
                   TimePoint now,
                   WallTime wall,
                   SchedulerActions &actions)
{
    if (run.isEndProposed) {
        return;
    }
    noteRun(session, reason, taskName(state.jobs.at(task.job), task), run.run, now, actions);
    const bool hasWorkerEnded = reason == RunNoticeKind::WorkerEnded || reason == RunNoticeKind::WorkerReplaced;
    proposeRunEnd(session, task, run, hasWorkerEnded ? lossOutcome(session, run) : RunOutcome::Lost, wall, actions);
}

void proposeIncarnationEnd(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    if (session.isEndProposed) {
        return;
    }
    session.isEndProposed = true;
    proposeCrash(scheduler, state, session, now, wall, actions);
    for (auto &[task, run] : session.runs) {
        if (run.phase != RunPhase::Proposed) {
            presumeRunEnd(state, session, task, run, RunNoticeKind::WorkerEnded, now, wall, actions);
        }
    }
    actions.propose.push_back(EndIncarnation{session.incarnation});
}

bool hasSuccessorEnded(const FleetState &state, const WorkerSession &session)
{
    if (!session.isReplaced) {
        return false;
    }
    const IncarnationNumber latest = state.latestIncarnation.at(state.incarnations.at(session.incarnation).profile.worker);
    return latest != session.incarnation && state.incarnations.at(latest).hasEnded;
}

void sendOrder(FleetScheduler &scheduler,
               const FleetState &state,
               WorkerSession &session,
               WorkerOrder order,
               PendingOrder pendingOrder,
               TimePoint now,
               SchedulerActions &actions)
{
    const WorkerProfile &profile = state.incarnations.at(session.incarnation).profile;
    order.number = ++scheduler.lastOrder;
    order.incarnation = session.incarnation;
    order.worker = profile.worker;
    order.address = profile.address;
    order.term = scheduler.term;
    order.fence = fenceOf(scheduler.term, session);
    pendingOrder.fence = order.fence;
    pendingOrder.minWorkerClockMs = minWorkerClock(session, now);
    scheduler.pendingOrders[order.number] = std::move(pendingOrder);
    actions.orders.push_back(std::move(order));
}

void sendPoll(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions)
{
    const bool waitsForLog = session.pendingEnds > 0 && now - session.endsPendingSince < MaxLogWait;
    if (session.isPollPending || session.isEndProposed || session.isReplaced || now < session.nextPoll || waitsForLog || !needsPoll(session)) {
        return;
    }
    WorkerOrder order;
    order.kind = OrderKind::Poll;
    // Each incarnation numbers its ends from 1, so another incarnation with the same name must not get the discard number of this one.
    const bool hasUndiscardedEnds = session.committedThrough > session.discardedThrough && session.isIncarnationConfirmed;
    const bool mayDiscard = hasUndiscardedEnds && mayDiscardEnds(session, now);
    session.isConfirmationPoll = hasUndiscardedEnds && !mayDiscard && !session.isConfirmationPoll;
    const bool mayWait =
        !session.isConfirmationPoll && session.hasAcceptedFence && session.consecutiveOrderFailures == 0 && session.pendingEnds == 0 && !session.runs.empty();
    if (mayWait) {
        order.wait = pollWait(scheduler, session);
    }
    if (!session.runs.empty() || !session.hasAcceptedFence) {
        grantLease(scheduler, session, now, order);
    }
    order.committedThrough = mayDiscard ? session.committedThrough : 0;
    order.timeout = order.wait + responseTimeout(scheduler, session);
    order.usesFreshConnection = session.consecutiveOrderFailures > 0;
    session.isPollPending = true;
    session.lastPoll = scheduler.lastOrder + 1;
    session.pollSentAt = now;
    PendingOrder pendingOrder{.kind = OrderKind::Poll, .incarnation = session.incarnation, .committedThrough = order.committedThrough};
    sendOrder(scheduler, state, session, std::move(order), std::move(pendingOrder), now, actions);
    if (mayDiscard) {
        // An incarnation that has executed a later start has seen a higher fence, and rejects this poll if it arrives late.
        session.fenceEpoch = session.lastPoll;
    }
}

void withdrawStartsOverCapacity(const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    const WorkerProfile &profile = state.incarnations.at(session.incarnation).profile;
    const Resources capacity = usableCapacity(session, profile.capacity);
    if (session.isReplaced || fitsInto(session.used, capacity) || enforcesCapacity(state.manifest, profile.service)) {
        return;
    }
    Resources used = committedUse(session);
    for (auto &[task, run] : session.runs) {
        const bool isStartDue = run.phase == RunPhase::Ordered && !run.isOrderPending && !run.isStopRequested && !run.isEndProposed;
        if (!isStartDue || fitsInto(used, capacity)) {
            continue;
        }
        if (run.mayHaveReachedWorker) {
            // Whether it runs is not known, so it counts until a stop order has settled that.
            run.isStopRequested = true;
            run.phase = RunPhase::Started;
            continue;
        }
        presumeRunEnd(state, session, task, run, RunNoticeKind::StartWithdrawn, now, wall, actions);
        used = used - run.reserved;
    }
}

void sendRunOrders(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, SchedulerActions &actions)
{
    session.nextRunOrderAt = now + Never;
    if (session.isReplaced) {
        return;
    }
    sendOrphanStops(scheduler, state, session, now, actions);
    if (!session.orphanRuns.empty()) {
        session.nextRunOrderAt = now + OrphanRetryInterval;
    }
    for (auto &[task, run] : session.runs) {
        if (run.isOrderPending || run.isEndProposed || run.phase == RunPhase::Proposed) {
            continue;
        }
        // Another incarnation with the same name would execute a start too, under a lease on its own clock.
        const bool isStartDue = run.phase == RunPhase::Ordered && !run.isStopRequested && session.isIncarnationConfirmed;
        const bool isStopDue = run.isStopRequested && !run.isStopConfirmed;
        const bool isThrottleDue = run.phase == RunPhase::Started && !run.isStopRequested && run.speedLimitPercent != run.sentSpeedLimitPercent;
        if (!isStartDue && !isStopDue && !isThrottleDue) {
            continue;
        }
        if (now < run.nextAttempt) {
            session.nextRunOrderAt = std::min(session.nextRunOrderAt, run.nextAttempt);
            continue;
        }
        if (isStartDue) {
            sendStart(scheduler, state, session, task, run, now, actions);
        } else if (isStopDue) {
            sendRunOrder(scheduler, state, session, OrderKind::Stop, task, run, now, actions);
        } else {
            run.sentSpeedLimitPercent = run.speedLimitPercent;
            sendRunOrder(scheduler, state, session, OrderKind::Throttle, task, run, now, actions);
        }
    }
}

namespace {

    /** Returns whether a start order of a run may still reach the succeeding incarnation. */
    bool mayReachSuccessor(const WorkerSession &session, const RunView &run, const TaskName &name)
    {
        return !run.wasListed || std::any_of(session.unconfirmedStarts.begin(), session.unconfirmedStarts.end(), [&run, &name](const UnconfirmedStart &start) {
            return start.run == run.run && start.task == name;
        });
    }

    /**
     * Returns whether the run has certainly stopped everywhere. The start of a run that was never listed may have been executed by an unknown
     * incarnation, under a lease of up to the maximum duration. An order for its predecessor may also have given a known incarnation such a lease.
     */
    bool hasCertainlyExpired(const SchedulerSettings &settings, const RunView &run, TimePoint now)
    {
        const Duration longest = maxLeaseOnLocalClock(settings.longestLease) + LeaseExpiryMargin;
        const std::optional<TimePoint> lastStartAt = run.startSentAt ? run.startSentAt : run.takenOverAt;
        return run.wasListed || !lastStartAt || now - *lastStartAt >= longest;
    }

    /** Returns whether a run of an unresponsive worker has certainly ended with its lease. */
    bool hasLeaseExpired(const SchedulerSettings &settings, const WorkerSession &session, const RunView &run, TimePoint now)
    {
        return now >= leaseExpiryBound(session) && hasCertainlyExpired(settings, run, now);
    }

    /**
     * Ends the runs of a replaced incarnation. Runs that it had listed ended with its process. The succeeding incarnation accounts for the others,
     * unless it remains unresponsive for too long or has ended too.
     */
    void expireReplacedRuns(
        const SchedulerSettings &settings, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        session.replacedAt = session.replacedAt.value_or(now);
        const Duration unresponsiveLimit = MaxOrderDelay + settings.longestLease * 100 / MinClockRatePercent;
        const bool hasTimedOut = now - *session.replacedAt >= unresponsiveLimit;
        const bool isLast = hasSuccessorEnded(state, session);
        for (auto &[task, run] : session.runs) {
            const bool isOpen = run.phase != RunPhase::Proposed && !run.isEndProposed;
            const bool hasEnded = hasTimedOut || (isLast && hasLeaseExpired(settings, session, run, now));
            if (isOpen && (hasEnded || !mayReachSuccessor(session, run, taskName(state.jobs.at(task.job), task)))) {
                presumeRunEnd(state, session, task, run, RunNoticeKind::WorkerReplaced, now, wall, actions);
            }
        }
    }

} // namespace

void expireRuns(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    if (session.runs.empty()) {
        return;
    }
    if (session.isReplaced) {
        expireReplacedRuns(scheduler.settings, state, session, now, wall, actions);
        return;
    }
    if (session.consecutiveOrderFailures == 0) {
        return;
    }
    for (auto &[task, run] : session.runs) {
        if (run.phase != RunPhase::Proposed && !run.isEndProposed && hasLeaseExpired(scheduler.settings, session, run, now)) {
            keepExpiredRun(scheduler, session, task, run, now);
            presumeRunEnd(state, session, task, run, RunNoticeKind::LeaseExpired, now, wall, actions);
        }
    }
}

std::optional<HoldReason> sessionHoldReason(const FleetState &state, const WorkerSession &session, TimePoint now)
{
    const auto incarnation = state.incarnations.find(session.incarnation);
    if (session.isReplaced) {
        return HoldReason::Replaced;
    }
    if (session.isEndProposed || incarnation == state.incarnations.end() || incarnation->second.hasEnded) {
        return HoldReason::Ending;
    }
    if (session.isShuttingDown) {
        return HoldReason::ShuttingDown;
    }
    if (incarnation->second.profile.isDraining) {
        return HoldReason::Draining;
    }
    if (!state.drainedZones.empty() && state.drainedZones.contains(incarnation->second.profile.availabilityZone)) {
        return HoldReason::ZoneDrained;
    }
    if (!session.hasAcceptedFence || !session.clock) {
        return HoldReason::Unconfirmed;
    }
    if (session.consecutiveOrderFailures > 0) {
        return HoldReason::Unresponsive;
    }
    // Its capacity may have shrunk since the last report that an earlier leader has received.
    if (!session.reportedCapacity && !enforcesCapacity(state.manifest, incarnation->second.profile.service)) {
        return HoldReason::CapacityUnknown;
    }
    if (!session.orphanRuns.empty()) {
        return HoldReason::OrphanRuns;
    }
    return now < session.noPlacementUntil ? std::optional<HoldReason>(HoldReason::Backoff) : std::nullopt;
}

bool isUsable(const FleetState &state, const WorkerSession &session, TimePoint now)
{
    return !sessionHoldReason(state, session, now);
}

} // namespace Filbertlanding
