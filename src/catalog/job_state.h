/** @file job_state.h Life cycle of batch jobs. */

#pragma once

#include "catalog/catalog_base.h"

#include <optional>

namespace Filbertlanding {

/** What can happen to a job. */
enum class JobEvent : std::uint8_t {
    Assigned, ///< A daemon got tasks.
    EpochEnded, ///< An epoch ended and others run.
    LastEpochEnded, ///< An epoch ended, no other runs, and tasks remain.
    AllTasksFinished, ///< No task remains.
    Failed, ///< The job failed.
    Cancelled, ///< The job was cancelled.
};

/**
 * Returns the state that follows, or nothing when the event is not allowed in a state. This is a plain table and not a
 * Boost.MSM machine: the state lives in a record that is copied, compared and restored from snapshots, and an MSM
 * back-end holds its state in an object that offers no such access.
 */
std::optional<JobState> nextJobState(JobState from, JobEvent event);

/** Returns the code that refuses a command on an ended job: JobFinished, JobFailed or JobCancelled; Ok while it waits or runs. */
ResultCode refusalOf(JobState state);

/** Returns the tasks that are neither finished nor assigned. */
TaskRanges openTasks(const JobRecord &job);

CommandResult applySubmit(JobTable &table, const Configuration &configuration, const SubmitJob &command, std::uint64_t index);
CommandResult applyAssign(JobTable &table, const Configuration &configuration, const AssignJob &command, std::uint64_t index);
CommandResult applyCheckpoint(JobTable &table, const CheckpointJob &command);
CommandResult applyEvict(JobTable &table, const EvictJob &command);
CommandResult applyFinish(JobTable &table, const FinishTasks &command, std::uint64_t index);
CommandResult applyFail(JobTable &table, const FailJob &command, std::uint64_t index);
CommandResult applyCancel(JobTable &table, const CancelJob &command, std::uint64_t index);

} // namespace Filbertlanding
