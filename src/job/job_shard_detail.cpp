/** @file job_shard_detail.cpp Bookkeeping of workers and attempts, shared by the source files of the shard. */

#include "job/job_shard_detail.h"

#include "job/place_func.h"

#include <algorithm>
#include <charconv>

namespace Filbertlanding::ShardDetail {

namespace {

    /** Limit on remembered ends. With 155 ends per second and a report interval of 5 s, 1,600 would be sufficient. */
    constexpr std::size_t MaxClosedAttempts = 16384;

    void adjustTaskCounts(JobShard &shard, const ShardTask &task, std::int64_t sign)
    {
        PlaceCandidate &candidate = shard.candidates[task.worker];
        const auto step = static_cast<std::uint32_t>(sign);
        shard.rackTasks[candidate.rack] += step;
        shard.totalTasks += step;
        shard.queue.teams[task.team].runningCpuMillis += sign * task.teamCharge;
    }

    std::int64_t rampedPart(std::int64_t amount, std::int64_t elapsed, std::int64_t ramp)
    {
        return elapsed >= ramp ? amount : amount * std::max<std::int64_t>(elapsed, 0) / ramp;
    }

    Resources rampedCapacity(const JobShard &shard, const ShardWorker &worker, TimePoint now)
    {
        const auto zone = shard.zones.find(worker.zone);
        if (zone == shard.zones.end() || zone->second.drained) {
            return worker.capacity;
        }
        const std::int64_t elapsed = (now - zone->second.returnedAt).ms;
        const std::int64_t ramp = shard.settings.rampAfterReturn.ms;
        // Accelerators cannot be ramped fractionally; the ramps of processors and memory limit such tasks.
        return {rampedPart(worker.capacity.cpuMillis, elapsed, ramp), rampedPart(worker.capacity.memoryMb, elapsed, ramp), worker.capacity.accelerators};
    }

    ExcludeReason exclusionOf(const JobShard &shard, std::uint32_t index, TimePoint now)
    {
        const ShardWorker &worker = shard.workers[index];
        if (now >= worker.ownedUntil || !worker.foreignTasks.empty()) {
            return ExcludeReason::NotOwned;
        }
        if (worker.leaving || isZoneDrained(shard, worker.zone)) {
            return ExcludeReason::Drained;
        }
        const bool inBackoff = index < shard.failures.workers.size() && now < shard.failures.workers[index].backoffUntil;
        const std::uint32_t allowed = isSuspectWorker(shard.failures, index) ? std::min(worker.allowedTasks, 1U) : worker.allowedTasks;
        if (inBackoff || worker.tasks.size() >= allowed) {
            return ExcludeReason::Quarantined;
        }
        if (worker.throttle.consecutiveOver > 0 || worker.throttle.settling) {
            return ExcludeReason::Pressure;
        }
        return ExcludeReason::Count;
    }

} // namespace

WireId parseWireId(const std::string &id)
{
    const std::size_t at = id.rfind('@');
    const std::size_t hash = at == std::string::npos ? at : id.rfind('#', at);
    if (hash == std::string::npos) {
        return {id, 0, false};
    }
    std::uint32_t task = 0;
    const auto [end, error] = std::from_chars(id.data() + hash + 1, id.data() + at, task);
    if (error != std::errc{} || end != id.data() + at) {
        return {id, 0, false};
    }
    return {id.substr(0, hash), task, true};
}

JobId failureId(const ShardTask &task)
{
    return task.isMultiTask ? task.job + "#" + std::to_string(task.task) : task.job;
}

std::uint32_t internWorker(JobShard &shard, const WorkerName &name)
{
    const auto [position, added] = shard.workerIndex.try_emplace(name, static_cast<std::uint32_t>(shard.workers.size()));
    if (added) {
        shard.workers.emplace_back().name = name;
        shard.candidates.emplace_back().excluded = static_cast<std::uint8_t>(ExcludeReason::NotOwned) + 1;
    }
    return position->second;
}

bool isZoneDrained(const JobShard &shard, const ZoneName &zone)
{
    const auto found = shard.zones.find(zone);
    return found != shard.zones.end() && found->second.drained;
}

bool mayStart(const JobShard &shard, const ShardWorker &worker, TimePoint now)
{
    if (now >= shard.freshUntil || now >= shard.runningUntil || now >= worker.ownedUntil) {
        return false;
    }
    return !worker.leaving && worker.allowedTasks > 0 && worker.foreignTasks.empty() && !isZoneDrained(shard, worker.zone);
}

void applyAttemptEvent(ShardTask &task, AttemptEvent event)
{
    task.state = nextAttemptState(task.state, event);
}

void updateExclusion(JobShard &shard, std::uint32_t worker, TimePoint now)
{
    const ExcludeReason reason = exclusionOf(shard, worker, now);
    shard.candidates[worker].excluded = reason == ExcludeReason::Count ? 0 : static_cast<std::uint8_t>(reason) + 1;
}

void updateCandidate(JobShard &shard, std::uint32_t worker, TimePoint now)
{
    const ShardWorker &record = shard.workers[worker];
    PlaceCandidate &candidate = shard.candidates[worker];
    candidate.capacity = rampedCapacity(shard, record, now);
    candidate.used = record.requestUse;
    candidate.declared = {};
    candidate.tasks = static_cast<std::uint32_t>(record.tasks.size());
    candidate.slowdown = 0;
    const auto cpu = static_cast<double>(std::max<std::int64_t>(record.capacity.cpuMillis, 1));
    for (const ShardTask *task : record.tasks) {
        candidate.used = candidate.used + task->charge;
        candidate.declared = candidate.declared + task->declared;
        for (const auto &[service, load] : candidate.services) {
            const double share = static_cast<double>(task->charge.cpuMillis) / cpu;
            candidate.slowdown += expectedSlowdown(shard.interference, service, task->jobClass) * share * (0.2 + 0.8 * load);
        }
    }
}

ShardTask &addTask(JobShard &shard, const ShardJob &job, std::uint32_t number, TaskKey key, std::uint32_t worker, const Resources &charge)
{
    auto task = std::make_unique<ShardTask>();
    task->key = std::move(key);
    task->job = job.assigned.job;
    task->task = number;
    task->worker = worker;
    task->workerIncarnation = shard.workers[worker].incarnation;
    task->urgent = job.assigned.spec.urgent;
    task->isMultiTask = job.assigned.spec.taskCount > 1;
    task->service = job.service;
    task->jobClass = job.jobClass;
    task->team = job.team;
    task->declared = job.assigned.spec.declared;
    task->charge = charge;
    task->teamCharge = charge.cpuMillis;
    const auto evicted = shard.evictions.find(task->job);
    task->evictions = std::max(job.assigned.evictions, evicted == shard.evictions.end() ? 0U : evicted->second);
    const auto checkpoint = job.checkpoints.find(number);
    task->checkpoint = checkpoint == job.checkpoints.end() ? job.assigned.checkpoint : checkpoint->second;
    ShardTask &added = *task;
    shard.workers[worker].tasks.push_back(&added);
    adjustTaskCounts(shard, added, 1);
    shard.tasks[added.key] = std::move(task);
    return added;
}

void detachTask(JobShard &shard, ShardTask &task, TimePoint now)
{
    if (std::erase(shard.workers[task.worker].tasks, &task) == 0) {
        return;
    }
    adjustTaskCounts(shard, task, -1);
    updateCandidate(shard, task.worker, now);
    shard.placementDue = true;
}

ShardTask *adoptTask(JobShard &shard, std::uint32_t worker, const TaskKey &key, TimePoint now)
{
    const WireId id = parseWireId(key.id);
    ShardJob *job = findJob(shard, id.job, key.epoch);
    if (job == nullptr || !job->isRecovering || job->evictProposed) {
        return nullptr;
    }
    const SizeEstimate &estimate = shard.sizes[job->jobClass];
    const Resources size = learnedSize(estimate, job->assigned.spec.declared, shard.settings.size);
    ShardTask &task = addTask(shard, *job, id.task, key, worker, size);
    job->adopted.insert(id.task);
    applyAttemptEvent(task, AttemptEvent::CommandSent);
    task.startedAt = now;
    // A lease granted before the restart may be valid until then.
    task.leaseEnd = std::max(shard.recoveryUntil, now);
    return &task;
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the key may belong to the erased record
void eraseTask(JobShard &shard, TaskKey key)
{
    shard.tasks.erase(key);
}

void closeAttempt(JobShard &shard, const TaskKey &key)
{
    if (!shard.closedAttempts.insert(key).second) {
        return;
    }
    if (shard.closedOrder.size() < MaxClosedAttempts) {
        shard.closedOrder.push_back(key);
        return;
    }
    shard.closedAttempts.erase(shard.closedOrder[shard.closedNext]);
    shard.closedOrder[shard.closedNext] = key;
    shard.closedNext = (shard.closedNext + 1) % MaxClosedAttempts;
}

ShardJob *findJob(JobShard &shard, const JobId &job, std::uint64_t epoch)
{
    const auto found = shard.jobs.find(TaskKey{job, epoch});
    return found == shard.jobs.end() ? nullptr : found->second.get();
}

void requeueTask(JobShard &shard, ShardTask &task, TimePoint now)
{
    const TaskKey key = task.key;
    detachTask(shard, task, now);
    ShardJob *job = findJob(shard, task.job, key.epoch);
    if (job != nullptr) {
        enqueueTasks(shard.queue, job->team, {task.job, key.epoch, {task.task, 1}}, task.urgent, true);
        job->waitingSince = now;
    }
    eraseTask(shard, key);
}

} // namespace Filbertlanding::ShardDetail
