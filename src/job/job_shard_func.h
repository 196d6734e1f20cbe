/** @file job_shard_func.h Events of a shard of batch work. */

#pragma once

#include "core/result_code.h"
#include "job/job_shard_base.h"

#include <optional>
#include <span>
#include <string_view>

namespace Filbertlanding {

/** What membership says about a worker. */
struct WorkerAllowance {
    TimePoint ownedUntil; ///< End of the ownership lease that a report has acknowledged.
    std::uint32_t allowedTasks = UINT32_MAX; ///< 0 in quarantine, 1 on probation.
    bool leaving = false; ///< It takes no new work.
};

/**
 * Makes a shard at the start of the process; the quiet period after a restart begins.
 * @return The shard, or nothing when no policy has the name in the settings.
 */
std::optional<JobShard> makeJobShard(const ShardSettings &settings, TimePoint now);

/** The catalog has assigned tasks to this daemon. Doubled calls change nothing. */
void shardAssign(JobShard &shard, const AssignedJob &job, TimePoint now);

/** The catalog has ended an epoch (finish, fail, evict, cancel, or assigned elsewhere). Its attempts are stopped. */
void shardRevoke(JobShard &shard, const JobId &job, std::uint64_t epoch, TimePoint now);

/** Jobs were cancelled. A burst is one pass over the queue. Nothing of them starts afterwards. @return Number of queue entries removed. */
std::size_t shardCancel(JobShard &shard, std::span<const JobId> jobs, TimePoint now);

/** The leases towards the leader have changed (requester side, design 4.3). */
void shardUpdateLeases(JobShard &shard, TimePoint freshUntil, TimePoint runningUntil, TimePoint now);

/** A zone is drained, comes back, or the spare capacity of the other zones has changed. */
void shardUpdateZone(JobShard &shard, const ZoneName &zone, bool drained, Duration limit, std::int64_t spareCpuMillis, TimePoint now);

/** Sets the weight of a team and its quota in this shard; 0 for no quota. */
void shardUpdateTeam(JobShard &shard, const TeamName &team, double weight, std::int64_t quotaCpuMillis);

/** Sets how many jobs of a service this shard may evict in one window of the eviction budget. */
void shardSetEvictionLimit(JobShard &shard, const ServiceName &service, std::uint32_t evictionsPerWindow);

/**
 * Chooses the placement policy and how much it weighs the latency of requests, from 0 (only batch progress) to 1 (only latency).
 * @return Whether there is a policy with this name; otherwise the one before stays.
 */
bool shardSetPolicy(JobShard &shard, std::string_view name, double latencyWeight);

/** The catalog has answered a proposal. Every code but Ok and the codes of jobs (4000 to 4999) means that it is made again. */
void shardProposalAnswered(JobShard &shard, const JobProposal &proposal, ResultCode code, TimePoint now);

/** Membership has changed its view of a worker between two reports. */
void shardUpdateAllowance(JobShard &shard, const WorkerName &worker, const WorkerAllowance &allowance, TimePoint now);

/** The worker reports to another daemon, or has vanished. Its attempts end with their task leases. */
void shardWorkerGone(JobShard &shard, const WorkerName &worker, TimePoint now);

/**
 * Handles a report whose answer grants something (ReportAnswer::code is Ok).
 *
 * Rules that the worker keeps: it counts the task lease from the moment before it sent the report, and stops its tasks when the lease ends.
 * It ignores answers with a lower number than one it has handled, answers of an older owner epoch, and commands whose lease is over.
 * Start is idempotent for (job, epoch), also after the end of the task. Stop or Checkpoint of a task that it does not know is answered
 * by a report of state Stopped, after which it refuses a Start of this (job, epoch). Ended tasks are reported until Forget.
 *
 * @param now Time before the answer is sent; leases are compared with it.
 */
ShardAnswer shardHandleReport(JobShard &shard, const WorkerReport &report, const WorkerAllowance &allowance, TimePoint now);

/** Time has passed: leases, lost attempts, placement, proposals that were not answered, drains. Call it each 200 ms. */
void shardTick(JobShard &shard, TimePoint now);

/** Returns what has to leave the shard, and forgets it. */
ShardActions takeActions(JobShard &shard);

/**
 * Names the resource by which a size fits none of the announced capacities.
 * @return "cpuMillis", "memoryMb", "accelerators", or "combination" when no single worker has all; nothing when a worker fits.
 */
std::optional<std::string_view> findInsufficientResource(std::span<const Resources> capacities, const Resources &size);

} // namespace Filbertlanding
