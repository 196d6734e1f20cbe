/** @file scheduler_orders.cpp Orders to workers, their repetition, and the end of leases. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration StrayRetry{20}; ///< Interval at which stray runs are looked at.
    /** Wait of looks at workers with tasks that have a latency target; tasks in spare room may be placed there while the look waits. */
    constexpr Duration TargetLookWait{500};
    constexpr Duration WaitForEachWorker{2}; ///< Longer waits on a large fleet, so that looks without news leave the leader its processor.
    constexpr Duration StuckLog{500}; ///< Time after which a lease is renewed although the log does not take the ends of the last look.
    constexpr Duration Far{3'600'000}; ///< No order is due before something happens.

    /** Returns how long a look may wait for an end: short enough to see tails move, and a task that stands in good time. */
    Duration lookWait(const FleetScheduler &scheduler, const WorkerContact &contact)
    {
        Duration wait = scheduler.settings.lookWait;
        const Duration targetWait = std::max(TargetLookWait, WaitForEachWorker * static_cast<std::int64_t>(scheduler.contacts.size()));
        for (const auto &[task, run] : contact.runs) {
            const Duration limit = run.isLongRunning && run.latencyTarget.ms > 0 ? targetWait : std::max(targetWait, run.expectedTime / 3);
            wait = std::min(wait, run.isLongRunning && run.latencyTarget.ms == 0 ? wait : limit);
        }
        return wait;
    }

    /**
     * Returns the time for the answer to a look beyond its wait. Every other try after a failure waits longer, since a worker that is slow to
     * answer still works; the tries between find one that was cut off as soon as it is back.
     */
    Duration answerTime(const FleetScheduler &scheduler, const WorkerContact &contact)
    {
        constexpr std::int64_t PatientFactor = 4;
        return scheduler.settings.orderTimeout * (contact.failuresInRow % 2 == 1 ? PatientFactor : 1);
    }

    /**
     * Returns whether a worker may be told to forget ends. A start whose answer has not come may have been carried out by a new life under the
     * same name, whose ends would be forgotten in place of those of this one; so this life must have answered just before.
     */
    bool mayTellToForget(const WorkerContact &contact, TimePoint now)
    {
        constexpr Duration ConfirmedFor{40}; // No process can have begun anew and finished a task within it.
        return !hasOpenStarts(contact, now) || now - contact.confirmedAt <= ConfirmedFor;
    }

    bool needsLook(const WorkerContact &contact)
    {
        const bool hasRuns = std::any_of(contact.runs.begin(), contact.runs.end(), [](const auto &item) {
            return item.second.phase != RunPhase::Proposed;
        });
        const bool mayHaveInherited = !contact.earlierLives.empty() && !contact.earlierEndsProposed;
        return !contact.isAdopted || mayHaveInherited || hasRuns || contact.notedThrough > contact.acknowledgedThrough || contact.failuresInRow > 0
            || !contact.isLifeSure;
    }

    /** Names a lease in an order, if the worker answers: one that does not gets no new lease, so that its end can be told. */
    void grantLease(const FleetScheduler &scheduler, WorkerContact &contact, TimePoint now, WorkerOrder &order)
    {
        if (contact.failuresInRow > 0 || contact.isReplaced) {
            return;
        }
        order.leaseEndMs = leaseEndAfter(contact, scheduler.settings.taskLease, now);
        if (order.leaseEndMs) {
            contact.leaseEndMs = std::max(contact.leaseEndMs, *order.leaseEndMs);
        }
    }

    void sendStart(
        FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, const TaskRef &task, RunView &run, TimePoint now, SchedulerActions &actions)
    {
        WorkerOrder order;
        order.kind = OrderKind::Start;
        grantLease(scheduler, contact, now, order);
        if (!order.leaseEndMs && contact.leaseEndMs > 0) {
            order.leaseEndMs = contact.leaseEndMs;
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
        order.usesFreshConnection = run.tries > 0;
        run.orderOpen = true;
        run.startSentAt = now;
        sendOrder(scheduler,
                  state,
                  contact,
                  std::move(order),
                  {.kind = OrderKind::Start, .incarnation = contact.incarnation, .task = task, .run = run.run},
                  now,
                  actions);
    }

    /** Sends an order about a run that the worker has or had. */
    void sendRunOrder(FleetScheduler &scheduler,
                      const FleetState &state,
                      WorkerContact &contact,
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
        order.usesFreshConnection = run.tries > 0;
        run.orderOpen = true;
        sendOrder(scheduler, state, contact, std::move(order), {.kind = kind, .incarnation = contact.incarnation, .task = task, .run = run.run}, now, actions);
    }

    void sendStrayStops(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now, SchedulerActions &actions)
    {
        for (StrayRun &stray : contact.strayRuns) {
            if (stray.orderOpen || now < stray.nextTry) {
                continue;
            }
            stray.orderOpen = true;
            WorkerOrder order;
            order.kind = OrderKind::Stop;
            order.task = stray.task;
            order.run = stray.run;
            order.timeout = scheduler.settings.orderTimeout;
            sendOrder(scheduler,
                      state,
                      contact,
                      std::move(order),
                      {.kind = OrderKind::Stop, .incarnation = contact.incarnation, .run = stray.run, .isStray = true, .strayTask = stray.task},
                      now,
                      actions);
        }
    }

} // namespace

RunView makeRunView(const StepSpec &step, std::uint32_t run, RunPhase phase, TimePoint now)
{
    RunView view;
    view.run = run;
    view.phase = phase;
    view.room = step.request;
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
        view.room.cpuMillis = 0;
    }
    return view;
}

void touch(FleetScheduler &scheduler, WorkerContact &contact)
{
    if (!contact.isTouched) {
        contact.isTouched = true;
        scheduler.touched.push_back(contact.incarnation);
    }
}

TaskName taskName(const FleetJob &job, const TaskRef &task)
{
    return {job.id, task.occurrence, task.step, task.index};
}

std::optional<TaskRef> taskOfName(const FleetState &state, const TaskName &name)
{
    const auto number = state.jobNumbers.find(name.job);
    if (number == state.jobNumbers.end()) {
        return std::nullopt;
    }
    return TaskRef{number->second, name.occurrence, name.step, name.index};
}

void proposeEnd(WorkerContact &contact, const TaskRef &task, RunView &run, RunOutcome end, WallTime wall, SchedulerActions &actions)
{
    if (run.isEnding) {
        return;
    }
    run.isEnding = true;
    ++contact.openEnds;
    actions.propose.push_back(EndRun{task, run.run, contact.incarnation, end, run.checkpoint, wall});
}

void proposeLifeEnd(WorkerContact &contact, SchedulerActions &actions)
{
    if (!contact.endProposed) {
        contact.endProposed = true;
        actions.propose.push_back(EndIncarnation{contact.incarnation});
    }
}

void sendOrder(
    FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, WorkerOrder order, OpenOrder open, TimePoint now, SchedulerActions &actions)
{
    const WorkerProfile &profile = state.incarnations.at(contact.incarnation).profile;
    order.number = ++scheduler.lastOrder;
    order.incarnation = contact.incarnation;
    order.worker = profile.worker;
    order.address = profile.address;
    order.term = scheduler.term;
    order.fence = fenceOf(scheduler.term, contact);
    open.fence = order.fence;
    open.leastClockMs = leastClock(contact, now);
    scheduler.openOrders[order.number] = std::move(open);
    actions.orders.push_back(std::move(order));
}

void sendLook(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now, SchedulerActions &actions)
{
    const bool waitsForLog = contact.openEnds > 0 && now - contact.endsSince < StuckLog;
    if (contact.lookOpen || contact.endProposed || contact.isReplaced || now < contact.nextLook || waitsForLog || !needsLook(contact)) {
        return;
    }
    WorkerOrder order;
    order.kind = OrderKind::Look;
    // Ends are numbered anew in each life, so another life under the same name must not be told what this one may forget.
    const bool hasNews = contact.notedThrough > contact.acknowledgedThrough && contact.isLifeSure;
    const bool mayForget = hasNews && mayTellToForget(contact, now);
    contact.isConfirming = hasNews && !mayForget && !contact.isConfirming;
    const bool mayWait = !contact.isConfirming && contact.isAdopted && contact.failuresInRow == 0 && contact.openEnds == 0 && !contact.runs.empty();
    if (mayWait) {
        order.wait = lookWait(scheduler, contact);
    }
    if (!contact.runs.empty() || !contact.isAdopted) {
        grantLease(scheduler, contact, now, order);
    }
    order.notedThrough = mayForget ? contact.notedThrough : 0;
    order.timeout = order.wait + answerTime(scheduler, contact);
    order.usesFreshConnection = contact.failuresInRow > 0;
    contact.lookOpen = true;
    contact.lookNumber = scheduler.lastOrder + 1;
    contact.lookSentAt = now;
    OpenOrder open{.kind = OrderKind::Look, .incarnation = contact.incarnation, .notedThrough = order.notedThrough};
    sendOrder(scheduler, state, contact, std::move(order), std::move(open), now, actions);
    if (mayForget) {
        // A life that has carried out a later start has seen a higher fence, and refuses this look if it comes late.
        contact.fenceEpoch = contact.lookNumber;
    }
}

void sendRunOrders(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now, SchedulerActions &actions)
{
    contact.nextRunDue = now + Far;
    if (contact.isReplaced) {
        return;
    }
    sendStrayStops(scheduler, state, contact, now, actions);
    if (!contact.strayRuns.empty()) {
        contact.nextRunDue = now + StrayRetry;
    }
    for (auto &[task, run] : contact.runs) {
        if (run.orderOpen || run.isEnding || run.phase == RunPhase::Proposed) {
            continue;
        }
        // Another life under the same name would carry a start out as well, under a lease of its own clock.
        const bool startDue = run.phase == RunPhase::Ordered && !run.stopWanted && contact.isLifeSure;
        const bool stopDue = run.stopWanted && !run.stopAnswered;
        const bool paceDue = run.phase == RunPhase::Started && !run.stopWanted && run.speedLimitPercent != run.paceSent;
        if (!startDue && !stopDue && !paceDue) {
            continue;
        }
        if (now < run.nextTry) {
            contact.nextRunDue = std::min(contact.nextRunDue, run.nextTry);
            continue;
        }
        if (startDue) {
            sendStart(scheduler, state, contact, task, run, now, actions);
        } else if (stopDue) {
            sendRunOrder(scheduler, state, contact, OrderKind::Stop, task, run, now, actions);
        } else {
            run.paceSent = run.speedLimitPercent;
            sendRunOrder(scheduler, state, contact, OrderKind::Pace, task, run, now, actions);
        }
    }
}

namespace {

    /** Returns whether a start of a run may still reach the life that follows. */
    bool isDoubtful(const WorkerContact &contact, const RunView &run, const TaskName &name)
    {
        return !run.isSeen || std::any_of(contact.doubtfulStarts.begin(), contact.doubtfulStarts.end(), [&run, &name](const DoubtfulStart &start) {
            return start.run == run.run && start.task == name;
        });
    }

    /** Returns whether nobody can be running it any more. A start that was never listed may have begun the longest lease in a life of which nothing is known.
     */
    bool hasSurelyLapsed(const SchedulerSettings &settings, const RunView &run, TimePoint now)
    {
        const Duration longest = settings.longestLease * 100 / SlowestClockPercent + LapseMargin;
        return run.isSeen || !run.startSentAt || now - *run.startSentAt >= longest;
    }

    /** The process is gone, and with it what it had listed. The life that follows tells of the rest, unless it stays silent for too long. */
    void
    giveUpReplaced(const SchedulerSettings &settings, const FleetState &state, WorkerContact &contact, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        contact.replacedAt = contact.replacedAt.value_or(now);
        const Duration silentLimit = LongestOrderDelay + settings.longestLease * 100 / SlowestClockPercent;
        const bool isOver = now - *contact.replacedAt >= silentLimit;
        for (auto &[task, run] : contact.runs) {
            const bool isOpen = run.phase != RunPhase::Proposed && !run.isEnding;
            if (isOpen && (isOver || !isDoubtful(contact, run, taskName(state.jobs.at(task.job), task)))) {
                proposeEnd(contact, task, run, RunOutcome::Lost, wall, actions);
            }
        }
    }

} // namespace

void giveUpLapsed(const FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    if (contact.runs.empty()) {
        return;
    }
    if (contact.isReplaced) {
        giveUpReplaced(scheduler.settings, state, contact, now, wall, actions);
        return;
    }
    if (contact.failuresInRow == 0 || now < certainLapse(contact)) {
        return;
    }
    for (auto &[task, run] : contact.runs) {
        if (run.phase != RunPhase::Proposed && hasSurelyLapsed(scheduler.settings, run, now)) {
            proposeEnd(contact, task, run, RunOutcome::Lost, wall, actions);
        }
    }
}

bool isUsable(const FleetState &state, const WorkerContact &contact, TimePoint now)
{
    const bool answers = contact.isAdopted && contact.failuresInRow == 0 && contact.clock.has_value();
    const bool isGone = contact.saidGoodbye || contact.isReplaced || contact.endProposed;
    if (!answers || isGone || !contact.strayRuns.empty() || now < contact.avoidUntil) {
        return false;
    }
    const auto incarnation = state.incarnations.find(contact.incarnation);
    const bool isPresent = incarnation != state.incarnations.end() && !incarnation->second.hasEnded && !incarnation->second.profile.isDraining;
    return isPresent && (state.drainedZones.empty() || !state.drainedZones.contains(incarnation->second.profile.availabilityZone));
}

} // namespace Filbertlanding
