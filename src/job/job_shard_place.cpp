/** @file job_shard_place.cpp Placement of waiting tasks and handling of ended attempts. */

#include "job/job_shard_detail.h"
#include "job/place_func.h"

#include <algorithm>
#include <numeric>

namespace Filbertlanding {

namespace ShardDetail {

    namespace {

        constexpr std::uint32_t MaxPreemptionsPerPass = 16; ///< Limits the duration of one pass, since a pass may run every 200 ms.
        constexpr Duration UnplacedRecordInterval{10'000}; ///< Minimum interval between log records of failed placements of a job.
        /** Wait after which a job may be retried on a worker on which it failed, if no other worker is eligible. */
        constexpr Duration SameWorkerRetryDelay{30'000};
        /** Minimum interval between preemptions for a job. A checkpoint takes up to two report intervals plus the time to write it. */
        constexpr Duration PreemptionRetryDelay{4000};

        /** Kind of tasks that could not be placed in this pass; further tasks of the same kind could not either. */
        struct UnplaceableKind {
            ClassIndex jobClass = 0;
            Resources declared; ///< Declared size.
            bool urgent = false;
        };

        /** State of one pass over the queue. */
        struct PlacePass {
            std::vector<UnplaceableKind> unplaced; ///< Kinds that could not be placed.
            std::uint32_t placed = 0; ///< Number of placements.
            std::uint32_t preemptions = 0; ///< Number of preemptions for urgent tasks.
        };

        bool isKnownUnplaceable(const PlacePass &pass, const ShardJob &job)
        {
            const BatchSpec &spec = job.assigned.spec;
            return std::any_of(pass.unplaced.begin(), pass.unplaced.end(), [&job, &spec](const UnplaceableKind &kind) {
                return kind.jobClass == job.jobClass && kind.declared == spec.declared && kind.urgent == spec.urgent;
            });
        }

        PlaceRequest requestFor(const JobShard &shard, const ShardJob &job, std::uint32_t number)
        {
            PlaceRequest request;
            request.declared = job.assigned.spec.declared;
            request.size = learnedSize(shard.sizes[job.jobClass], request.declared, shard.settings.size);
            request.jobClass = job.jobClass;
            request.urgent = job.assigned.spec.urgent;
            request.rackTasks = shard.rackTasks;
            request.totalTasks = shard.totalTasks;
            const bool isMultiTask = job.assigned.spec.taskCount > 1;
            const auto failures = shard.failures.jobs.find(isMultiTask ? job.assigned.job + "#" + std::to_string(number) : job.assigned.job);
            if (failures != shard.failures.jobs.end()) {
                request.failedOn = failures->second.workers;
            }
            return request;
        }

        TaskKey attemptKey(JobShard &shard, const ShardJob &job, std::uint32_t number)
        {
            if (job.assigned.spec.taskCount <= 1) {
                return {job.assigned.job, job.assigned.epoch};
            }
            // Each attempt has its own id, so that a late report of an earlier attempt is never attributed to a later one.
            constexpr unsigned IncarnationShift = 32;
            const std::uint64_t attempt = (shard.settings.daemonIncarnation << IncarnationShift) + ++shard.attempts;
            return {job.assigned.job + "#" + std::to_string(number) + "@" + std::to_string(attempt), job.assigned.epoch};
        }

        void recordPlacement(JobShard &shard, const TaskKey &key, const PlaceResult &result)
        {
            PlacementRecord record;
            record.job = key.id;
            record.epoch = key.epoch;
            record.chosen = result.chosen < 0 ? WorkerName{} : shard.workers[static_cast<std::size_t>(result.chosen)].name;
            record.candidates = result.candidates;
            record.considered = static_cast<std::uint32_t>(shard.candidates.size());
            record.firstScore = result.firstScore;
            record.secondScore = result.secondScore;
            record.excluded.assign(result.excluded.begin(), result.excluded.end());
            shard.actions.placements.push_back(std::move(record));
        }

        QueueOutcome handleUnplaced(JobShard &shard, ShardJob &job, const PlaceRequest &request, const PlaceResult &result, PlacePass &pass, TimePoint now)
        {
            if (request.failedOn.empty()) {
                pass.unplaced.push_back({job.jobClass, request.declared, request.urgent});
            }
            if (now - job.unplacedRecordedAt >= UnplacedRecordInterval) {
                job.unplacedRecordedAt = now;
                recordPlacement(shard, {job.assigned.job, job.assigned.epoch}, result);
            }
            const bool due =
                now - job.waitingSince >= shard.settings.preemptionDelay && (job.preemptedAt.ms == 0 || now - job.preemptedAt >= PreemptionRetryDelay);
            if (request.urgent && due && pass.preemptions < MaxPreemptionsPerPass) {
                ++pass.preemptions;
                job.preemptedAt = now;
                preemptFor(shard, job, request.size, now);
            }
            return QueueOutcome::NoWorker;
        }

        QueueOutcome tryPlace(JobShard &shard, const QueueEntry &entry, std::uint32_t team, PlacePass &pass, TimePoint now)
        {
            if (pass.placed >= shard.settings.maxStartsPerPass) {
                return QueueOutcome::Stop;
            }
            ShardJob *job = findJob(shard, entry.job, entry.epoch);
            if (job == nullptr || job->evictProposed) {
                return QueueOutcome::Dropped;
            }
            // Urgent tasks are not skipped, since each of them may preempt other tasks.
            if (!job->assigned.spec.urgent && isKnownUnplaceable(pass, *job)) {
                return QueueOutcome::NoWorker;
            }
            const std::uint32_t number = entry.tasks.first;
            PlaceRequest request = requestFor(shard, *job, number);
            const TeamQueue &queue = shard.queue.teams[team];
            if (queue.quotaCpuMillis > 0 && queue.runningCpuMillis + request.size.cpuMillis > queue.quotaCpuMillis) {
                return QueueOutcome::NoWorker;
            }
            PlaceResult result = (*shard.policy)(request, shard.candidates, shard.interference, shard.settings.place);
            const bool onlyFailed = result.chosen < 0 && result.excluded[static_cast<std::size_t>(ExcludeReason::FailedHere)] > 0;
            if (onlyFailed && now - job->waitingSince >= SameWorkerRetryDelay) {
                request.failedOn = {};
                result = (*shard.policy)(request, shard.candidates, shard.interference, shard.settings.place);
            }
            if (result.chosen < 0) {
                return handleUnplaced(shard, *job, request, result, pass, now);
            }
            const auto worker = static_cast<std::uint32_t>(result.chosen);
            const Resources charge = fittingSize(request, shard.candidates[worker], shard.settings.place).value_or(request.size);
            const TaskKey key = attemptKey(shard, *job, number);
            recordPlacement(shard, key, result);
            addTask(shard, *job, number, key, worker, charge);
            job->checkpoints.erase(number);
            updateCandidate(shard, worker, now);
            updateExclusion(shard, worker, now);
            if (request.urgent) {
                shard.actions.polls.push_back(shard.workers[worker].name);
            }
            ++pass.placed;
            return QueueOutcome::Placed;
        }

        JobProposal proposalFor(const JobShard &shard, const ShardTask &task, ProposalKind kind)
        {
            JobProposal proposal;
            proposal.kind = kind;
            proposal.job = task.job;
            proposal.epoch = task.key.epoch;
            proposal.result = task.result;
            proposal.worker = shard.workers[task.worker].name;
            return proposal;
        }

        void recordAttemptOutcome(JobShard &shard, ShardTask &task, TimePoint now)
        {
            const bool succeeded = task.state == AttemptState::Finished;
            shard.actions.outcomes.push_back({shard.workers[task.worker].name, task.job, succeeded});
            if (succeeded) {
                recordSuccess(shard.failures, task.worker);
                if (!task.measured && task.peak.cpuMillis > 0) {
                    learnSize(shard.sizes[task.jobClass], task.declared, task.peak, shard.settings.size);
                }
                return;
            }
            task.failsJob = recordFailure(shard.failures, failureId(task), task.worker, now);
        }

        /** Requeues a task of a multi-task job within the shard. The replicated log would be too slow for an entry per task. */
        void requeueMultiTask(JobShard &shard, ShardTask &task, TimePoint now)
        {
            ShardJob *job = findJob(shard, task.job, task.key.epoch);
            const TaskKey key = task.key;
            if (job != nullptr) {
                if (!task.checkpoint.empty()) {
                    job->checkpoints[task.task] = task.checkpoint;
                }
                enqueueTasks(shard.queue, job->team, {task.job, key.epoch, {task.task, 1}}, task.urgent, true);
                job->waitingSince = now;
            }
            closeAttempt(shard, key);
            eraseTask(shard, key);
        }

    } // namespace

    void placeWaiting(JobShard &shard, TimePoint now)
    {
        shard.placementDue = false;
        shard.placedAt = now;
        if (now >= shard.freshUntil || now >= shard.runningUntil) {
            return;
        }
        for (std::uint32_t i = 0; i < shard.workers.size(); ++i) {
            updateCandidate(shard, i, now);
            updateExclusion(shard, i, now);
        }
        PlacePass pass;
        serveQueue(shard.queue, [&shard, &pass, now](const QueueEntry &entry, std::uint32_t team) {
            return tryPlace(shard, entry, team, pass, now);
        });
        shard.placementDue |= pass.placed >= shard.settings.maxStartsPerPass;
    }

    void proposeEnd(JobShard &shard, ShardTask &task, TimePoint now)
    {
        task.proposedAt = now;
        if (task.state == AttemptState::Finished) {
            JobProposal proposal = proposalFor(shard, task, ProposalKind::Finish);
            proposal.finished = {{task.task, 1}};
            shard.actions.proposals.push_back(std::move(proposal));
            return;
        }
        if (task.state == AttemptState::Failed && task.failsJob) {
            shard.actions.proposals.push_back(proposalFor(shard, task, ProposalKind::Fail));
            return;
        }
        JobProposal proposal = proposalFor(shard, task, ProposalKind::Evict);
        proposal.checkpoint = task.checkpoint;
        proposal.reason = task.reason;
        if (task.state == AttemptState::Failed) {
            proposal.reason = EvictReason::TaskFailed;
        }
        if (task.state == AttemptState::Lost) {
            proposal.reason = EvictReason::WorkerLost;
        }
        shard.actions.proposals.push_back(std::move(proposal));
    }

    void endAttempt(JobShard &shard, ShardTask &task, TimePoint now)
    {
        detachTask(shard, task, now);
        if (task.state == AttemptState::Finished || task.state == AttemptState::Failed) {
            recordAttemptOutcome(shard, task, now);
        }
        ShardJob *job = findJob(shard, task.job, task.key.epoch);
        if (task.stopRequested || job == nullptr) {
            // The catalog has already ended this epoch.
            const TaskKey key = task.key;
            closeAttempt(shard, key);
            eraseTask(shard, key);
            return;
        }
        if (!task.isMultiTask || task.failsJob) {
            proposeEnd(shard, task, now);
            return;
        }
        if (task.state != AttemptState::Finished) {
            requeueMultiTask(shard, task, now);
            return;
        }
        job->finished.push_back(task.task);
        shard.jobsToFinish.insert(TaskKey{task.job, task.key.epoch});
    }

} // namespace ShardDetail

std::optional<std::string_view> findInsufficientResource(std::span<const Resources> capacities, const Resources &size)
{
    Resources largest;
    for (const Resources &capacity : capacities) {
        if (fitsInto(size, capacity)) {
            return std::nullopt;
        }
        largest = {std::max(largest.cpuMillis, capacity.cpuMillis),
                   std::max(largest.memoryMb, capacity.memoryMb),
                   std::max(largest.accelerators, capacity.accelerators)};
    }
    if (size.cpuMillis > largest.cpuMillis) {
        return "cpuMillis";
    }
    if (size.memoryMb > largest.memoryMb) {
        return "memoryMb";
    }
    return size.accelerators > largest.accelerators ? "accelerators" : "combination";
}

} // namespace Filbertlanding
