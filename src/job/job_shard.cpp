/** @file job_shard.cpp Assignments, leases, proposals and periodic work of a shard. */

#include "job/job_shard_detail.h"

#include <algorithm>
#include <utility>

namespace Filbertlanding {

using namespace ShardDetail;

namespace {

    constexpr Duration PlaceInterval{1000}; ///< Longest interval between placement passes; needed because leases, capacity ramps and backoffs change with time.
    constexpr std::size_t MaxHistory = 20000; ///< Limit on jobs whose evictions and failures are kept; two days of submissions.

    void enqueueJob(JobShard &shard, ShardJob &job, TimePoint now)
    {
        job.waitingSince = now;
        for (const TaskSpan &span : job.assigned.tasks) {
            enqueueTasks(shard.queue, job.team, {job.assigned.job, job.assigned.epoch, span}, job.assigned.spec.urgent, false);
        }
        shard.placementDue = true;
    }

    void endMultiTaskRecovery(JobShard &shard, ShardJob &job, TimePoint now)
    {
        for (const TaskSpan &span : job.assigned.tasks) {
            TaskSpan open{span.first, 0};
            for (std::uint32_t i = 0; i < span.count; ++i) {
                if (!job.adopted.contains(span.first + i)) {
                    ++open.count;
                    continue;
                }
                if (open.count > 0) {
                    enqueueTasks(shard.queue, job.team, {job.assigned.job, job.assigned.epoch, open}, job.assigned.spec.urgent, false);
                }
                open = {span.first + i + 1, 0};
            }
            if (open.count > 0) {
                enqueueTasks(shard.queue, job.team, {job.assigned.job, job.assigned.epoch, open}, job.assigned.spec.urgent, false);
            }
        }
        job.waitingSince = now;
        job.isRecovering = false;
        --shard.recoveringJobs;
        shard.placementDue = true;
    }

    /**
     * Ends the recovery period. An epoch whose task no worker has reported is ended instead of started, so that no epoch is ever started on
     * two workers.
     */
    void endRecovery(JobShard &shard, TimePoint now)
    {
        if (shard.recoveringJobs == 0 || now < shard.recoveryUntil || !shard.caughtUp) {
            return;
        }
        for (auto &[key, job] : shard.jobs) {
            if (!job->isRecovering) {
                continue;
            }
            if (job->assigned.spec.taskCount > 1) {
                endMultiTaskRecovery(shard, *job, now);
                continue;
            }
            if (!job->evictProposed && shard.tasks.contains(key)) {
                job->isRecovering = false;
                --shard.recoveringJobs;
                continue;
            }
            if (job->evictProposed && now - job->proposedAt < shard.settings.proposalRetryInterval) {
                continue;
            }
            job->evictProposed = true;
            job->proposedAt = now;
            shard.actions.proposals.push_back(
                {ProposalKind::Evict, job->assigned.job, job->assigned.epoch, job->assigned.checkpoint, {}, EvictReason::DaemonRestarted, {}, {}});
        }
    }

    /** Adopts attempts that workers reported before the job was assigned to this daemon. */
    void adoptReportedTasks(JobShard &shard, const TaskKey &jobKey, TimePoint now)
    {
        for (std::uint32_t index = 0; index < shard.workers.size(); ++index) {
            auto &foreignTasks = shard.workers[index].foreignTasks;
            for (auto entry = foreignTasks.begin(); entry != foreignTasks.end();) {
                const TaskKey &key = entry->first;
                const bool matches = key.epoch == jobKey.epoch && parseWireId(key.id).job == jobKey.id;
                const bool adopted = matches && !shard.tasks.contains(key) && adoptTask(shard, index, key, now) != nullptr;
                entry = adopted ? foreignTasks.erase(entry) : std::next(entry);
            }
        }
    }

    std::vector<TaskSpan> toTaskSpans(std::vector<std::uint32_t> numbers)
    {
        std::sort(numbers.begin(), numbers.end());
        std::vector<TaskSpan> spans;
        for (const std::uint32_t number : numbers) {
            if (!spans.empty() && spans.back().first + spans.back().count == number) {
                ++spans.back().count;
            } else {
                spans.push_back({number, 1});
            }
        }
        return spans;
    }

    void proposeFinished(JobShard &shard, TimePoint now)
    {
        for (auto entry = shard.jobsToFinish.begin(); entry != shard.jobsToFinish.end();) {
            ShardJob *job = findJob(shard, entry->id, entry->epoch);
            if (job == nullptr || job->finished.empty()) {
                entry = shard.jobsToFinish.erase(entry);
                continue;
            }
            ++entry;
            if (now - job->proposedAt < shard.settings.finishBatchInterval) {
                continue;
            }
            job->proposedAt = now;
            shard.actions.proposals.push_back({ProposalKind::Finish, job->assigned.job, job->assigned.epoch, {}, {}, {}, {}, toTaskSpans(job->finished)});
        }
    }

    bool hasUsableWorker(const JobShard &shard, TimePoint now)
    {
        return std::any_of(shard.workers.begin(), shard.workers.end(), [&shard, now](const ShardWorker &worker) {
            return now < worker.ownedUntil && !worker.leaving && worker.allowedTasks > 0 && !isZoneDrained(shard, worker.zone);
        });
    }

    /** Selects jobs without attempts. An epoch with an attempt ends together with that attempt. */
    void selectJobsToRelease(JobShard &shard)
    {
        std::unordered_set<TaskKey, TaskKeyHash> busy;
        for (const auto &[key, task] : shard.tasks) {
            busy.insert(TaskKey{task->job, key.epoch});
        }
        for (auto &[key, job] : shard.jobs) {
            if (!job->isRecovering && !job->evictProposed && !busy.contains(key)) {
                job->evictProposed = true;
                job->proposedAt = {};
                shard.jobsToRelease.insert(key);
            }
        }
    }

    /** Releases waiting jobs when the shard has no usable worker, as after a drain. They would otherwise wait here indefinitely. */
    void releaseWaitingJobs(JobShard &shard, TimePoint now)
    {
        if (hasUsableWorker(shard, now)) {
            shard.lastUsableAt = now;
        } else if (now - shard.lastUsableAt >= shard.settings.releaseAfter && shard.caughtUp) {
            shard.lastUsableAt = now;
            selectJobsToRelease(shard);
        }
        for (auto entry = shard.jobsToRelease.begin(); entry != shard.jobsToRelease.end();) {
            ShardJob *job = findJob(shard, entry->id, entry->epoch);
            if (job == nullptr) {
                entry = shard.jobsToRelease.erase(entry);
                continue;
            }
            ++entry;
            if (job->proposedAt.ms == 0 || now - job->proposedAt >= shard.settings.proposalRetryInterval) {
                job->proposedAt = now;
                const AssignedJob &assigned = job->assigned;
                shard.actions.proposals.push_back({ProposalKind::Evict, assigned.job, assigned.epoch, assigned.checkpoint, {}, EvictReason::NoWorker, {}, {}});
            }
        }
    }

    void checkAttempts(JobShard &shard, TimePoint now)
    {
        std::vector<ShardTask *> ended;
        std::vector<ShardTask *> unsent;
        for (auto &[key, task] : shard.tasks) {
            if (isTerminal(task->state)) {
                const bool due = task->proposedAt.ms != 0 && now - task->proposedAt >= shard.settings.proposalRetryInterval;
                if (due) {
                    proposeEnd(shard, *task, now);
                }
            } else if (task->state == AttemptState::Assigned) {
                const ShardWorker &worker = shard.workers[task->worker];
                const bool possible = now < worker.ownedUntil && !worker.leaving && worker.allowedTasks > 0 && !isZoneDrained(shard, worker.zone);
                if (!possible) {
                    unsent.push_back(task.get());
                }
            } else if (now >= task->leaseEnd) {
                ended.push_back(task.get());
            }
        }
        for (ShardTask *task : ended) {
            applyAttemptEvent(*task, AttemptEvent::LeaseExpired);
            endAttempt(shard, *task, now);
        }
        for (ShardTask *task : unsent) {
            requeueTask(shard, *task, now);
        }
    }

    void stopTasksOf(JobShard &shard, const JobId &job, const std::uint64_t *epoch, TimePoint now)
    {
        std::vector<ShardTask *> found;
        for (auto &[key, task] : shard.tasks) {
            if (task->job == job && (epoch == nullptr || key.epoch == *epoch)) {
                found.push_back(task.get());
            }
        }
        for (ShardTask *task : found) {
            if (task->state == AttemptState::Assigned || isTerminal(task->state)) {
                detachTask(shard, *task, now);
                closeAttempt(shard, task->key);
                eraseTask(shard, task->key);
            } else {
                task->stopRequested = true;
            }
        }
    }

    void eraseJob(JobShard &shard, const TaskKey &key)
    {
        const auto found = shard.jobs.find(key);
        if (found == shard.jobs.end()) {
            return;
        }
        shard.recoveringJobs -= found->second->isRecovering ? 1 : 0;
        shard.jobs.erase(found);
    }

    void closeFinishedTasks(JobShard &shard, const JobProposal &proposal)
    {
        ShardJob *job = findJob(shard, proposal.job, proposal.epoch);
        const auto confirmed = [&proposal](std::uint32_t number) {
            return std::any_of(proposal.finished.begin(), proposal.finished.end(), [number](const TaskSpan &span) {
                return number >= span.first && number - span.first < span.count;
            });
        };
        if (job != nullptr) {
            std::erase_if(job->finished, confirmed);
        }
        std::vector<TaskKey> keys;
        for (const auto &[key, task] : shard.tasks) {
            if (task->isMultiTask && task->state == AttemptState::Finished && task->job == proposal.job && key.epoch == proposal.epoch
                && confirmed(task->task)) {
                keys.push_back(key);
            }
        }
        for (const TaskKey &key : keys) {
            closeAttempt(shard, key);
            eraseTask(shard, key);
        }
    }

    void closeProposedAttempt(JobShard &shard, const JobProposal &proposal)
    {
        const TaskKey key{proposal.job, proposal.epoch};
        const auto task = shard.tasks.find(key);
        if (task == shard.tasks.end()) {
            closeAttempt(shard, key);
            return;
        }
        if (isTerminal(task->second->state)) {
            closeAttempt(shard, key);
            eraseTask(shard, key);
        }
    }

} // namespace

std::optional<JobShard> makeJobShard(const ShardSettings &settings, TimePoint now)
{
    const auto *policy = PlacePolicyRegistry::find(settings.placePolicy);
    if (policy == nullptr) {
        return std::nullopt;
    }
    JobShard shard;
    shard.settings = settings;
    shard.policy = policy;
    shard.interference.settings = settings.interference;
    shard.budget.settings = settings.budget;
    shard.failures.settings = settings.failure;
    shard.recoveryUntil = now + withDrift(settings.taskLease);
    shard.lastUsableAt = now;
    shard.freshUntil = now;
    shard.runningUntil = now;
    return shard;
}

void shardAssign(JobShard &shard, const AssignedJob &job, TimePoint now)
{
    const TaskKey key{job.job, job.epoch};
    if (shard.jobs.contains(key) || shard.closedAttempts.contains(key)) {
        return;
    }
    auto record = std::make_unique<ShardJob>();
    record->assigned = job;
    record->service = static_cast<ServiceIndex>(shard.services.intern(job.spec.service));
    record->jobClass = static_cast<ClassIndex>(shard.classes.intern(job.spec.jobClass));
    record->team = internTeam(shard.queue, job.spec.team);
    if (record->jobClass >= shard.sizes.size()) {
        shard.sizes.resize(record->jobClass + 1U);
    }
    for (const WorkerName &worker : job.failedOn) {
        const std::uint32_t index = internWorker(shard, worker);
        auto &workers = shard.failures.jobs[job.job].workers;
        if (std::find(workers.begin(), workers.end(), index) == workers.end()) {
            workers.push_back(index);
        }
    }
    ShardJob &added = *shard.jobs.emplace(key, std::move(record)).first->second;
    if (job.assignedBeforeRestart) {
        added.isRecovering = true;
        ++shard.recoveringJobs;
        adoptReportedTasks(shard, key, now);
        return;
    }
    enqueueJob(shard, added, now);
}

void shardRevoke(JobShard &shard, const JobId &job, std::uint64_t epoch, TimePoint now)
{
    eraseJob(shard, {job, epoch});
    stopTasksOf(shard, job, &epoch, now);
    closeAttempt(shard, {job, epoch});
    shard.placementDue = true;
}

std::size_t shardCancel(JobShard &shard, std::span<const JobId> jobs, TimePoint now)
{
    const std::unordered_set<JobId> cancelled(jobs.begin(), jobs.end());
    std::vector<TaskKey> keys;
    for (const auto &[key, job] : shard.jobs) {
        if (cancelled.contains(key.id)) {
            keys.push_back(key);
        }
    }
    for (const TaskKey &key : keys) {
        eraseJob(shard, key);
        closeAttempt(shard, key);
    }
    std::vector<ShardTask *> found;
    for (auto &[key, task] : shard.tasks) {
        if (cancelled.contains(task->job)) {
            found.push_back(task.get());
        }
    }
    for (ShardTask *task : found) {
        if (task->state != AttemptState::Assigned && !isTerminal(task->state)) {
            task->stopRequested = true;
            continue;
        }
        detachTask(shard, *task, now);
        closeAttempt(shard, task->key);
        eraseTask(shard, task->key);
    }
    for (const JobId &job : cancelled) {
        shard.evictions.erase(job);
        shard.failures.jobs.erase(job);
    }
    return removeJobs(shard.queue, cancelled);
}

void shardUpdateLeases(JobShard &shard, TimePoint freshUntil, TimePoint runningUntil, TimePoint now)
{
    shard.placementDue |= shard.freshUntil <= now && freshUntil > now;
    shard.caughtUp |= freshUntil > now;
    shard.freshUntil = freshUntil;
    shard.runningUntil = runningUntil;
}

void shardUpdateZone(JobShard &shard, const ZoneName &zone, bool drained, Duration limit, std::int64_t spareCpuMillis, TimePoint now)
{
    ZoneDrain &record = shard.zones[zone];
    if (drained && !record.drained) {
        record.since = now;
    }
    if (!drained && record.drained) {
        record.returnedAt = now;
    }
    record.drained = drained;
    record.limit = limit;
    record.spareCpuMillis = spareCpuMillis;
    shard.placementDue = true;
}

void shardUpdateTeam(JobShard &shard, const TeamName &team, double weight, std::int64_t quotaCpuMillis)
{
    TeamQueue &queue = shard.queue.teams[internTeam(shard.queue, team)];
    queue.weight = weight;
    queue.quotaCpuMillis = quotaCpuMillis;
    shard.placementDue = true;
}

void shardSetEvictionLimit(JobShard &shard, const ServiceName &service, std::uint32_t evictionsPerWindow)
{
    setEvictionLimit(shard.budget, static_cast<ServiceIndex>(shard.services.intern(service)), evictionsPerWindow);
}

bool shardSetPolicy(JobShard &shard, std::string_view name, double latencyWeight)
{
    shard.settings.place.latencyWeight = latencyWeight;
    const auto *policy = PlacePolicyRegistry::find(name);
    if (policy == nullptr) {
        return false;
    }
    shard.policy = policy;
    shard.placementDue = true;
    return true;
}

void shardProposalAnswered(JobShard &shard, const JobProposal &proposal, ResultCode code, TimePoint now)
{
    const auto number = static_cast<unsigned>(code);
    const bool refused = number >= 4000 && number < 5000;
    if (code != ResultCode::Ok && !refused) {
        return;
    }
    const bool isMultiTask = proposal.kind == ProposalKind::Finish && findJob(shard, proposal.job, proposal.epoch) != nullptr
        && findJob(shard, proposal.job, proposal.epoch)->assigned.spec.taskCount > 1;
    if (isMultiTask) {
        closeFinishedTasks(shard, proposal);
    } else {
        closeProposedAttempt(shard, proposal);
    }
    if (refused || !isMultiTask) {
        shardRevoke(shard, proposal.job, proposal.epoch, now);
    }
    if (proposal.kind != ProposalKind::Evict && !isMultiTask) {
        shard.evictions.erase(proposal.job);
        shard.failures.jobs.erase(proposal.job);
    }
}

void shardUpdateAllowance(JobShard &shard, const WorkerName &worker, const WorkerAllowance &allowance, TimePoint now)
{
    const std::uint32_t index = internWorker(shard, worker);
    ShardWorker &record = shard.workers[index];
    const bool owned = now < record.ownedUntil;
    const bool same = owned == (now < allowance.ownedUntil) && record.allowedTasks == allowance.allowedTasks && record.leaving == allowance.leaving;
    shard.placementDue |= !same;
    if (allowance.leaving && !record.leaving) {
        record.leavingSince = now;
    }
    record.ownedUntil = allowance.ownedUntil;
    record.allowedTasks = allowance.allowedTasks;
    record.leaving = allowance.leaving;
    workerFailures(shard.failures, index).quarantined = allowance.allowedTasks == 0;
}

void shardWorkerGone(JobShard &shard, const WorkerName &worker, TimePoint now)
{
    shardUpdateAllowance(shard, worker, {now, 0, true}, now);
    workerFailures(shard.failures, internWorker(shard, worker)).quarantined = false;
}

void shardTick(JobShard &shard, TimePoint now)
{
    checkAttempts(shard, now);
    endRecovery(shard, now);
    proposeFinished(shard, now);
    releaseWaitingJobs(shard, now);
    drainTasks(shard, now);
    if (shard.placementDue || now - shard.placedAt >= PlaceInterval) {
        placeWaiting(shard, now);
    }
    // Jobs that moved to other shards leave their history behind. Losing the history costs at most one more attempt.
    if (shard.evictions.size() > MaxHistory) {
        shard.evictions.clear();
    }
    if (shard.failures.jobs.size() > MaxHistory) {
        shard.failures.jobs.clear();
    }
}

ShardActions takeActions(JobShard &shard)
{
    return std::exchange(shard.actions, {});
}

} // namespace Filbertlanding
