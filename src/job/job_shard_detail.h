/** @file job_shard_detail.h Internal functions shared by the source files of the shard. */

#pragma once

#include "job/job_shard_func.h"

namespace Filbertlanding::ShardDetail {

/** Parsed task id, as exchanged with workers. */
struct WireId {
    JobId job;
    std::uint32_t task = 0; ///< Number of the task.
    bool isMultiTask = false; ///< Whether the id names a task of a multi-task job.
};

/** Parses an id of the form job#task@attempt. Any other id is the job id of a job with one task. */
WireId parseWireId(const std::string &id);

/** Returns the id under which failures are counted: the job, or the task of a multi-task job. */
JobId failureId(const ShardTask &task);

/** Returns the index of a worker, adding the worker if necessary. */
std::uint32_t internWorker(JobShard &shard, const WorkerName &name);

/** Returns whether no task may start in the zone. */
bool isZoneDrained(const JobShard &shard, const ZoneName &zone);

/** Returns whether a start command may be sent to the worker now. */
bool mayStart(const JobShard &shard, const ShardWorker &worker, TimePoint now);

void applyAttemptEvent(ShardTask &task, AttemptEvent event);

/** Updates the capacity and usage of a placement candidate from its worker and tasks. */
void updateCandidate(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Updates whether tasks may start on a candidate, and the reason if not. */
void updateExclusion(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Adds an attempt on a worker. */
ShardTask &addTask(JobShard &shard, const ShardJob &job, std::uint32_t number, TaskKey key, std::uint32_t worker, const Resources &charge);

/** Removes an attempt from its worker and releases its resources. */
void detachTask(JobShard &shard, ShardTask &task, TimePoint now);

/** Adopts an attempt that was started before the restart of this daemon. @return The attempt, or nullptr if it must not be adopted. */
ShardTask *adoptTask(JobShard &shard, std::uint32_t worker, const TaskKey &key, TimePoint now);

void eraseTask(JobShard &shard, TaskKey key);

/** Records that the end of an attempt is known to the catalog. */
void closeAttempt(JobShard &shard, const TaskKey &key);

/** Handles an attempt that has reached a terminal state: releases its resources and proposes the next step. */
void endAttempt(JobShard &shard, ShardTask &task, TimePoint now);

/** Proposes to finish, fail or evict the task, according to the terminal state of its attempt. */
void proposeEnd(JobShard &shard, ShardTask &task, TimePoint now);

/** Requests that an attempt writes a checkpoint and stops. */
void requestEviction(JobShard &shard, ShardTask &task, EvictReason reason);

/** Places waiting tasks. */
void placeWaiting(JobShard &shard, TimePoint now);

/** Returns the task of an attempt that was never started to the queue. */
void requeueTask(JobShard &shard, ShardTask &task, TimePoint now);

/** Evicts tasks of one worker so that an urgent task fits. */
void preemptFor(JobShard &shard, ShardJob &job, const Resources &size, TimePoint now);

/** Updates usage, latency baselines and interference estimates from a report. */
void learnFromReport(JobShard &shard, std::uint32_t worker, const WorkerReport &report, TimePoint now);

/** Throttles, evicts or unthrottles one task of a worker, if needed after a report. */
void controlPressure(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Evicts tasks from drained zones and leaving workers. */
void drainTasks(JobShard &shard, TimePoint now);

/** Returns an assigned job, or nullptr if it is no longer assigned under this epoch. */
ShardJob *findJob(JobShard &shard, const JobId &job, std::uint64_t epoch);

} // namespace Filbertlanding::ShardDetail
