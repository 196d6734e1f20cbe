/** @file worker_session.cpp Clock, lease and reserved resources of a worker's incarnation. */

#include "fleet/worker_session.h"

#include <algorithm>

namespace Filbertlanding {

std::uint64_t fenceOf(std::uint64_t term, const WorkerSession &session)
{
    // The orders of a leadership are numbered below 2^32. With terms below 2^21 the fence remains exact for workers that parse numbers as doubles.
    constexpr unsigned EpochBits = 32;
    return (term << EpochBits) + session.fenceEpoch;
}

SilenceStart silenceStart(const WorkerSession &session, TimePoint now)
{
    return {session.lastResponse, session.unresponsiveSince.value_or(now)};
}

bool isWatched(const RunView &run, TimePoint now)
{
    return run.suspicion != CrashSuspicion::None && now - run.since < run.watchTime;
}

std::optional<std::int64_t> minWorkerClock(const WorkerSession &session, TimePoint now)
{
    if (!session.clock) {
        return std::nullopt;
    }
    return session.clock->workerMs + (now - session.clock->at).ms * MinClockRatePercent / 100;
}

bool hasUnconfirmedStarts(const WorkerSession &session, TimePoint now)
{
    const bool isUnderWay = std::any_of(session.runs.begin(), session.runs.end(), [](const auto &item) {
        return item.second.phase == RunPhase::Ordered && item.second.isOrderPending;
    });
    return isUnderWay || std::any_of(session.unconfirmedStarts.begin(), session.unconfirmedStarts.end(), [now](const UnconfirmedStart &start) {
               return now < start.until;
           });
}

void addClockSample(WorkerSession &session, std::int64_t workerMs, TimePoint now)
{
    // Responses may be reordered, so the sample that gives the higher lower bound is kept.
    const auto least = minWorkerClock(session, now);
    if (!least || *least <= workerMs) {
        session.clock = {workerMs, now};
    }
}

std::optional<std::int64_t> leaseEndAfter(const WorkerSession &session, Duration lease, TimePoint now)
{
    const auto least = minWorkerClock(session, now);
    return least ? std::optional<std::int64_t>(*least + lease.ms) : std::nullopt;
}

TimePoint leaseExpiryBound(const WorkerSession &session)
{
    TimePoint end = session.previousLeasesEnd;
    if (session.clock && session.leaseEndMs > 0) {
        const std::int64_t left = std::max<std::int64_t>(0, session.leaseEndMs - session.clock->workerMs);
        end = std::max(end, session.clock->at + Duration{left * 100 / MinClockRatePercent});
    }
    return end + LeaseExpiryMargin;
}

void addOrphanRun(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now)
{
    const bool isKnown = std::any_of(session.orphanRuns.begin(), session.orphanRuns.end(), [&task, run](const OrphanRun &orphan) {
        return orphan.task == task && orphan.run == run;
    });
    if (!isKnown) {
        session.orphanRuns.push_back({task, run, false, now});
        session.nextRunOrderAt = now;
    }
}

void addUnconfirmedStart(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now)
{
    std::erase_if(session.unconfirmedStarts, [&task, run, now](const UnconfirmedStart &start) {
        return start.until <= now || (start.task == task && start.run == run);
    });
    session.unconfirmedStarts.push_back({task, run, now + MaxOrderDelay});
}

Resources usableCapacity(const WorkerSession &session, const Resources &committed)
{
    const Resources reported = session.reportedCapacity.value_or(committed);
    return {std::min(committed.cpuMillis, reported.cpuMillis),
            std::min(committed.memoryMb, reported.memoryMb),
            std::min(committed.accelerators, reported.accelerators)};
}

void addRun(WorkerSession &session, const TaskRef &task, RunView run)
{
    session.isCandidateStale = true;
    session.used = session.used + run.reserved;
    session.spareCpuRequested += run.spareCpuMillis;
    session.runsAtRisk += run.isQueueAtRisk ? 1 : 0;
    session.suspectRuns += run.suspicion == CrashSuspicion::None ? 0 : 1;
    session.runs[task] = std::move(run);
}

void removeRun(WorkerSession &session, const TaskRef &task)
{
    const auto found = session.runs.find(task);
    if (found == session.runs.end()) {
        return;
    }
    session.isCandidateStale = true;
    session.used = session.used - found->second.reserved;
    session.spareCpuRequested -= found->second.spareCpuMillis;
    session.runsAtRisk -= found->second.isQueueAtRisk ? 1 : 0;
    session.suspectRuns -= found->second.suspicion == CrashSuspicion::None ? 0 : 1;
    session.runs.erase(found);
}

} // namespace Filbertlanding
