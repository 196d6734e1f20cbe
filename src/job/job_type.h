/** @file job_type.h Plain types of batch jobs: specification, assignment, proposals to the catalog. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Range of tasks of a job: first to first + count - 1. */
struct TaskSpan {
    std::uint32_t first = 0; ///< Number of the first task.
    std::uint32_t count = 1; ///< Number of tasks.

    bool operator==(const TaskSpan &) const = default;
};

/** Specification of a job, as far as the shard needs it. */
struct BatchSpec {
    ServiceName service; ///< Service to which the job belongs.
    TeamName team; ///< Team whose quota is used.
    std::string jobClass; ///< Class for which size and interference are learned.
    Resources declared; ///< Declared size of one task; can be inaccurate by a large factor.
    std::string payload; ///< Input of the task, passed to the worker.
    bool urgent = false; ///< Placed first and may use the reserved share of workers.
    std::uint32_t taskCount = 1; ///< Number of tasks; a job with more than 1 is a multi-task job.
};

/** Assignment of a job, or of some of its tasks, to this daemon by the replicated catalog. */
struct AssignedJob {
    JobId job;
    std::uint64_t epoch = 0; ///< Fencing token of this assignment.
    BatchSpec spec;
    std::string checkpoint; ///< Checkpoint to resume from; empty to start from the beginning.
    std::vector<TaskSpan> tasks{{0, 1}}; ///< Unfinished tasks of this assignment.
    std::uint32_t evictions = 0; ///< Evictions of the job in favour of requests.
    std::vector<WorkerName> failedOn; ///< Workers on which it failed under earlier epochs, as far as the catalog keeps them.
    bool assignedBeforeRestart = false; ///< Assigned before the last restart of this daemon, so its tasks may still be running.
};

/** Kind of a command that the shard proposes to the replicated log. */
enum class ProposalKind : std::uint8_t {
    Finish, ///< Tasks have finished.
    Fail, ///< The job has failed permanently.
    Evict, ///< Ends the epoch; the job resumes from the checkpoint under the next epoch.
};

/** Reason for the end of an epoch. */
enum class EvictReason : std::uint8_t {
    Interference, ///< Requests on the worker were too slow, or its resources overloaded.
    Urgent, ///< Preempted by an urgent job.
    Drain, ///< The zone is drained or the worker is leaving.
    WorkerLost, ///< The worker did not report the task before its lease expired, or stopped it when the lease expired.
    TaskFailed, ///< The task failed and is retried on another worker.
    DaemonRestarted, ///< The daemon restarted and no worker reported the task.
    NoWorker, ///< It was waiting in a shard without usable workers.
};

/** Command for the replicated catalog. Idempotent, since the epoch fences repeated proposals. */
struct JobProposal {
    ProposalKind kind = ProposalKind::Finish;
    JobId job;
    std::uint64_t epoch = 0; ///< Epoch under which the task ran.
    std::string checkpoint; ///< Evict: checkpoint to resume from.
    std::string result; ///< Finish: the result. Fail: the reason.
    EvictReason reason = EvictReason::Interference; ///< Evict: reason.
    WorkerName worker; ///< Worker of the attempt; empty if there was none.
    std::vector<TaskSpan> finished; ///< Finish: the finished tasks.
};

/** Reason for excluding a worker from a placement. */
enum class ExcludeReason : std::uint8_t {
    NotOwned, ///< No valid ownership lease.
    Drained, ///< Its zone is drained, or the worker is leaving.
    Quarantined, ///< Quarantined, in failure backoff, or at its limit of tasks, which is 1 for a suspect worker.
    FailedHere, ///< The job has failed on it before.
    Capacity, ///< Not enough free capacity.
    Pressure, ///< The worker is overloaded, or a throttling step is still settling.
    Interference, ///< The expected slowdown of its requests exceeds the limit.
    Count, ///< Number of reasons.
};

/** Outcome of a task on a worker, used by membership for quarantine. */
struct WorkerOutcome {
    WorkerName worker;
    JobId job;
    bool succeeded = false; ///< Finished rather than failed.
};

/** Log record of a placement decision. */
struct PlacementRecord {
    JobId job; ///< Job id, with task and attempt number for a multi-task job.
    std::uint64_t epoch = 0; ///< Epoch of the assignment.
    WorkerName chosen; ///< Chosen worker; empty if no worker was eligible.
    std::uint32_t candidates = 0; ///< Number of eligible workers.
    std::uint32_t considered = 0; ///< Number of workers examined.
    double firstScore = 0; ///< Score of the chosen worker; lower is better.
    double secondScore = 0; ///< Score of the runner-up; 0 if there was none.
    std::vector<std::uint32_t> excluded; ///< Number of excluded workers, by ExcludeReason.
};

} // namespace Filbertlanding
