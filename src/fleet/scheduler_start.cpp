/** @file scheduler_start.cpp Start of a leadership: the scheduler takes over the incarnations, jobs and runs of the replicated state. */

#include "fleet/scheduler_detail.h"

namespace Filbertlanding {

namespace {

    /** Adds a session for each incarnation that has not ended. */
    void addSessions(FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        for (const auto &[number, incarnation] : state.incarnations) {
            if (incarnation.hasEnded) {
                continue;
            }
            WorkerSession &session = scheduler.sessions[number];
            session.incarnation = number;
            session.fenceEpoch = scheduler.lastOrder;
            session.previousLeasesEnd = now + maxLeaseOnLocalClock(scheduler.settings.taskLease);
        }
    }

    /**
     * Returns whether the start of a run is so recent that the earlier leader may have sent it to the next process under the worker's name, which it did
     * not know yet. Within a longest lease it has seen the run listed, or has ended it.
     */
    bool isStartRecent(const SchedulerSettings &settings, const ActiveRun &active, TimePoint now)
    {
        return active.startAppliedAt.ms == 0 || now - active.startAppliedAt < maxLeaseOnLocalClock(settings.longestLease);
    }

    /** Returns the view of a run that the replicated state contains. */
    RunView viewOfActiveRun(const SchedulerSettings &settings,
                            const FleetState &state,
                            const FleetJob &job,
                            const TaskRef &ref,
                            const TaskRecord &task,
                            const ActiveRun &active,
                            TimePoint now)
    {
        const StepSpec &step = job.spec.steps[ref.step];
        RunView view = makeRunView(step, active.run, RunPhase::Started, now);
        view.mayHaveReachedWorker = true;
        view.takenOverAt = isStartRecent(settings, active, now) ? std::optional<TimePoint>(now) : std::nullopt;
        view.isDataRemote = isDataRemote(step, state.incarnations.at(active.incarnation).profile.rack);
        view.isStopRequested = task.isDone || hasEnded(job.state);
        view.checkpoint = task.checkpoint;
        view.suspicion = suspicionOf(task.crashHistory);
        view.watchTime = watchTimeOf(task.crashHistory);
        view.isolationTime = isolationTimeOf(task.crashHistory);
        return view;
    }

    /** Adds the active runs of a job to the sessions. */
    void takeOverRuns(FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, TimePoint now)
    {
        forEachTask(job, [&scheduler, &state, &job, now](const TaskRef &ref, const TaskRecord &task) {
            for (const ActiveRun &active : task.active) {
                const auto session = scheduler.sessions.find(active.incarnation);
                if (session != scheduler.sessions.end()) {
                    addRun(session->second, ref, viewOfActiveRun(scheduler.settings, state, job, ref, task, active, now));
                }
            }
        });
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

    /** Lets the latest incarnations stop the runs of earlier ones, whose start orders may have reached the process that has taken over the name. */
    void addRunsOfEarlierIncarnations(FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        for (auto &[number, session] : scheduler.sessions) {
            for (const IncarnationNumber earlier : session.earlierIncarnations) {
                for (const auto &[task, run] : scheduler.sessions.at(earlier).runs) {
                    addOrphanRun(session, taskName(state.jobs.at(task.job), task), run.run, now);
                }
            }
        }
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
    scheduler.retentionCountedUntil = now;
    addSessions(scheduler, state, now);
    linkReplacedIncarnations(scheduler, state);
    for (const auto &[number, job] : state.jobs) {
        takeOverRuns(scheduler, state, job, now);
        if (!hasEnded(job.state)) {
            addJob(scheduler, job, now, wall).openedOccurrences = countOpenedOccurrences(job);
        }
    }
    addRunsOfEarlierIncarnations(scheduler, state, now);
    return scheduler;
}

} // namespace Filbertlanding
