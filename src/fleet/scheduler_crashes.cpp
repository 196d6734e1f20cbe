/** @file scheduler_crashes.cpp Detects crashes of workers that a task may have caused. */

#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns whether a run has been on its worker when the process ended; false if its order never arrived, or its end was listed before. */
    bool wasOnWorker(const WorkerSession &session, const RunView &run)
    {
        const bool wasSilentBefore = run.startSentAt && session.unresponsiveSince && *run.startSentAt > *session.unresponsiveSince;
        return run.phase != RunPhase::Proposed && run.mayHaveReachedWorker && !run.isEndProposed && !wasSilentBefore;
    }

    /**
     * Returns whether most of the other workers of a zone have fallen silent together with a session's worker. Then the zone has lost power, which no
     * task does.
     */
    bool isZoneOutage(const FleetScheduler &scheduler, const FleetState &state, const WorkerSession &crashed, TimePoint now)
    {
        constexpr std::size_t MinWorkers = 3; // Of fewer others, tasks may have crashed all.
        constexpr std::size_t MinSharePercent = 75;
        constexpr std::size_t Percent = 100;
        const SilenceStart silence = silenceStart(crashed, now);
        const auto fellSilentToo = [&silence](const SilenceStart &other) {
            return other.earliest <= silence.latest && silence.earliest <= other.latest;
        };
        const WorkerProfile &returning = state.incarnations.at(crashed.incarnation).profile;
        std::size_t others = 0;
        std::size_t affected = 0;
        for (const auto &[number, session] : scheduler.sessions) {
            const WorkerProfile &profile = state.incarnations.at(number).profile;
            if (session.isReplaced || profile.worker == returning.worker || profile.availabilityZone != returning.availabilityZone) {
                continue;
            }
            const bool isSilentToo = session.unresponsiveSince && fellSilentToo(silenceStart(session, now));
            const bool isAffected = isSilentToo || (session.predecessorSilence && fellSilentToo(*session.predecessorSilence));
            // An idle worker is not polled, so nothing is known of it.
            const bool isUnknown = !isAffected && session.lastResponse <= silence.latest;
            others += isUnknown ? 0 : 1;
            affected += isAffected ? 1 : 0;
        }
        return others >= MinWorkers && affected * Percent >= others * MinSharePercent;
    }

    bool hasStrongSuspect(const WorkerSession &session)
    {
        return std::any_of(session.runs.begin(), session.runs.end(), [](const auto &item) {
            return item.second.suspicion == CrashSuspicion::Strong;
        });
    }

    CrashedRun makeCrashedRun(const WorkerSession &session, const TaskRef &task, const RunView &run, TimePoint now)
    {
        constexpr Duration MaxTimeBeforeTakeover{30'000}; // A run that an earlier leader has started is unlikely to crash its worker that late.
        constexpr Duration FailureTime{200}; // The connections of a process that ends fail at once, those to a silent host after a longer timeout.
        CrashedRun crashed{.task = task, .run = run.run};
        const TimePoint failedAt = session.unresponsiveSince.value_or(now);
        const TimePoint startedAt = run.startSentAt.value_or(run.since);
        // A response to another order than a poll may be of a later incarnation with the same name.
        crashed.ranAtLeast = std::max(Duration{}, session.confirmedAt - startedAt);
        crashed.ranAtMost = std::max(crashed.ranAtLeast, failedAt - startedAt);
        if (!run.startSentAt) {
            crashed.ranAtMost = crashed.ranAtMost + MaxTimeBeforeTakeover;
        }
        crashed.isStartKnown = run.startSentAt && (run.phase == RunPhase::Started || crashed.ranAtMost < FailureTime);
        return crashed;
    }

} // namespace

CrashRate crashRate(FleetScheduler &scheduler, const WorkerSession &crashed, TimePoint now)
{
    constexpr Duration Period{30'000};
    constexpr Duration LatestPart{2'000};
    while (!scheduler.recentCrashes.empty() && now - scheduler.recentCrashes.front() > Period) {
        scheduler.recentCrashes.pop_front();
    }
    CrashRate rate{.crashes = scheduler.recentCrashes.size(), .period = Period, .latestPart = LatestPart};
    rate.latestCrashes =
        static_cast<std::size_t>(std::count_if(scheduler.recentCrashes.begin(), scheduler.recentCrashes.end(), [now, LatestPart](TimePoint at) {
            return now - at <= LatestPart;
        }));
    for (const auto &[number, session] : scheduler.sessions) {
        const bool isSilent = session.consecutiveOrderFailures > 0 && !session.isCrashProposed && number != crashed.incarnation;
        rate.crashes += isSilent ? 1 : 0;
        rate.latestCrashes += isSilent ? 1 : 0;
        rate.workers += session.isReplaced ? 0 : 1;
    }
    return rate;
}

void proposeCrash(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    if (session.isCrashProposed) {
        return;
    }
    session.isCrashProposed = true;
    const WorkerProfile &profile = state.incarnations.at(session.incarnation).profile;
    if (profile.isDraining || session.isShuttingDown) {
        return;
    }
    const CrashRate rate = crashRate(scheduler, session, now);
    scheduler.recentCrashes.push_back(now);
    if (areCrashesCommon(rate)) {
        return;
    }
    // Suspects that are tried at the same time may crash most workers of a small zone, so it is not taken for one without power.
    if (!hasStrongSuspect(session) && isZoneOutage(scheduler, state, session, now)) {
        return;
    }
    session.hasCrashed = true;
    RecordCrash crash{session.incarnation, std::move(session.expiredRuns), wall};
    for (const auto &[task, run] : session.runs) {
        if (wasOnWorker(session, run)) {
            crash.runs.push_back(makeCrashedRun(session, task, run, now));
        }
    }
    for (CrashedRun &run : crash.runs) {
        run.weight = run.isStartKnown ? crashWeight(rate, run.ranAtMost) : 0;
    }
    if (!crash.runs.empty()) {
        actions.propose.push_back(std::move(crash));
    }
}

void keepExpiredRun(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, const RunView &run, TimePoint now)
{
    constexpr Duration MaxHold{2'000}; // An accepted job must not stand still for longer while workers are free.
    if (!wasOnWorker(session, run)) {
        return;
    }
    session.expiredRuns.push_back(makeCrashedRun(session, task, run, now));
    if (run.suspicion == CrashSuspicion::Strong) {
        scheduler.heldSuspects[task] = now + MaxHold;
    }
}

void noteEarlyCrash(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session)
{
    constexpr Duration StartTime{50}; // Time from the order until the failure of the poll that waits on the worker.
    if (session.isEarlyCrashNoted || !session.unresponsiveSince) {
        return;
    }
    session.isEarlyCrashNoted = true;
    for (const auto &[task, run] : session.runs) {
        const bool hasJustStarted = run.startSentAt && *session.unresponsiveSince - *run.startSentAt < StartTime;
        if (wasOnWorker(session, run) && hasJustStarted) {
            const FleetJob &job = state.jobs.at(task.job);
            addQueueCrash(scheduler.queueRisks, {job.host, job.pathPrefix}, *session.unresponsiveSince);
        }
    }
}

RunOutcome lossOutcome(const WorkerSession &session, const RunView &run)
{
    return session.hasCrashed && wasOnWorker(session, run) ? RunOutcome::WorkerCrashed : RunOutcome::Lost;
}

} // namespace Filbertlanding
