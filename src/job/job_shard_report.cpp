/** @file job_shard_report.cpp Handling of worker reports: attempts, leases, commands and usage measurements. */

#include "job/job_shard_detail.h"

#include <algorithm>

namespace Filbertlanding {

using namespace ShardDetail;

namespace {

    constexpr std::uint32_t MinLatencySamples = 5; ///< Fewer samples give no usable quantile.
    constexpr Duration MinReportInterval{300}; ///< Reports closer together are duplicates and are used only once for throttling.

    bool isLive(TaskState state)
    {
        return state == TaskState::Starting || state == TaskState::Running || state == TaskState::Throttled;
    }

    AttemptEvent endEvent(TaskState state)
    {
        switch (state) {
        case TaskState::Finished:
            return AttemptEvent::Succeeded;
        case TaskState::Failed:
            return AttemptEvent::ReportedFailed;
        default:
            return AttemptEvent::Stopped;
        }
    }

    TaskCommand commandFor(TaskCommandKind kind, const TaskKey &key)
    {
        return {kind, key.id, key.epoch, {}, {}};
    }

    /** Returns whether a report comes from an earlier incarnation of the worker or from an earlier owner epoch. */
    bool isFromEarlierProcess(const ShardWorker &worker, const WorkerReport &report)
    {
        return report.incarnation < worker.incarnation || (report.incarnation == worker.incarnation && report.ownerEpoch < worker.ownerEpoch);
    }

    /** Returns whether a newer report has already been handled. The end states of an outdated report are still valid, its usage is not. */
    bool isOutdated(const ShardWorker &worker, const WorkerReport &report)
    {
        const bool same = report.incarnation == worker.incarnation && report.ownerEpoch == worker.ownerEpoch;
        return same && report.acknowledged < worker.acknowledged;
    }

    void updateServices(JobShard &shard, std::uint32_t index, const WorkerReport &report)
    {
        PlaceCandidate &candidate = shard.candidates[index];
        std::uint32_t slots = 0;
        for (const ServiceSlots &service : report.services) {
            slots += service.slots;
        }
        const double load = slots == 0 ? 0.0 : std::min(1.0, static_cast<double>(report.inFlight) / slots);
        candidate.services.resize(report.services.size());
        for (std::size_t i = 0; i < report.services.size(); ++i) {
            candidate.services[i] = {static_cast<ServiceIndex>(shard.services.intern(report.services[i].service)), load};
        }
    }

    void updateWorker(JobShard &shard, std::uint32_t index, const WorkerReport &report, TimePoint now)
    {
        ShardWorker &worker = shard.workers[index];
        if (report.incarnation != worker.incarnation || report.ownerEpoch != worker.ownerEpoch) {
            worker.foreignTasks.clear();
            worker.throttle = {};
        }
        if (worker.zone != report.availabilityZone || worker.incarnation == 0) {
            const std::uint32_t rack = shard.racks.intern(report.availabilityZone + "/" + report.rack);
            if (rack >= shard.rackTasks.size()) {
                shard.rackTasks.resize(rack + 1U);
            }
            const auto moved = static_cast<std::uint32_t>(worker.tasks.size());
            shard.rackTasks[shard.candidates[index].rack] -= moved;
            shard.rackTasks[rack] += moved;
            shard.candidates[index].rack = rack;
        }
        worker.zone = report.availabilityZone;
        worker.incarnation = report.incarnation;
        worker.ownerEpoch = report.ownerEpoch;
        worker.acknowledged = report.acknowledged;
        worker.capacity = report.capacity;
        worker.reportAt = now;
        updateServices(shard, index, report);
    }

    void measureTask(JobShard &shard, ShardTask &task, const TaskReport &report, TimePoint now)
    {
        if (report.used == Resources{}) {
            return;
        }
        task.used = report.used;
        task.peak = {std::max(task.peak.cpuMillis, report.used.cpuMillis),
                     std::max(task.peak.memoryMb, report.used.memoryMb),
                     std::max(task.peak.accelerators, report.used.accelerators)};
        // A throttled task uses less than it needs, and a recently started task has not reached its full size.
        if (report.state == TaskState::Throttled || now - task.startedAt < shard.settings.minMeasuredRunTime) {
            return;
        }
        if (!task.measured) {
            task.measured = true;
            learnSize(shard.sizes[task.jobClass], task.declared, task.peak, shard.settings.size);
        }
        const SizeEstimate &estimate = shard.sizes[task.jobClass];
        const Resources learned = learnedSize(estimate, task.declared, shard.settings.size);
        const auto withMargin = [&shard](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * shard.settings.size.margin);
        };
        const bool known = estimate.cpu.total >= static_cast<float>(shard.settings.size.minSamples);
        task.charge.cpuMillis = known ? std::max(learned.cpuMillis, withMargin(task.peak.cpuMillis)) : withMargin(task.peak.cpuMillis);
        task.charge.memoryMb = known ? std::max(learned.memoryMb, withMargin(task.peak.memoryMb)) : withMargin(task.peak.memoryMb);
    }

    void handleLiveTask(JobShard &shard, ShardTask &task, const TaskReport &report, bool isOutdatedReport, TimePoint now)
    {
        if (!task.isReported) {
            task.isReported = true;
            task.startedAt = now;
        }
        applyAttemptEvent(task, AttemptEvent::ReportedRunning);
        if (isOutdatedReport) {
            return;
        }
        task.throttleReported = report.state == TaskState::Throttled;
        measureTask(shard, task, report, now);
    }

    void handleEndedTask(JobShard &shard, ShardTask &task, const TaskReport &report, TimePoint now)
    {
        if (isTerminal(task.state)) {
            return;
        }
        if (task.state == AttemptState::Assigned) {
            // The task was adopted when its end was reported; the start command was sent before the restart.
            applyAttemptEvent(task, AttemptEvent::CommandSent);
        }
        if (task.state != AttemptState::Checkpointing && report.state != TaskState::Finished && report.state != TaskState::Failed) {
            task.reason = EvictReason::WorkerLost; // The stop was not requested: the worker stopped the task when its lease expired.
        }
        if (!report.checkpoint.empty()) {
            task.checkpoint = report.checkpoint;
        }
        task.result = report.result;
        applyAttemptEvent(task, endEvent(report.state));
        endAttempt(shard, task, now);
    }

    /** Handles a task that is assigned to another shard, or whose assignment is not known here yet. Its lease is not renewed. */
    void
    handleForeignTask(JobShard &shard, std::uint32_t index, const TaskReport &report, bool isOutdatedReport, TimePoint now, std::vector<TaskCommand> &commands)
    {
        const TaskKey key{report.job, report.epoch};
        ShardWorker &worker = shard.workers[index];
        if (isLive(report.state)) {
            if (isOutdatedReport) {
                return;
            }
            worker.foreignTasks.try_emplace(key, now);
            if (shard.caughtUp) {
                commands.push_back(commandFor(TaskCommandKind::Checkpoint, key));
            }
            return;
        }
        worker.foreignTasks.erase(key);
        if (parseWireId(report.job).isMultiTask) {
            // The daemon to which the tasks are assigned runs this one again, or already has its result.
            commands.push_back(commandFor(TaskCommandKind::Forget, key));
            return;
        }
        const auto [position, added] = shard.foreignProposals.try_emplace(key, now);
        if (!added && now - position->second < shard.settings.proposalRetryInterval) {
            return;
        }
        position->second = now;
        JobProposal proposal;
        proposal.kind = report.state == TaskState::Finished ? ProposalKind::Finish : ProposalKind::Evict;
        proposal.job = report.job;
        proposal.epoch = report.epoch;
        proposal.checkpoint = report.checkpoint;
        proposal.result = report.result;
        proposal.reason = report.state == TaskState::Failed ? EvictReason::TaskFailed : EvictReason::WorkerLost;
        proposal.worker = worker.name;
        proposal.finished = {{0, 1}};
        shard.actions.proposals.push_back(std::move(proposal));
    }

    void handleTask(JobShard &shard, std::uint32_t index, const TaskReport &report, bool isOutdatedReport, TimePoint now, std::vector<TaskCommand> &commands)
    {
        const TaskKey key{report.job, report.epoch};
        const auto found = shard.tasks.find(key);
        ShardTask *task = found == shard.tasks.end() ? nullptr : found->second.get();
        if (task == nullptr && shard.closedAttempts.contains(key)) {
            commands.push_back(commandFor(isLive(report.state) ? TaskCommandKind::Stop : TaskCommandKind::Forget, key));
            return;
        }
        if (task == nullptr) {
            task = adoptTask(shard, index, key, now);
        }
        if (task == nullptr) {
            handleForeignTask(shard, index, report, isOutdatedReport, now, commands);
            return;
        }
        shard.workers[index].foreignTasks.erase(key);
        if (task->worker != index) {
            commands.push_back(commandFor(isLive(report.state) ? TaskCommandKind::Stop : TaskCommandKind::Forget, key));
            return;
        }
        if (isLive(report.state)) {
            handleLiveTask(shard, *task, report, isOutdatedReport, now);
        } else {
            handleEndedTask(shard, *task, report, now);
        }
    }

    /** Returns a task lease that expires before the running lease even if the worker's clock is slow. */
    Duration grantedLease(const JobShard &shard, const ShardWorker &worker, TimePoint now)
    {
        if (!worker.foreignTasks.empty()) {
            return {0};
        }
        const std::int64_t remaining = (shard.runningUntil - now).ms - MaxClockDriftMargin.ms;
        return {std::clamp<std::int64_t>(remaining * 100 / 101, 0, shard.settings.taskLease.ms)};
    }

    void removeExpiredForeignTasks(const JobShard &shard, ShardWorker &worker, TimePoint now)
    {
        // The lease is not renewed here, so the task has ended by then even if its end was never reported.
        std::erase_if(worker.foreignTasks, [&shard, now](const auto &entry) {
            return now - entry.second >= withDrift(shard.settings.taskLease);
        });
    }

    TaskCommand startCommand(const JobShard &shard, const ShardTask &task)
    {
        TaskCommand command = commandFor(TaskCommandKind::Start, task.key);
        const auto job = shard.jobs.find(TaskKey{task.job, task.key.epoch});
        if (job != shard.jobs.end()) {
            const BatchSpec &spec = job->second->assigned.spec;
            command.spec = {spec.service, spec.team, spec.jobClass, spec.declared, task.charge, spec.payload};
        }
        command.checkpoint = task.checkpoint;
        return command;
    }

    void addCommands(JobShard &shard, ShardTask &task, Duration lease, TimePoint now, std::vector<TaskCommand> &commands)
    {
        const ShardWorker &worker = shard.workers[task.worker];
        if (task.stopRequested) {
            commands.push_back(commandFor(TaskCommandKind::Stop, task.key));
            return;
        }
        switch (task.state) {
        case AttemptState::Assigned:
        case AttemptState::Starting:
            if (lease.ms <= 0 || !mayStart(shard, worker, now)) {
                return;
            }
            if (task.state == AttemptState::Assigned) {
                applyAttemptEvent(task, AttemptEvent::CommandSent);
                task.workerIncarnation = worker.incarnation;
                task.startedAt = now;
            }
            commands.push_back(startCommand(shard, task));
            return;
        case AttemptState::Checkpointing:
            commands.push_back(commandFor(TaskCommandKind::Checkpoint, task.key));
            return;
        case AttemptState::Throttled:
            if (!task.throttleReported) {
                commands.push_back(commandFor(TaskCommandKind::Throttle, task.key));
            }
            return;
        case AttemptState::Running:
            if (task.throttleReported) {
                commands.push_back(commandFor(TaskCommandKind::Unthrottle, task.key));
            }
            return;
        default:
            return;
        }
    }

    double updateBaselineMs(JobShard &shard, ServiceIndex service, double latencyMs, bool idle)
    {
        if (service >= shard.baselineMs.size()) {
            shard.baselineMs.resize(service + 1U);
            shard.baselineIdle.resize(service + 1U);
        }
        double &baseline = shard.baselineMs[service];
        if (idle) {
            baseline = shard.baselineIdle[service] ? 0.9 * baseline + 0.1 * latencyMs : latencyMs;
            shard.baselineIdle[service] = true;
        } else if (!shard.baselineIdle[service]) {
            // No worker without batch tasks was seen yet: uses the lowest measured latency, which drifts up slowly.
            baseline = baseline <= 0 ? latencyMs : std::min(baseline * 1.001, latencyMs);
        }
        return baseline;
    }

} // namespace

namespace ShardDetail {

    void learnFromReport(JobShard &shard, std::uint32_t index, const WorkerReport &report, TimePoint now)
    {
        ShardWorker &worker = shard.workers[index];
        const TimePoint measuredAt = now - report.usage.age;
        const auto cpu = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
        std::vector<ClassShare> shares;
        Resources taskUse;
        for (const ShardTask *task : worker.tasks) {
            taskUse = taskUse + task->used;
            if (!task->isReported || task->startedAt > measuredAt) {
                continue;
            }
            const std::int64_t used = task->used.cpuMillis > 0 ? task->used.cpuMillis : task->declared.cpuMillis;
            const double share = static_cast<double>(used) / cpu;
            const auto same = std::find_if(shares.begin(), shares.end(), [task](const ClassShare &entry) {
                return entry.jobClass == task->jobClass;
            });
            if (same != shares.end()) {
                same->share += share;
            } else {
                shares.push_back({task->jobClass, share});
            }
        }
        const Resources requestUse = report.usage.used - taskUse;
        worker.requestUse = {std::max<std::int64_t>(requestUse.cpuMillis, 0),
                             std::max<std::int64_t>(requestUse.memoryMb, 0),
                             std::max<std::int64_t>(requestUse.accelerators, 0)};
        worker.measuredSlowdown = 0;
        for (const ServiceLatency &latency : report.usage.latencies) {
            if (latency.samples < MinLatencySamples || latency.quantileMs <= 0) {
                continue;
            }
            const auto service = static_cast<ServiceIndex>(shard.services.intern(latency.service));
            const double baseline = updateBaselineMs(shard, service, latency.quantileMs, worker.tasks.empty());
            const double slowdown = latency.quantileMs / baseline - 1.0;
            if (!worker.tasks.empty()) {
                worker.measuredSlowdown = std::max(worker.measuredSlowdown, slowdown);
            }
            learnInterference(shard.interference, service, shares, slowdown, now);
        }
    }

} // namespace ShardDetail

ShardAnswer shardHandleReport(JobShard &shard, const WorkerReport &report, const WorkerAllowance &allowance, TimePoint now)
{
    const std::uint32_t index = internWorker(shard, report.worker);
    if (isFromEarlierProcess(shard.workers[index], report)) {
        return {};
    }
    shardUpdateAllowance(shard, report.worker, allowance, now);
    const bool isOutdatedReport = isOutdated(shard.workers[index], report);
    if (!isOutdatedReport) {
        updateWorker(shard, index, report, now);
    }
    ShardAnswer answer;
    removeExpiredForeignTasks(shard, shard.workers[index], now);
    for (const TaskReport &task : report.tasks) {
        handleTask(shard, index, task, isOutdatedReport, now, answer.commands);
    }
    ShardWorker &worker = shard.workers[index];
    if (!isOutdatedReport && now - worker.lastCountedReportAt >= MinReportInterval) {
        worker.lastCountedReportAt = now;
        learnFromReport(shard, index, report, now);
        controlPressure(shard, index, now);
    }
    updateCandidate(shard, index, now);
    answer.taskLease = grantedLease(shard, worker, now);
    for (ShardTask *task : worker.tasks) {
        addCommands(shard, *task, answer.taskLease, now, answer.commands);
        const bool renewed = task->state != AttemptState::Assigned && task->workerIncarnation == report.incarnation;
        if (renewed && answer.taskLease.ms > 0) {
            task->leaseEnd = std::max(task->leaseEnd, now + withDrift(answer.taskLease));
        }
    }
    return answer;
}

} // namespace Filbertlanding
