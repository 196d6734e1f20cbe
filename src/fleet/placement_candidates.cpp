/** @file placement_candidates.cpp The workers among which a placement pass chooses. */

#include "fleet/placement_candidates.h"

#include "fleet/capacity_hold.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <map>

namespace Filbertlanding {

namespace {

    /** Recomputes a placement candidate from its worker's session. */
    void refreshCandidate(PlacementCandidate &candidate,
                          const WorkerIncarnation &incarnation,
                          const WorkerSession &session,
                          const SlopeTable &slopes,
                          const PairInterference &interference)
    {
        candidate = PlacementCandidate();
        candidate.incarnation = incarnation.number;
        candidate.service = incarnation.profile.service;
        candidate.availabilityZone = incarnation.profile.availabilityZone;
        candidate.rack = incarnation.profile.rack;
        candidate.labels = &incarnation.profile.labels;
        candidate.capacity = usableCapacity(session, incarnation.profile.capacity);
        candidate.used = session.used;
        candidate.spareCpuRequested = session.spareCpuRequested;
        candidate.consecutiveFailures = session.consecutiveFailures;
        candidate.runs = session.runs.size();
        candidate.runsAtRisk = session.runsAtRisk;
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        for (const auto &[task, run] : session.runs) {
            if (run.usesSpareCapacity) {
                candidate.spareCpuShares[run.image] += static_cast<double>(run.spareCpuMillis) / capacity;
            }
            if (!run.isLongRunning) {
                continue;
            }
            candidate.longRunningCpu += run.reserved.cpuMillis;
            if (run.latencyTarget.ms > 0) {
                LatencySensitiveTasks &tasks = candidate.latencySensitiveTasks[run.image];
                ++tasks.count;
                tasks.cpuMillis += run.reserved.cpuMillis;
                tasks.slopes = &slopesOf(slopes, run.image);
                tasks.highestTailRatio = std::max(tasks.highestTailRatio, static_cast<double>(run.measurement) / static_cast<double>(run.latencyTarget.ms));
            }
        }
        updateExpectedTails(candidate, interference);
        updateSensitivity(candidate, slopes);
    }

    /** Refreshes what depends on the time, and on runs that are watched only for a while. */
    void refreshAvoidance(PlacementCandidate &candidate, const WorkerSession &session, TimePoint now)
    {
        candidate.isAvoided = now < session.avoidedUntil;
        candidate.isIsolated = false;
        candidate.isPreferredForSuspects = now < session.reservedUntil;
        candidate.isReservedForSuspects = candidate.isPreferredForSuspects && session.isReservationStrict;
        candidate.isSecondChoice = false;
        candidate.watchedSuspects = 0;
        if (session.suspectRuns == 0) {
            return;
        }
        for (const auto &[task, run] : session.runs) {
            if (isWatched(run, now)) {
                ++candidate.watchedSuspects;
                candidate.isIsolated = candidate.isIsolated || now - run.since < run.isolationTime;
                candidate.isSecondChoice = candidate.isSecondChoice || run.suspicion == CrashSuspicion::Strong;
            }
        }
        candidate.isAvoided = candidate.isAvoided || candidate.isIsolated;
    }

    /** Updates the slope table after a new fit. All candidates depend on it and are dropped. */
    void refreshSlopes(FleetScheduler &scheduler)
    {
        if (scheduler.slopes != nullptr && scheduler.slopes->fittedAt == scheduler.learnedModel.interference.fittedAt) {
            return;
        }
        scheduler.slopes = std::make_shared<const SlopeTable>(makeSlopeTable(scheduler.learnedModel.interference));
        scheduler.candidates.clear();
    }

} // namespace

std::vector<PlacementCandidate *> usableWorkers(FleetScheduler &scheduler, const FleetState &state, TimePoint now)
{
    refreshSlopes(scheduler);
    std::vector<PlacementCandidate *> candidates;
    candidates.reserve(scheduler.sessions.size());
    for (auto &[number, session] : scheduler.sessions) {
        if (!isUsable(state, session, now)) {
            continue;
        }
        const auto [candidate, isNew] = scheduler.candidates.try_emplace(number);
        if (isNew || session.isCandidateStale) {
            refreshCandidate(candidate->second, state.incarnations.at(number), session, *scheduler.slopes, scheduler.learnedModel.interference);
            session.isCandidateStale = false;
        }
        refreshAvoidance(candidate->second, session, now);
        candidates.push_back(&candidate->second);
    }
    refreshHolds(scheduler, state, candidates, now);
    return candidates;
}

Resources largerOf(const Resources &left, const Resources &right)
{
    return {std::max(left.cpuMillis, right.cpuMillis), std::max(left.memoryMb, right.memoryMb), std::max(left.accelerators, right.accelerators)};
}

LargestWorkers findLargestWorkers(const std::vector<PlacementCandidate *> &candidates)
{
    LargestWorkers result;
    for (const PlacementCandidate *candidate : candidates) {
        LargestWorker &largest = result[candidate->service];
        largest.capacity = largerOf(largest.capacity, candidate->capacity);
        const Resources free = candidate->capacity - candidate->used;
        largest.free = largerOf(largest.free, free);
        largest.freeOnSlow = candidate->isAvoided && !candidate->isIsolated ? largerOf(largest.freeOnSlow, free) : largest.freeOnSlow;
    }
    return result;
}

Resources totalCapacity(const std::vector<PlacementCandidate *> &candidates)
{
    Resources total;
    for (const PlacementCandidate *candidate : candidates) {
        total = total + candidate->capacity;
    }
    return total;
}

std::set<ServiceName> findIdleServices(const std::vector<PlacementCandidate *> &candidates)
{
    std::map<ServiceName, std::int64_t> unreserved; ///< Unreserved CPU less half of the capacity.
    for (const PlacementCandidate *candidate : candidates) {
        unreserved[candidate->service] += candidate->capacity.cpuMillis / 2 - candidate->used.cpuMillis;
    }
    std::set<ServiceName> idle;
    for (const auto &[service, cpuMillis] : unreserved) {
        if (cpuMillis > 0) {
            idle.insert(service);
        }
    }
    return idle;
}

} // namespace Filbertlanding
