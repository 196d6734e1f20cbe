/** @file scheduler_answers.cpp What answers of workers change. */

#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <set>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MostListedEnds = 500; ///< A worker lists at most so many ends, so a list of this length may leave some out.
    constexpr Duration UnhealthyWait{1'000}; ///< Time for which nothing is placed on a worker that refuses orders.
    constexpr Duration NoRoomWait{300}; ///< Time for which nothing is placed on a worker that has less room than it should.
    constexpr Duration ClockRounding{1}; ///< Clocks are told in whole milliseconds.
    constexpr Duration RetryStep{20}; ///< Wait before a try is repeated; it doubles with each try without an answer.
    constexpr Duration LongestRetry{500}; ///< A worker that comes back is found within this time.
    constexpr unsigned MostDoublings = 7;

    Duration waitAfter(unsigned failures)
    {
        return std::min(LongestRetry, RetryStep * (std::int64_t{1} << std::min(failures, MostDoublings)));
    }

    void noteAlive(WorkerContact &contact, const WorkerAnswer &answer, TimePoint now)
    {
        contact.failuresInRow = 0;
        contact.lastAnswer = now;
        if (answer.clockMs) {
            noteClock(contact, *answer.clockMs, now);
        }
    }

    /** Returns whether an answer shows a clock that began anew, and so another life under the same name; only lists name the life itself. */
    bool hasClockRestarted(const OpenOrder &open, const WorkerAnswer &answer)
    {
        return answer.clockMs && open.leastClockMs && *answer.clockMs + ClockRounding.ms < *open.leastClockMs;
    }

    /** Returns whether a later order of this leader has raised the fence meanwhile, so that the worker has done nothing for this one. */
    bool isOvertaken(const FleetScheduler &scheduler, const WorkerContact &contact, const OpenOrder &open, const WorkerAnswer &answer)
    {
        return answer.outcome == OrderOutcome::Fenced && (contact.isReplaced || open.fence < fenceOf(scheduler.term, contact));
    }

    /** Takes what is true of every answer. Returns false when the answer says nothing of the order itself. */
    bool takeCommon(WorkerContact &contact, const WorkerAnswer &answer, SchedulerActions &actions)
    {
        if (answer.outcome == OrderOutcome::Fenced) {
            actions.isDeposed = true;
            return false;
        }
        if (answer.outcome == OrderOutcome::OtherLife) {
            // The address belongs to another life, so the process that had it is gone.
            proposeLifeEnd(contact, actions);
            return false;
        }
        return true;
    }

    RunView *runOf(WorkerContact &contact, const TaskRef &task, std::uint32_t run)
    {
        const auto found = contact.runs.find(task);
        return found != contact.runs.end() && found->second.run == run ? &found->second : nullptr;
    }

    /** Takes the end of a run that the log places on an earlier life: its start has reached this one, which has the same name. */
    void
    takeInheritedEnd(FleetScheduler &scheduler, WorkerContact &contact, const TaskRef &task, const ListedEnd &end, WallTime wall, SchedulerActions &actions)
    {
        for (const IncarnationNumber incarnation : contact.earlierLives) {
            const auto earlier = scheduler.contacts.find(incarnation);
            RunView *run = earlier == scheduler.contacts.end() ? nullptr : runOf(earlier->second, task, end.run);
            if (run == nullptr || run->phase == RunPhase::Proposed) {
                continue;
            }
            run->checkpoint = end.checkpoint.empty() ? run->checkpoint : end.checkpoint;
            contact.inheritedEnds.insert(task);
            proposeEnd(earlier->second, task, *run, end.end, wall, actions);
        }
    }

    void takeEnds(FleetScheduler &scheduler,
                  const FleetState &state,
                  WorkerContact &contact,
                  const WorkerAnswer &answer,
                  TimePoint now,
                  WallTime wall,
                  std::set<TaskRef> &listed,
                  SchedulerActions &actions)
    {
        for (const ListedEnd &end : answer.ended) {
            const auto task = taskOfName(state, end.task);
            RunView *run = task ? runOf(contact, *task, end.run) : nullptr;
            if (run != nullptr) {
                listed.insert(*task);
            }
            if (end.number <= contact.takenThrough) {
                continue;
            }
            contact.takenThrough = end.number;
            if (run == nullptr) {
                if (task) {
                    takeInheritedEnd(scheduler, contact, *task, end, wall, actions);
                }
                continue;
            }
            run->checkpoint = end.checkpoint.empty() ? run->checkpoint : end.checkpoint;
            if (end.end == RunOutcome::Done && answer.clockMs) {
                learnFromDoneRun(scheduler, state, contact, *task, *run, *answer.clockMs);
            }
            contact.endsSince = contact.openEnds == 0 ? now : contact.endsSince;
            proposeEnd(contact, *task, *run, end.end, wall, actions);
        }
        if (contact.openEnds == 0 && contact.inheritedEnds.empty()) {
            contact.notedThrough = contact.takenThrough;
        }
    }

    /** Notes since when lasting tasks are over their targets, and learns from their tails. */
    void noteTails(FleetScheduler &scheduler, const Resources &capacity, WorkerContact &contact, const std::set<TaskRef> &listed, TimePoint now)
    {
        constexpr std::int64_t AtWorkPercent = 100;
        contact.hasNewTails = true;
        contact.isRoomStale = true;
        contact.sharesInUse.clear();
        for (const TaskRef &task : listed) {
            const RunView &run = contact.runs.at(task);
            if (run.usesSpareCapacity && !run.isEnding) {
                contact.sharesInUse[run.image] += static_cast<double>(run.measure) / std::max<double>(1, static_cast<double>(capacity.cpuMillis));
            }
        }
        for (const TaskRef &task : listed) {
            const RunView &run = contact.runs.at(task);
            if (run.isLongRunning && run.latencyTarget.ms > 0 && run.measure > 0 && run.percent >= AtWorkPercent) {
                const double tailRatio = static_cast<double>(run.measure) / static_cast<double>(run.latencyTarget.ms);
                addTailSample(scheduler.learnedModel.interference, run.image, tailRatio, contact.sharesInUse);
            }
        }
        for (auto &[task, run] : contact.runs) {
            const bool isOver = run.latencyTarget.ms > 0 && run.measure > run.latencyTarget.ms;
            run.overTargetSince = isOver ? run.overTargetSince.value_or(now) : std::optional<TimePoint>();
        }
    }

    void takeRunning(
        FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, const WorkerAnswer &answer, TimePoint now, std::set<TaskRef> &listed)
    {
        for (const ListedRun &entry : answer.running) {
            const auto task = taskOfName(state, entry.task);
            RunView *run = task ? runOf(contact, *task, entry.run) : nullptr;
            if (run == nullptr || run->phase == RunPhase::Proposed) {
                addStrayRun(contact, entry.task, entry.run, now);
                continue;
            }
            listed.insert(*task);
            run->isSeen = true;
            run->phase = RunPhase::Started;
            run->checkpoint = entry.checkpoint.empty() ? run->checkpoint : entry.checkpoint;
            run->percent = entry.percent;
            run->measure = entry.measure;
            if (!run->isLongRunning && answer.clockMs) {
                noteRunProgress(scheduler, contact, *task, *run, entry.percent, *answer.clockMs);
            }
        }
    }

    /** Ends the runs that the worker would have to list if it had ever started them. */
    void endUnlisted(WorkerContact &contact, bool isAdoption, const std::set<TaskRef> &listed, WallTime wall, SchedulerActions &actions)
    {
        for (auto &[task, run] : contact.runs) {
            const bool isSettled = run.settledAt != 0 && run.settledAt < contact.lookNumber && !run.orderOpen;
            // Orders of earlier leaders take no effect after a look with the new fence, so what is missing then never runs.
            const bool isInherited = isAdoption && run.settledAt == 0 && !run.orderOpen && run.tries == 0 && run.phase == RunPhase::Started;
            if (run.phase != RunPhase::Proposed && !run.isEnding && !listed.contains(task) && (isSettled || isInherited)) {
                proposeEnd(contact, task, run, RunOutcome::Lost, wall, actions);
            }
        }
    }

    void takeLook(FleetScheduler &scheduler,
                  const FleetState &state,
                  WorkerContact &contact,
                  const OpenOrder &open,
                  const WorkerAnswer &answer,
                  TimePoint now,
                  WallTime wall,
                  SchedulerActions &actions)
    {
        contact.lookOpen = false;
        contact.nextLook = now;
        if (isOvertaken(scheduler, contact, open, answer) || !takeCommon(contact, answer, actions)) {
            return;
        }
        if (answer.outcome != OrderOutcome::Done || !answer.hasLists) {
            ++contact.failuresInRow;
            contact.isLifeSure = false;
            contact.nextLook = now + waitAfter(contact.failuresInRow);
            if (answer.outcome == OrderOutcome::Unreachable && contact.saidGoodbye) {
                proposeLifeEnd(contact, actions);
            }
            return;
        }
        const WorkerIncarnation &incarnation = state.incarnations.at(contact.incarnation);
        if (answer.startedAtMs && *answer.startedAtMs != incarnation.profile.startedAtMs) {
            contact.isReplaced = contact.isReplaced || *answer.startedAtMs > incarnation.profile.startedAtMs;
            contact.nextLook = now + UnhealthyWait;
            return;
        }
        const bool wasSilent = contact.failuresInRow > 0;
        noteAlive(contact, answer, now);
        contact.acknowledgedThrough = std::max(contact.acknowledgedThrough, open.notedThrough);
        const bool isAdoption = !contact.isAdopted;
        if (isAdoption && incarnation.hasPredecessor) {
            // An order for an earlier life may have come before, with a lease named on another clock; workers cut such a lease to the longest one.
            contact.earlierLeasesEnd = std::max(contact.earlierLeasesEnd, now + longestOnOurClock(scheduler.settings.longestLease));
        }
        contact.isAdopted = true;
        contact.isLifeSure = true;
        contact.answeredLook = contact.lookNumber;
        contact.confirmedAt = contact.lookSentAt;
        std::set<TaskRef> listed;
        takeEnds(scheduler, state, contact, answer, now, wall, listed, actions);
        takeRunning(scheduler, state, contact, answer, now, listed);
        noteTails(scheduler, incarnation.profile.capacity, contact, listed, now);
        watchProgress(scheduler, state, contact, now);
        if (answer.ended.size() < MostListedEnds) {
            endUnlisted(contact, isAdoption, listed, wall, actions);
        }
        scheduler.placeDue = scheduler.placeDue || isAdoption || wasSilent;
        contact.nextRunDue = now;
    }

    /** The worker has done nothing for a start. */
    void
    takeRefusedStart(WorkerContact &contact, const TaskRef &task, RunView &run, OrderOutcome outcome, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        contact.avoidUntil = now + (outcome == OrderOutcome::NoRoom ? NoRoomWait : UnhealthyWait);
        if (!run.maySent) {
            proposeEnd(contact, task, run, RunOutcome::Lost, wall, actions);
            return;
        }
        // An earlier try may still arrive, or has run and ended; a stop makes sure of the first, the next look tells of the second.
        run.stopWanted = true;
        run.phase = RunPhase::Started;
    }

    void takeStart(const FleetScheduler &scheduler,
                   WorkerContact &contact,
                   const TaskName &name,
                   const TaskRef &task,
                   RunView &run,
                   const WorkerAnswer &answer,
                   TimePoint now,
                   WallTime wall,
                   SchedulerActions &actions)
    {
        switch (answer.outcome) {
        case OrderOutcome::Done:
            noteAlive(contact, answer, now);
            run.maySent = true;
            run.phase = RunPhase::Started;
            // The answer to the first try tells when the run began; a later one may find it at work.
            if (answer.clockMs && run.tries == 0 && run.checkpoint.empty()) {
                updateProgress(run.progress, 0, *answer.clockMs, 1.0);
            }
            run.tries = 0;
            run.settledAt = scheduler.lastOrder;
            return;
        case OrderOutcome::NoAnswer:
            run.maySent = true;
            ++run.tries;
            run.nextTry = now + waitAfter(run.tries);
            addDoubtfulStart(contact, name, run.run, now);
            contact.avoidUntil = std::max(contact.avoidUntil, now + NoRoomWait);
            contact.nextLook = now;
            return;
        case OrderOutcome::Unreachable:
            ++contact.failuresInRow;
            contact.nextLook = now;
            if (!run.maySent) {
                proposeEnd(contact, task, run, RunOutcome::Lost, wall, actions);
                return;
            }
            ++run.tries;
            run.nextTry = now + waitAfter(run.tries);
            return;
        default:
            takeRefusedStart(contact, task, run, answer.outcome, now, wall, actions);
            return;
        }
    }

    void takeStop(const FleetScheduler &scheduler, WorkerContact &contact, RunView &run, const WorkerAnswer &answer, TimePoint now)
    {
        if (answer.outcome == OrderOutcome::Done) {
            noteAlive(contact, answer, now);
            run.stopAnswered = true;
            run.tries = 0;
            run.settledAt = scheduler.lastOrder;
            contact.nextLook = std::min(contact.nextLook, now);
            return;
        }
        ++run.tries;
        run.nextTry = now + waitAfter(run.tries);
    }

    void takeStrayStop(const FleetScheduler &scheduler, WorkerContact &contact, const OpenOrder &open, const WorkerAnswer &answer, TimePoint now)
    {
        const auto stray = std::find_if(contact.strayRuns.begin(), contact.strayRuns.end(), [&open](const StrayRun &item) {
            return item.task == open.strayTask && item.run == open.run;
        });
        if (stray == contact.strayRuns.end()) {
            return;
        }
        if (answer.outcome == OrderOutcome::Done) {
            contact.strayRuns.erase(stray);
            contact.strayStoppedAt = scheduler.lastOrder;
            contact.nextLook = std::min(contact.nextLook, now);
            return;
        }
        stray->orderOpen = false;
        stray->nextTry = now + UnhealthyWait / 4;
    }

} // namespace

SchedulerActions takeAnswer(FleetScheduler &scheduler, const FleetState &state, std::uint64_t order, const WorkerAnswer &answer, TimePoint now, WallTime wall)
{
    SchedulerActions actions;
    const auto found = scheduler.openOrders.find(order);
    if (found == scheduler.openOrders.end()) {
        return actions;
    }
    const OpenOrder open = found->second;
    scheduler.openOrders.erase(found);
    const auto place = scheduler.contacts.find(open.incarnation);
    if (place == scheduler.contacts.end()) {
        return actions;
    }
    WorkerContact &contact = place->second;
    touch(scheduler, contact);
    if (open.kind == OrderKind::Look) {
        takeLook(scheduler, state, contact, open, answer, now, wall, actions);
        return actions;
    }
    contact.nextRunDue = now;
    const bool hasFailed = answer.outcome == OrderOutcome::NoAnswer || answer.outcome == OrderOutcome::Unreachable;
    contact.isLifeSure = contact.isLifeSure && !hasFailed && !hasClockRestarted(open, answer);
    if (open.isStray) {
        takeStrayStop(scheduler, contact, open, answer, now);
    }
    RunView *run = open.isStray ? nullptr : runOf(contact, open.task, open.run);
    if (run != nullptr) {
        run->orderOpen = false;
    }
    if (isOvertaken(scheduler, contact, open, answer)) {
        // The order is due as before, and leaves again with the present fence.
        if (run != nullptr && open.kind == OrderKind::Pace) {
            run->paceSent = -1;
        }
        return actions;
    }
    if (!takeCommon(contact, answer, actions) || run == nullptr) {
        return actions;
    }
    if (open.kind == OrderKind::Start) {
        takeStart(scheduler, contact, taskName(state.jobs.at(open.task.job), open.task), open.task, *run, answer, now, wall, actions);
    } else if (open.kind == OrderKind::Stop) {
        takeStop(scheduler, contact, *run, answer, now);
    } else if (answer.outcome != OrderOutcome::Done) {
        run->paceSent = -1;
        run->nextTry = now + UnhealthyWait / 4;
    }
    return actions;
}

} // namespace Filbertlanding
