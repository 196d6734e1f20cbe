/** @file fleet_scheduler.cpp Start of a leadership, workers' reports, and what follows from applied commands. */

#include "fleet/job_admission.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration KeepInterval{5'000}; ///< A new leader knows all but the last seconds; more often would only cost log bytes.
    constexpr std::size_t MostKeptBytes = 262'144; ///< A larger model is not kept in the log, and learned anew by the next leader.
    constexpr Duration SweepInterval{100}; ///< Interval of the slow matters: draining workers, pace.
    constexpr std::int64_t WorkersPerPlacementMs = 100; ///< A placement visits all workers, so on a large fleet it waits for what comes within some ms.
    constexpr Duration FullTickInterval{20}; ///< Bound on the delay of orders that are due by time alone; a look at all workers costs too much for each answer.

    /** Adds a job that has not ended. */
    JobView &addJob(FleetScheduler &scheduler, const FleetJob &job, TimePoint now, WallTime wall)
    {
        JobView view;
        // The calendar may have been set since; an age outside of this range is an effect of that.
        constexpr std::int64_t LongestAgeMs = 120'000;
        const std::int64_t age = std::clamp<std::int64_t>(wall.ms - job.acceptedAt.ms, 0, LongestAgeMs);
        view.acceptedAt = now - Duration{age};
        view.bytes = estimateJobMemory(job.spec);
        refreshJobView(scheduler, job, view);
        scheduler.openBytes += view.bytes;
        return scheduler.jobs[job.number] = std::move(view);
    }

    /** Adds the runs that the replicated state places on workers. */
    void takeOverRuns(FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, TimePoint now)
    {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
                    const TaskRecord &task = occurrence.steps[step].tasks[index];
                    for (const ActiveRun &active : task.active) {
                        const auto contact = scheduler.contacts.find(active.incarnation);
                        if (contact == scheduler.contacts.end()) {
                            continue;
                        }
                        RunView view = makeRunView(job.spec.steps[step], active.run, RunPhase::Started, now);
                        view.maySent = true;
                        view.isFar = isDataRemote(job.spec.steps[step], state.incarnations.at(active.incarnation).profile.rack);
                        view.stopWanted = task.isDone || hasEnded(job.state);
                        view.checkpoint = task.checkpoint;
                        addRun(contact->second, {job.number, number, step, index}, std::move(view));
                    }
                }
            }
        }
    }

    /** Marks the runs of a task for stopping, but for those that the log has not yet. */
    void stopRuns(FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task, TimePoint now)
    {
        for (const ActiveRun &active : task.active) {
            const auto contact = scheduler.contacts.find(active.incarnation);
            if (contact == scheduler.contacts.end()) {
                continue;
            }
            const auto run = contact->second.runs.find(ref);
            if (run != contact->second.runs.end() && run->second.run == active.run) {
                run->second.stopWanted = true;
                run->second.nextTry = now;
                contact->second.nextRunDue = now;
                touch(scheduler, contact->second);
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

    void noteStart(FleetScheduler &scheduler, const StartRun &start, const FleetChange &change, TimePoint now)
    {
        const auto proposed = scheduler.proposedStarts.find(start.task);
        if (proposed != scheduler.proposedStarts.end() && --proposed->second == 0) {
            scheduler.proposedStarts.erase(proposed);
        }
        const auto contact = scheduler.contacts.find(start.incarnation);
        if (contact == scheduler.contacts.end()) {
            return;
        }
        const auto run = contact->second.runs.find(start.task);
        if (run == contact->second.runs.end() || run->second.run != start.run) {
            return;
        }
        if (!change.isApplied) {
            removeRun(contact->second, start.task);
            scheduler.placeDue = true;
            return;
        }
        run->second.phase = RunPhase::Ordered;
        run->second.nextTry = now;
        contact->second.nextRunDue = now;
        touch(scheduler, contact->second);
    }

    /** Keeps tasks off a worker on which one after the other fails, for longer with each failure; a task that is done ends that. */
    void noteOutcome(FleetScheduler &scheduler, WorkerContact &worker, const EndRun &end, TimePoint now)
    {
        constexpr unsigned ToleratedFailures = 1; // Some tasks fail by their own fault anywhere.
        constexpr unsigned MostSteps = 6;
        constexpr Duration WaitStep{500};
        worker.isRoomStale = true;
        if (end.outcome == RunOutcome::Done) {
            worker.consecutiveFailures = 0;
            scheduler.failedOn.erase(end.task);
            return;
        }
        if (end.outcome != RunOutcome::Failed) {
            return;
        }
        ++worker.consecutiveFailures;
        scheduler.failedOn[end.task] = end.incarnation;
        if (worker.consecutiveFailures > ToleratedFailures) {
            const unsigned steps = std::min(worker.consecutiveFailures - ToleratedFailures, MostSteps);
            worker.avoidUntil = std::max(worker.avoidUntil, now + WaitStep * static_cast<std::int64_t>(steps));
        }
    }

    /** Lets the worker forget the ends that it has listed, once all of them are in the log. */
    void noteWhenTaken(WorkerContact &worker, TimePoint now)
    {
        if (worker.openEnds == 0 && worker.inheritedEnds.empty()) {
            worker.notedThrough = worker.takenThrough;
            worker.nextLook = now;
        }
    }

    /** The end of a run on an earlier life is in the log; the life that follows may have listed it. */
    void noteInheritedEnd(FleetScheduler &scheduler, const EndRun &end, TimePoint now)
    {
        for (auto &[number, contact] : scheduler.contacts) {
            if (contact.earlierLives.contains(end.incarnation) && contact.inheritedEnds.erase(end.task) > 0) {
                noteWhenTaken(contact, now);
            }
        }
    }

    void noteRunEnd(FleetScheduler &scheduler, const FleetState &state, const EndRun &end, TimePoint now)
    {
        scheduler.placeDue = true;
        const auto contact = scheduler.contacts.find(end.incarnation);
        if (contact != scheduler.contacts.end()) {
            WorkerContact &worker = contact->second;
            const auto run = worker.runs.find(end.task);
            if (run != worker.runs.end() && run->second.run == end.run) {
                removeRun(worker, end.task);
            }
            worker.openEnds -= worker.openEnds > 0 ? 1 : 0;
            touch(scheduler, worker);
            noteWhenTaken(worker, now);
            noteOutcome(scheduler, worker, end, now);
            noteInheritedEnd(scheduler, end, now);
        }
        const TaskRecord *task = findTask(state, end.task);
        if (task != nullptr && task->isDone) {
            stopRuns(scheduler, end.task, *task, now);
        }
    }

    void noteLife(FleetScheduler &scheduler, const FleetState &state, const FleetChange &change, TimePoint now)
    {
        const WorkerIncarnation &incarnation = state.incarnations.at(change.incarnation);
        scheduler.placeDue = true;
        if (!change.isNewIncarnation) {
            return;
        }
        WorkerContact &contact = scheduler.contacts[change.incarnation];
        contact.incarnation = change.incarnation;
        contact.earlierLeasesEnd = now;
        contact.fenceEpoch = scheduler.lastOrder + 1;
        for (auto &[number, earlier] : scheduler.contacts) {
            const auto known = state.incarnations.find(number);
            if (number == change.incarnation || known == state.incarnations.end() || known->second.profile.worker != incarnation.profile.worker) {
                continue;
            }
            earlier.isReplaced = true;
            contact.earlierLives.insert(number);
            for (const auto &[task, run] : earlier.runs) {
                // A start that the earlier life has not shown may have reached the process that took its name.
                if (run.phase != RunPhase::Proposed && !run.isSeen) {
                    addStrayRun(contact, taskName(state.jobs.at(task.job), task), run.run, now);
                }
            }
            for (const DoubtfulStart &start : earlier.doubtfulStarts) {
                if (now < start.until) {
                    addStrayRun(contact, start.task, start.run, now);
                }
            }
            contact.nextRunDue = now;
        }
    }

    /** Returns whether all is known of the runs of earlier lives: those that this life may have carried out are stopped, and a look since has shown their ends.
     */
    bool mayEndEarlierLives(const WorkerContact &contact)
    {
        const bool isOpen = !contact.earlierLives.empty() && !contact.earlierEndsProposed;
        return isOpen && contact.isAdopted && contact.strayRuns.empty() && contact.answeredLook > contact.strayStoppedAt;
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
    scheduler.nextKeep = now + KeepInterval;
    for (const auto &[number, incarnation] : state.incarnations) {
        if (incarnation.hasEnded) {
            continue;
        }
        WorkerContact &contact = scheduler.contacts[number];
        contact.incarnation = number;
        contact.fenceEpoch = lastOrder;
        contact.earlierLeasesEnd = now + longestOnOurClock(settings.taskLease);
        const IncarnationNumber latest = state.latestIncarnation.at(incarnation.profile.worker);
        if (latest != number) {
            contact.isReplaced = true;
            scheduler.contacts[latest].earlierLives.insert(number);
        }
    }
    for (const auto &[number, job] : state.jobs) {
        takeOverRuns(scheduler, state, job, now);
        if (!hasEnded(job.state)) {
            addJob(scheduler, job, now, wall).openedOccurrences = static_cast<std::uint32_t>(job.occurrences.size());
        }
    }
    for (auto &[number, contact] : scheduler.contacts) {
        for (const IncarnationNumber earlier : contact.earlierLives) {
            for (const auto &[task, run] : scheduler.contacts.at(earlier).runs) {
                addStrayRun(contact, taskName(state.jobs.at(task.job), task), run.run, now);
            }
        }
    }
    return scheduler;
}

ReportOutcome takeReport(FleetScheduler &scheduler, const FleetState &state, const FleetReport &report, TimePoint now)
{
    const auto latest = state.latestIncarnation.find(report.profile.worker);
    if (latest == state.latestIncarnation.end()) {
        return {RegisterWorker{report.profile}, false};
    }
    const WorkerIncarnation &incarnation = state.incarnations.at(latest->second);
    if (report.profile.startedAtMs < incarnation.profile.startedAtMs) {
        return {std::nullopt, true};
    }
    if (report.profile.startedAtMs > incarnation.profile.startedAtMs) {
        return {RegisterWorker{report.profile}, false};
    }
    const auto found = scheduler.contacts.find(incarnation.number);
    if (found == scheduler.contacts.end()) {
        return {std::nullopt, true};
    }
    WorkerContact &contact = found->second;
    if (report.sequence <= contact.lastSequence) {
        return {std::nullopt, true};
    }
    contact.lastSequence = report.sequence;
    contact.saidGoodbye = false;
    if (report.clockMs) {
        noteClock(contact, *report.clockMs, now);
    }
    if (report.drainRemaining) {
        contact.leavesAt = now + *report.drainRemaining;
    }
    WorkerProfile profile = report.profile;
    profile.isDraining = profile.isDraining || incarnation.profile.isDraining;
    if (profile == incarnation.profile) {
        return {};
    }
    return {RegisterWorker{std::move(profile)}, false};
}

void takeGoodbye(FleetScheduler &scheduler, const FleetState &state, const WorkerName &worker)
{
    const auto latest = state.latestIncarnation.find(worker);
    if (latest == state.latestIncarnation.end()) {
        return;
    }
    const auto contact = scheduler.contacts.find(latest->second);
    if (contact != scheduler.contacts.end()) {
        contact->second.saidGoodbye = true;
    }
}

void noteApplied(FleetScheduler &scheduler, const FleetState &state, const FleetCommand &command, const FleetChange &change, TimePoint now, WallTime wall)
{
    if (const auto *start = std::get_if<StartRun>(&command)) {
        noteStart(scheduler, *start, change, now);
    } else if (const auto *end = std::get_if<EndRun>(&command)) {
        noteRunEnd(scheduler, state, *end, now);
    } else if (std::holds_alternative<RegisterWorker>(command)) {
        if (change.isApplied) {
            noteLife(scheduler, state, change, now);
        }
    } else if (const auto *incarnation = std::get_if<EndIncarnation>(&command)) {
        scheduler.contacts.erase(incarnation->incarnation);
        scheduler.rooms.erase(incarnation->incarnation);
        scheduler.placeDue = true;
        for (auto &[number, contact] : scheduler.contacts) {
            if (contact.earlierLives.erase(incarnation->incarnation) > 0 && contact.earlierLives.empty()) {
                contact.earlierEndsProposed = false;
                contact.inheritedEnds.clear();
                noteWhenTaken(contact, now);
            }
        }
    } else if (std::holds_alternative<SubmitFleetJob>(command) && change.isApplied && !change.jobEnded) {
        addJob(scheduler, state.jobs.at(change.job), now, wall);
        scheduler.placeDue = true;
    } else if (!std::holds_alternative<SubmitFleetJob>(command) && !std::holds_alternative<SaveLearnedModel>(command)) {
        scheduler.placeDue = true;
    }
    if (change.jobEnded) {
        forgetJob(scheduler, change.job);
        stopJob(scheduler, state.jobs.at(change.job), now);
    }
}

namespace {

    /** Returns the contacts that this tick looks at: all of them from time to time, and otherwise those that something has happened to. */
    std::vector<WorkerContact *> contactsOfTick(FleetScheduler &scheduler, TimePoint now)
    {
        std::vector<WorkerContact *> contacts;
        if (now >= scheduler.nextFullTick) {
            scheduler.nextFullTick = now + FullTickInterval;
            contacts.reserve(scheduler.contacts.size());
            for (auto &[number, contact] : scheduler.contacts) {
                contacts.push_back(&contact);
            }
        } else {
            for (const IncarnationNumber incarnation : scheduler.touched) {
                const auto found = scheduler.contacts.find(incarnation);
                if (found != scheduler.contacts.end()) {
                    contacts.push_back(&found->second);
                }
            }
        }
        scheduler.touched.clear();
        return contacts;
    }

    /** Keeps what was learned for the next leader. */
    void keepLearned(FleetScheduler &scheduler, const FleetState &state, TimePoint now, SchedulerActions &actions)
    {
        scheduler.nextKeep = now + KeepInterval;
        std::string model = encodeLearned(scheduler.learnedModel);
        if (model.size() <= MostKeptBytes && model != state.learnedModel) {
            actions.propose.push_back(SaveLearnedModel{std::move(model)});
        }
    }

    /** Lets time pass for one worker. */
    void tickContact(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        contact.isTouched = false;
        giveUpLapsed(scheduler, state, contact, now, wall, actions);
        if (mayEndEarlierLives(contact)) {
            contact.earlierEndsProposed = true;
            for (const IncarnationNumber earlier : contact.earlierLives) {
                actions.propose.push_back(EndIncarnation{earlier});
            }
        }
        if (now >= contact.nextRunDue) {
            sendRunOrders(scheduler, state, contact, now, actions);
        }
        sendLook(scheduler, state, contact, now, actions);
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
        for (auto &[number, contact] : scheduler.contacts) {
            moveOffDraining(scheduler, state, contact, now);
            adaptPace(scheduler, contact, now);
        }
        refitInterference(scheduler.learnedModel.interference, now);
        if (now >= scheduler.nextKeep) {
            keepLearned(scheduler, state, now, actions);
        }
        // Workers become usable again with time alone.
        scheduler.placeDue = true;
    }
    for (WorkerContact *contact : contactsOfTick(scheduler, now)) {
        tickContact(scheduler, state, *contact, now, wall, actions);
    }
    if (scheduler.placeDue && now >= scheduler.nextPlacement) {
        scheduler.placeDue = false;
        scheduler.nextPlacement = now + Duration{static_cast<std::int64_t>(scheduler.contacts.size()) / WorkersPerPlacementMs};
        placeTasks(scheduler, state, now, wall, actions);
    }
    return actions;
}

} // namespace Filbertlanding
