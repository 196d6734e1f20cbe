/** @file job_shard_evict.cpp Throttling and evictions in favour of requests, for urgent tasks, and for drains. */

#include "job/job_shard_detail.h"
#include "job/place_func.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding::ShardDetail {

namespace {

    bool isEvictable(const ShardTask &task)
    {
        return !task.stopRequested && (task.state == AttemptState::Running || task.state == AttemptState::Throttled);
    }

    /** Returns the load that the end of a task would remove from its worker, in the most overloaded resource. */
    double loadReductionOf(const JobShard &shard, const ShardTask &task, const WorkerPressure &pressure)
    {
        const ShardWorker &worker = shard.workers[task.worker];
        const Resources use = task.used == Resources{} ? task.charge : task.used;
        const double cpu = static_cast<double>(use.cpuMillis) / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
        if (pressure.memory > pressure.cpu && pressure.memory > pressure.latency) {
            return static_cast<double>(use.memoryMb) / static_cast<double>(std::max<std::int64_t>(worker.capacity.memoryMb, 1));
        }
        if (pressure.cpu >= pressure.latency) {
            return cpu;
        }
        double slowdown = 0;
        for (const auto &[service, load] : shard.candidates[task.worker].services) {
            slowdown += expectedSlowdown(shard.interference, service, task.jobClass);
        }
        return cpu * (slowdown + 0.01);
    }

    Victim makeVictim(const ShardTask &task, double loadReduction, TimePoint now)
    {
        Victim victim;
        victim.evictions = task.evictions;
        victim.urgent = task.urgent;
        victim.isReported = task.isReported;
        victim.startedAt = task.startedAt;
        victim.workLost = now - task.startedAt;
        victim.loadReduction = loadReduction;
        return victim;
    }

    WorkerPressure pressureOf(const JobShard &shard, std::uint32_t index)
    {
        const ShardWorker &worker = shard.workers[index];
        Resources used = worker.requestUse;
        for (const ShardTask *task : worker.tasks) {
            used = used + task->used;
        }
        WorkerPressure pressure;
        pressure.latency = worker.measuredSlowdown / slowdownLimit(shard.settings.place);
        pressure.cpu = static_cast<double>(used.cpuMillis) / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
        pressure.memory = static_cast<double>(used.memoryMb) / static_cast<double>(std::max<std::int64_t>(worker.capacity.memoryMb, 1));
        return pressure;
    }

    void throttleOne(JobShard &shard, std::uint32_t index, const WorkerPressure &pressure, TimePoint now)
    {
        std::vector<ShardTask *> tasks;
        std::vector<Victim> victims;
        for (ShardTask *task : shard.workers[index].tasks) {
            if (task->state == AttemptState::Running && !task->stopRequested) {
                tasks.push_back(task);
                victims.push_back(makeVictim(*task, loadReductionOf(shard, *task, pressure), now));
            }
        }
        const std::int32_t chosen = chooseThrottleTarget(victims);
        if (chosen < 0) {
            return;
        }
        applyAttemptEvent(*tasks[static_cast<std::size_t>(chosen)], AttemptEvent::ThrottleRequested);
        recordThrottleStep(shard.workers[index].throttle, now);
    }

    void evictOne(JobShard &shard, std::uint32_t index, const WorkerPressure &pressure, TimePoint now)
    {
        std::vector<ShardTask *> tasks;
        std::vector<Victim> victims;
        for (ShardTask *task : shard.workers[index].tasks) {
            if (isEvictable(*task) && hasEvictionBudget(shard.budget, task->service, now)) {
                tasks.push_back(task);
                victims.push_back(makeVictim(*task, loadReductionOf(shard, *task, pressure), now));
            }
        }
        const std::int32_t chosen = chooseVictim(victims, shard.settings.evict, now);
        if (chosen < 0) {
            return;
        }
        ShardTask &task = *tasks[static_cast<std::size_t>(chosen)];
        recordEviction(shard.budget, task.service, now);
        requestEviction(shard, task, EvictReason::Interference);
        recordThrottleStep(shard.workers[index].throttle, now);
    }

    void unthrottleOne(JobShard &shard, std::uint32_t index, TimePoint now)
    {
        for (ShardTask *task : shard.workers[index].tasks) {
            if (task->state == AttemptState::Throttled) {
                applyAttemptEvent(*task, AttemptEvent::UnthrottleRequested);
                recordThrottleStep(shard.workers[index].throttle, now);
                return;
            }
        }
    }

    /** Tasks of a worker that must be evicted for an urgent task. */
    struct Preemption {
        std::vector<ShardTask *> tasks; ///< Tasks to evict, cheapest first.
        double cost = 0; ///< Lost work; the cost of a task doubles with each earlier eviction.
        bool isSufficient = false; ///< Whether the urgent task fits after the evictions.
    };

    double evictionCostOf(const ShardTask &task, TimePoint now)
    {
        constexpr double FixedEvictionCostMs = 2000;
        return (static_cast<double>((now - task.startedAt).ms) + FixedEvictionCostMs) * std::exp2(std::min(task.evictions, 6U));
    }

    Preemption preemptionOn(const JobShard &shard, std::uint32_t index, const Resources &size, TimePoint now)
    {
        Preemption result;
        std::vector<ShardTask *> victims;
        for (ShardTask *task : shard.workers[index].tasks) {
            if (isEvictable(*task) && mayEvict(makeVictim(*task, 1.0, now), shard.settings.evict, now)) {
                victims.push_back(task);
            }
        }
        std::sort(victims.begin(), victims.end(), [now](const ShardTask *left, const ShardTask *right) {
            return evictionCostOf(*left, now) < evictionCostOf(*right, now);
        });
        Resources available = shard.candidates[index].capacity - shard.candidates[index].used;
        result.isSufficient = fitsInto(size, available);
        for (ShardTask *task : victims) {
            if (result.isSufficient) {
                break;
            }
            result.tasks.push_back(task);
            result.cost += evictionCostOf(*task, now);
            available = available + task->charge;
            result.isSufficient = fitsInto(size, available);
        }
        // On an empty worker, fittingSize() reduces a size that exceeds the capacity.
        result.isSufficient |= result.tasks.size() == shard.workers[index].tasks.size();
        return result;
    }

    void evictForDrain(JobShard &shard, ShardWorker &worker, ZoneDrain *zone, TimePoint since, Duration limit, TimePoint now)
    {
        const bool forced = now - since >= limit;
        const std::vector<ShardTask *> tasks = worker.tasks;
        for (ShardTask *task : tasks) {
            const bool starting = task->state == AttemptState::Starting;
            if (!starting && !isEvictable(*task)) {
                continue;
            }
            const bool hasSpare = zone == nullptr || zone->spareCpuMillis >= task->charge.cpuMillis;
            if (!forced && !starting && (!hasSpare || !hasEvictionBudget(shard.budget, task->service, now))) {
                continue;
            }
            if (zone != nullptr) {
                zone->spareCpuMillis = std::max<std::int64_t>(zone->spareCpuMillis - task->charge.cpuMillis, 0);
            }
            recordEviction(shard.budget, task->service, now);
            requestEviction(shard, *task, EvictReason::Drain);
        }
    }

} // namespace

void requestEviction(JobShard &shard, ShardTask &task, EvictReason reason)
{
    applyAttemptEvent(task, AttemptEvent::CheckpointRequested);
    task.reason = reason;
    if (reason == EvictReason::Interference || reason == EvictReason::Urgent) {
        ++shard.evictions[task.job];
    }
    shard.actions.polls.push_back(shard.workers[task.worker].name);
}

void controlPressure(JobShard &shard, std::uint32_t index, TimePoint now)
{
    if (!shard.settings.controlPressure || shard.workers[index].tasks.empty()) {
        shard.workers[index].throttle = {};
        return;
    }
    std::uint32_t throttled = 0;
    bool hasRunning = false;
    for (const ShardTask *task : shard.workers[index].tasks) {
        throttled += task->state == AttemptState::Throttled ? 1 : 0;
        hasRunning |= task->state == AttemptState::Running && !task->urgent;
    }
    const WorkerPressure pressure = pressureOf(shard, index);
    const bool canThrottle = hasRunning && throttled < shard.settings.maxThrottled;
    switch (nextThrottleAction(shard.workers[index].throttle, pressure, throttled > 0, canThrottle, shard.settings.throttle, now)) {
    case ThrottleAction::Throttle:
        throttleOne(shard, index, pressure, now);
        break;
    case ThrottleAction::Evict:
        evictOne(shard, index, pressure, now);
        break;
    case ThrottleAction::Unthrottle:
        unthrottleOne(shard, index, now);
        break;
    case ThrottleAction::None:
        break;
    }
}

void preemptFor(JobShard &shard, ShardJob &job, const Resources &size, TimePoint now)
{
    Preemption best;
    for (std::uint32_t i = 0; i < shard.workers.size(); ++i) {
        const std::uint8_t excluded = shard.candidates[i].excluded;
        const bool hasPressure = excluded == static_cast<std::uint8_t>(ExcludeReason::Pressure) + 1;
        if ((excluded != 0 && !hasPressure) || !fitsInto(job.assigned.spec.declared, shard.candidates[i].capacity)) {
            continue;
        }
        Preemption option = preemptionOn(shard, i, size, now);
        if (option.isSufficient && (!best.isSufficient || option.cost < best.cost)) {
            best = std::move(option);
        }
    }
    for (ShardTask *task : best.tasks) {
        requestEviction(shard, *task, EvictReason::Urgent);
    }
}

void drainTasks(JobShard &shard, TimePoint now)
{
    for (ShardWorker &worker : shard.workers) {
        // Tasks of a worker that is no longer owned end when their leases expire.
        if (worker.tasks.empty() || now >= worker.ownedUntil) {
            continue;
        }
        const auto zone = shard.zones.find(worker.zone);
        if (zone != shard.zones.end() && zone->second.drained) {
            evictForDrain(shard, worker, &zone->second, zone->second.since, zone->second.limit, now);
        } else if (worker.leaving) {
            constexpr Duration LeavingLimit{30'000}; // A leaving worker waits for its tasks for at most one running lease.
            evictForDrain(shard, worker, nullptr, worker.leavingSince, LeavingLimit, now);
        }
    }
}

} // namespace Filbertlanding::ShardDetail
