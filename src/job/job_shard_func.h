/** @file job_shard_func.h Event handlers of a shard of batch jobs. */

#pragma once

#include "core/result_code.h"
#include "job/job_shard_base.h"

#include <optional>
#include <span>
#include <string_view>

namespace Filbertlanding {

/** Permissions for a worker, as granted by membership. */
struct WorkerAllowance {
    TimePoint ownedUntil; ///< Expiry of the ownership lease that a report has acknowledged.
    std::uint32_t allowedTasks = UINT32_MAX; ///< Limit on its tasks: 0 in quarantine, 1 on probation.
    bool leaving = false; ///< It accepts no new work.
};

/**
 * Creates a shard at process start and begins the recovery period.
 * @return The shard, or nothing if no placement policy has the name given in the settings.
 */
std::optional<JobShard> makeJobShard(const ShardSettings &settings, TimePoint now);

/** Handles an assignment by the catalog. Idempotent. */
void shardAssign(JobShard &shard, const AssignedJob &job, TimePoint now);

/** Handles the end of an epoch in the catalog (finish, fail, evict, cancel, or assignment to another daemon): stops its attempts. */
void shardRevoke(JobShard &shard, const JobId &job, std::uint64_t epoch, TimePoint now);

/** Cancels jobs with a single pass over the queue. None of their tasks starts afterwards. @return Number of queue entries removed. */
std::size_t shardCancel(JobShard &shard, std::span<const JobId> jobs, TimePoint now);

/** Sets the expiry of the leases granted by the leader (requester side, design 4.3). */
void shardUpdateLeases(JobShard &shard, TimePoint freshUntil, TimePoint runningUntil, TimePoint now);

/** Sets the drain state of a zone and the spare capacity of the other zones. */
void shardUpdateZone(JobShard &shard, const ZoneName &zone, bool drained, Duration limit, std::int64_t spareCpuMillis, TimePoint now);

/** Sets the weight of a team and its quota in this shard. A quota of 0 means no limit. */
void shardUpdateTeam(JobShard &shard, const TeamName &team, double weight, std::int64_t quotaCpuMillis);

/** Sets the number of evictions per window that the eviction budget allows for a service in this shard. */
void shardSetEvictionLimit(JobShard &shard, const ServiceName &service, std::uint32_t evictionsPerWindow);

/**
 * Sets the placement policy and the weight of request latency, from 0 (only batch progress) to 1 (only latency).
 * @return Whether a policy with this name exists; if not, the current policy stays, but the weight is set.
 */
bool shardSetPolicy(JobShard &shard, std::string_view name, double latencyWeight);

/** Handles the answer to a proposal. With any code other than Ok and the job codes (4000 to 4999), the proposal is repeated later. */
void shardProposalAnswered(JobShard &shard, const JobProposal &proposal, ResultCode code, TimePoint now);

/** Updates the permissions for a worker between two reports. */
void shardUpdateAllowance(JobShard &shard, const WorkerName &worker, const WorkerAllowance &allowance, TimePoint now);

/** Handles a worker that has vanished or reports to another daemon. Its attempts end when their task leases expire. */
void shardWorkerGone(JobShard &shard, const WorkerName &worker, TimePoint now);

/**
 * Handles a report whose answer grants a lease (ReportAnswer::code is Ok).
 *
 * Protocol rules that the worker must follow: it counts the task lease from a time before it sent the report, and stops its tasks when the
 * lease expires. It ignores answers with a lower number than one already handled, answers of an older owner epoch, and commands whose lease
 * has expired. Start is idempotent for (job, epoch), even after the task has ended. Stop or Checkpoint of an unknown task is answered by a
 * report of state Stopped, after which the worker refuses a Start of this (job, epoch). Ended tasks are reported until Forget.
 *
 * @param now Time before the answer is sent; compared with the lease expiry times.
 */
ShardAnswer shardHandleReport(JobShard &shard, const WorkerReport &report, const WorkerAllowance &allowance, TimePoint now);

/** Periodic work: expired leases, lost attempts, placement, repeated proposals, drains. Must be called every 200 ms. */
void shardTick(JobShard &shard, TimePoint now);

/** Returns the collected output and clears it. */
ShardActions takeActions(JobShard &shard);

/**
 * Finds the resource because of which a size fits into none of the announced capacities.
 * @return "cpuMillis", "memoryMb", "accelerators", or "combination" if no single worker has enough of all; nothing if a worker fits.
 */
std::optional<std::string_view> findInsufficientResource(std::span<const Resources> capacities, const Resources &size);

} // namespace Filbertlanding
