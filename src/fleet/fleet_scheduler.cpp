/** @file fleet_scheduler.cpp Reports of workers, and the periodic work of the scheduler. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

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

namespace {

    constexpr std::size_t MaxSavedModelBytes = 262'144; ///< A larger model is not saved to the log, and the next leader learns it from scratch.
    constexpr Duration SweepInterval{100}; ///< Interval of the sweep for draining workers and speed limits.
    constexpr std::int64_t WorkersPerPlacementMs = 100; ///< A placement pass visits all workers, so on a large fleet events of several ms share one pass.
    constexpr Duration FullTickInterval{20}; ///< Maximum delay of orders that become due without an event; processing all sessions for
                                             ///< each response would be too expensive.

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

    /** Proposes to count the time since the previous advance for the retention of ended jobs. */
    void proposeRetentionClock(FleetScheduler &scheduler, const FleetState &state, TimePoint now, SchedulerActions &actions)
    {
        const Duration elapsed = now - scheduler.retentionCountedUntil;
        scheduler.retentionCountedUntil = now;
        if (needsRetentionClock(state)) {
            actions.propose.push_back(AdvanceRetentionClock{elapsed});
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
            withdrawStartsOverCapacity(state, session, now, wall, actions);
            sendRunOrders(scheduler, state, session, now, actions);
        }
        sendPoll(scheduler, state, session, now, actions);
    }

    /**
     * Makes a placement pass if one is due. While the log is full its starts would only wait for the log, so the pass is postponed until the next entry can
     * be proposed, and then examines as much as those that it replaces.
     */
    void placeIfDue(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions)
    {
        const bool isDue = scheduler.isPlacementDue && now >= scheduler.nextPlacement;
        const bool isPostponed = scheduler.postponedPasses > 0;
        if (!isDue && (!isPostponed || scheduler.isLogFull)) {
            return;
        }
        scheduler.nextPlacement = now + Duration{static_cast<std::int64_t>(scheduler.sessions.size()) / WorkersPerPlacementMs};
        if (scheduler.isLogFull) {
            ++scheduler.postponedPasses;
            return;
        }
        scheduler.isPlacementDue = false;
        placeTasks(scheduler, state, now, wall, actions);
        scheduler.postponedPasses = 0;
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
        if (now - scheduler.retentionCountedUntil >= RetentionClockInterval) {
            proposeRetentionClock(scheduler, state, now, actions);
        }
        // Workers may become usable again just because time has passed.
        scheduler.isPlacementDue = true;
    }
    for (WorkerSession *session : sessionsToTick(scheduler, now)) {
        tickSession(scheduler, state, *session, now, wall, actions);
    }
    placeIfDue(scheduler, state, now, wall, actions);
    return actions;
}

} // namespace Filbertlanding
