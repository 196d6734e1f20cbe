/** @file capacity_hold.cpp Chooses the workers that are held for large requests, and ends the holds. */

#include "fleet/capacity_hold.h"

#include "fleet/account_standing.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration MaxHoldTime{10'000}; ///< A worker is held only if the request should fit within this time, since it is partly idle meanwhile.
    constexpr Duration HoldOverrun{1'000}; ///< Time after the forecast of a new hold at which it ends even if the short tasks have not.
    constexpr std::size_t MaxHeldPercent = 25; ///< Share of the workers of a service that may be held at the same time; the others serve short jobs.

    /** A run that ends by itself, with the capacity that it releases. */
    struct Release {
        Duration after;
        Resources amount;
    };

    /** Returns the expected time until a run ends. One that takes longer than expected is assumed to go on for a part of the time that it has taken. */
    Duration remainingTime(const SchedulerSettings &settings, const RunView &run, TimePoint now)
    {
        constexpr Duration LeastRemaining{100};
        constexpr std::int64_t OverrunDivisor = 4;
        if (run.isStopRequested) {
            return settings.stopTimeout;
        }
        const Duration elapsed = now - run.since;
        return std::max({run.expectedTime - elapsed, elapsed / OverrunDivisor, LeastRemaining});
    }

    /** Returns the most workers of a service that may be held at the same time. */
    std::size_t maxHeldWorkers(const std::vector<PlacementCandidate *> &candidates, const ServiceName &service)
    {
        const auto workers = std::count_if(candidates.begin(), candidates.end(), [&service](const PlacementCandidate *candidate) {
            return candidate->service == service;
        });
        return std::max<std::size_t>(1, static_cast<std::size_t>(workers) * MaxHeldPercent / 100);
    }

    std::size_t countHeldWorkers(const std::vector<PlacementCandidate *> &candidates, const ServiceName &service)
    {
        return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&service](const PlacementCandidate *candidate) {
            return candidate->service == service && candidate->held;
        }));
    }

    /** Returns whether a step still waits for as many tasks as workers are held for it, and the limit of its account lets them start. */
    bool isHoldNeeded(const FleetScheduler &scheduler, const FleetState &state, const StepRef &step)
    {
        const auto job = scheduler.jobs.contains(step.job) ? state.jobs.find(step.job) : state.jobs.end();
        const std::uint32_t holds = countHolds(scheduler, step);
        return job != state.jobs.end() && countPendingTasks(scheduler, job->second, step.occurrence, step.step) >= holds
            && mayStartStep(scheduler, state, job->second, step.step, holds - 1);
    }

} // namespace

std::optional<RoomForecast>
forecastRoom(const SchedulerSettings &settings, const WorkerSession &session, const Resources &capacity, const Resources &request, TimePoint now)
{
    std::vector<Release> releases;
    for (const auto &[task, run] : session.runs) {
        if (!run.isLongRunning || run.isStopRequested) {
            releases.push_back({remainingTime(settings, run, now), run.reserved});
        }
    }
    std::sort(releases.begin(), releases.end(), [](const Release &left, const Release &right) {
        return left.after < right.after;
    });
    Resources free = capacity - session.used;
    Duration after;
    auto next = releases.begin();
    while (!fitsInto(request, free)) {
        if (next == releases.end()) {
            return std::nullopt;
        }
        free = free + next->amount;
        after = next->after;
        ++next;
    }
    return RoomForecast{now + after, free - request};
}

std::uint32_t countHolds(const FleetScheduler &scheduler, const StepRef &step)
{
    return static_cast<std::uint32_t>(std::count_if(scheduler.capacityHolds.begin(), scheduler.capacityHolds.end(), [&step](const auto &item) {
        return item.second.step == step;
    }));
}

void refreshHolds(FleetScheduler &scheduler, const FleetState &state, const std::vector<PlacementCandidate *> &candidates, TimePoint now)
{
    std::map<IncarnationNumber, CapacityHold> kept;
    for (PlacementCandidate *candidate : candidates) {
        candidate->held.reset();
        const auto found = scheduler.capacityHolds.find(candidate->incarnation);
        if (found == scheduler.capacityHolds.end()) {
            continue;
        }
        const CapacityHold &hold = found->second;
        const WorkerSession &session = scheduler.sessions.at(candidate->incarnation);
        const auto forecast = forecastRoom(scheduler.settings, session, candidate->capacity, hold.request, now);
        if (now < hold.until && forecast && isHoldNeeded(scheduler, state, hold.step)) {
            candidate->held = HeldCapacity{hold.step, forecast->readyAt, forecast->beyond};
            kept.insert(*found);
        } else {
            scheduler.capacityHolds.erase(found);
        }
    }
    scheduler.capacityHolds = std::move(kept);
}

bool holdWorker(FleetScheduler &scheduler, const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates, TimePoint now)
{
    if (countHeldWorkers(candidates, query.service) >= maxHeldWorkers(candidates, query.service)) {
        return false;
    }
    const Resources request = reservedBy(query.step);
    PlacementCandidate *best = nullptr;
    RoomForecast bestForecast;
    for (PlacementCandidate *candidate : candidates) {
        const bool isTooSmall = candidate->capacity.cpuMillis - candidate->longRunningCpu < request.cpuMillis;
        if (candidate->held || isTooSmall || !isAllowed(query, *candidate)) {
            continue;
        }
        const auto forecast = forecastRoom(scheduler.settings, scheduler.sessions.at(candidate->incarnation), candidate->capacity, request, now);
        if (forecast && forecast->readyAt - now <= MaxHoldTime && (best == nullptr || forecast->readyAt < bestForecast.readyAt)) {
            best = candidate;
            bestForecast = *forecast;
        }
    }
    if (best == nullptr) {
        return false;
    }
    best->held = HeldCapacity{query.stepRef, bestForecast.readyAt, bestForecast.beyond};
    scheduler.capacityHolds[best->incarnation] = {query.stepRef, request, bestForecast.readyAt + HoldOverrun};
    return true;
}

} // namespace Filbertlanding
