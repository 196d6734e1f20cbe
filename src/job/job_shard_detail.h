/** @file job_shard_detail.h Functions that the source files of the shard share. Not for other folders. */

#pragma once

#include "job/job_shard_func.h"

namespace Filbertlanding::ShardDetail {

/** Identity of a task taken from the id that the worker knows. */
struct WireId {
    JobId job; ///< The job.
    std::uint32_t task = 0; ///< Number of the task.
    bool isMultiTask = false; ///< Whether the id names a task of a job with many tasks.
};

/** Takes apart job#task@attempt; an id without these parts is that of a job with one task. */
WireId parseWireId(const std::string &id);

/** Id under which failures are counted: a job, or one task of a job with many. */
JobId failureId(const ShardTask &task);

/** Returns the index of a worker, which is added when it is new. */
std::uint32_t internWorker(JobShard &shard, const WorkerName &name);

/** Returns whether no task may start in the zone. */
bool isZoneDrained(const JobShard &shard, const ZoneName &zone);

/** Returns whether a start command may go to a worker at this moment. */
bool mayStart(const JobShard &shard, const ShardWorker &worker, TimePoint now);

/** Moves an attempt on. */
void applyAttemptEvent(ShardTask &task, AttemptEvent event);

/** Brings the figures of a candidate up to date after its tasks have changed. */
void updateCandidate(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Brings up to date whether tasks may start on a candidate. */
void updateExclusion(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Adds an attempt on a worker. */
ShardTask &addTask(JobShard &shard, const ShardJob &job, std::uint32_t number, TaskKey key, std::uint32_t worker, const Resources &charge);

/** Takes an attempt off its worker, so that its room is free. */
void detachTask(JobShard &shard, ShardTask &task, TimePoint now);

/** Takes over an attempt that was started before the restart. @return The attempt, or nullptr when it is not to be taken over. */
ShardTask *adoptTask(JobShard &shard, std::uint32_t worker, const TaskKey &key, TimePoint now);

/** Forgets an attempt. */
void eraseTask(JobShard &shard, TaskKey key);

/** Remembers that the catalog has answered the end of an attempt. */
void closeAttempt(JobShard &shard, const TaskKey &key);

/** Handles an attempt that has reached a terminal state: frees its room and proposes what follows. */
void endAttempt(JobShard &shard, ShardTask &task, TimePoint now);

/** Proposes what follows from the terminal state of an attempt. */
void proposeEnd(JobShard &shard, ShardTask &task, TimePoint now);

/** Orders a checkpoint and stop. */
void requestEviction(JobShard &shard, ShardTask &task, EvictReason reason);

/** Places waiting tasks. */
void placeWaiting(JobShard &shard, TimePoint now);

/** Puts the task of an attempt that never started back into the queue. */
void requeueTask(JobShard &shard, ShardTask &task, TimePoint now);

/** Evicts tasks so that an urgent one fits. */
void preemptFor(JobShard &shard, ShardJob &job, const Resources &size, TimePoint now);

/** Learns from the measurements of a report. */
void learnFromReport(JobShard &shard, std::uint32_t worker, const WorkerReport &report, TimePoint now);

/** Takes the next throttle or evict step on a worker after a report. */
void controlPressure(JobShard &shard, std::uint32_t worker, TimePoint now);

/** Evicts tasks from zones and workers that are leaving. */
void drainTasks(JobShard &shard, TimePoint now);

/** Returns the job of an attempt, or nullptr when it is no longer assigned. */
ShardJob *findJob(JobShard &shard, const JobId &job, std::uint64_t epoch);

} // namespace Filbertlanding::ShardDetail
