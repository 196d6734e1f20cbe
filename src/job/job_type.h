/** @file job_type.h Plain types of batch jobs: specification, assignment, proposals to the catalog. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Consecutive tasks of a job: first to first + count - 1. */
struct TaskSpan {
    std::uint32_t first = 0; ///< Number of the first task.
    std::uint32_t count = 1; ///< Number of tasks.

    bool operator==(const TaskSpan &) const = default;
};

/** What a job asks for, as far as the shard needs it. */
struct BatchSpec {
    ServiceName service; ///< Service that the job belongs to.
    TeamName team; ///< Team whose quota it uses.
    std::string jobClass; ///< Class for learning size and interference.
    Resources declared; ///< Size of one task as the submitter declared it; may be far off.
    std::string payload; ///< Input of the task, passed on to the worker.
    bool urgent = false; ///< Goes first and may use the reserved share.
    std::uint32_t taskCount = 1; ///< Number of tasks; more than 1 makes it a job with many tasks.
};

/** A job, or a range of its tasks, as the replicated catalog assigned it to this daemon. */
struct AssignedJob {
    JobId job; ///< The job.
    std::uint64_t epoch = 0; ///< Fencing token of this assignment.
    BatchSpec spec; ///< What it asks for.
    std::string checkpoint; ///< State to resume from; empty for a start from the beginning.
    std::vector<TaskSpan> tasks{{0, 1}}; ///< Unfinished tasks of this assignment.
    std::uint32_t evictions = 0; ///< How often the job was evicted for the sake of requests.
    std::vector<WorkerName> failedOn; ///< Workers on which it failed under earlier epochs, where the catalog keeps them.
    bool assignedBeforeRestart = false; ///< Was assigned to this daemon before its last restart, so that its task may still run.
};

/** Kind of a command that the shard wants in the log. */
enum class ProposalKind : std::uint8_t {
    Finish, ///< Tasks are finished.
    Fail, ///< The job can never finish.
    Evict, ///< The epoch ends; the job continues from the checkpoint under the next one.
};

/** Why an epoch ends. */
enum class EvictReason : std::uint8_t {
    Interference, ///< Requests on the worker were too slow or the worker too full.
    Urgent, ///< An urgent job needed the room.
    Drain, ///< The zone or the worker is leaving.
    WorkerLost, ///< The worker did not report until the task lease had ended.
    TaskFailed, ///< The task failed and is tried on another worker.
    DaemonRestarted, ///< The daemon restarted and no worker reported the task.
    NoWorker, ///< It waited in a shard without a worker that may start anything.
};

/** A command for the replicated catalog. Proposing it again is harmless, since the epoch fences it. */
struct JobProposal {
    ProposalKind kind = ProposalKind::Finish; ///< What to do.
    JobId job; ///< The job.
    std::uint64_t epoch = 0; ///< Epoch under which the task ran.
    std::string checkpoint; ///< Evict: where to resume.
    std::string result; ///< Finish: the result. Fail: the reason.
    EvictReason reason = EvictReason::Interference; ///< Evict: why.
    WorkerName worker; ///< Worker on which the attempt ran; empty when there was none.
    std::vector<TaskSpan> finished; ///< Finish: the tasks.
};

/** Why a worker was left out of a placement. */
enum class ExcludeReason : std::uint8_t {
    NotOwned, ///< No valid ownership lease.
    Drained, ///< Its zone or the worker itself is leaving, or the ramp after a return holds it back.
    Quarantined, ///< Quarantined, or suspect and already busy with one trial.
    FailedHere, ///< The job failed on it before.
    Capacity, ///< The task does not fit into what is free.
    Pressure, ///< Its requests are too slow at the moment.
    Interference, ///< The expected slowdown is above the limit.
    Count, ///< Number of reasons.
};

/** End of a task on a worker, for the quarantine in membership. */
struct WorkerOutcome {
    WorkerName worker; ///< The worker.
    JobId job; ///< The job.
    bool succeeded = false; ///< Finished, as opposed to failed.
};

/** One line for the log: how a placement was decided. */
struct PlacementRecord {
    JobId job; ///< The job (with task and attempt number for a job with many tasks).
    std::uint64_t epoch = 0; ///< Its epoch.
    WorkerName chosen; ///< The worker; empty when none was possible.
    std::uint32_t candidates = 0; ///< Number of workers that were possible.
    std::uint32_t considered = 0; ///< Number of workers looked at.
    double firstScore = 0; ///< Score of the chosen worker; lower is better.
    double secondScore = 0; ///< Score of the second; 0 without one.
    std::vector<std::uint32_t> excluded; ///< Number of workers left out, by ExcludeReason.
};

} // namespace Filbertlanding
