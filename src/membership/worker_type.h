/** @file worker_type.h Messages between a worker and the daemon that owns it, and the states of workers and tasks. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"
#include "core/names_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** State of a batch task on a worker. */
enum class TaskState : std::uint8_t {
    Starting, ///< The task was accepted and is being started.
    Running, ///< The task runs at full speed.
    Throttled, ///< The task runs with reduced resources.
    Checkpointed, ///< The task wrote a checkpoint and has stopped.
    Finished, ///< The task has ended with a result.
    Failed, ///< The task has ended with an error.
    Stopped, ///< The task was stopped without a checkpoint.
};

constexpr auto TaskStateNames = makeNameTable<TaskState>({{TaskState::Starting, "starting"},
                                                          {TaskState::Running, "running"},
                                                          {TaskState::Throttled, "throttled"},
                                                          {TaskState::Checkpointed, "checkpointed"},
                                                          {TaskState::Finished, "finished"},
                                                          {TaskState::Failed, "failed"},
                                                          {TaskState::Stopped, "stopped"}});

/** What a daemon tells a worker to do with a task. */
enum class TaskCommandKind : std::uint8_t {
    Start, ///< Start the task, from the checkpoint if there is one.
    Checkpoint, ///< Write a checkpoint and stop.
    Throttle, ///< Reduce the task's resources.
    Unthrottle, ///< Give the task its full resources.
    Stop, ///< Stop without a checkpoint.
    Forget, ///< The end of the task is recorded; report it no longer.
};

constexpr auto TaskCommandKindNames = makeNameTable<TaskCommandKind>({{TaskCommandKind::Start, "start"},
                                                                      {TaskCommandKind::Checkpoint, "checkpoint"},
                                                                      {TaskCommandKind::Throttle, "throttle"},
                                                                      {TaskCommandKind::Unthrottle, "unthrottle"},
                                                                      {TaskCommandKind::Stop, "stop"},
                                                                      {TaskCommandKind::Forget, "forget"}});

/** State of a worker as its daemon sees it. */
enum class WorkerState : std::uint8_t {
    Announced, ///< It has reported, but has not yet acknowledged an answer.
    Healthy, ///< It reports in time.
    Suspect, ///< Its report is overdue; it gets no new work.
    Quarantined, ///< Different jobs failed on it; it gets no batch task.
    Leaving, ///< It announced that it leaves, or operators said so; it gets no new work.
    Gone, ///< Its lease has ended, or it was handed over.
};

constexpr auto WorkerStateNames = makeNameTable<WorkerState>({{WorkerState::Announced, "announced"},
                                                              {WorkerState::Healthy, "healthy"},
                                                              {WorkerState::Suspect, "suspect"},
                                                              {WorkerState::Quarantined, "quarantined"},
                                                              {WorkerState::Leaving, "leaving"},
                                                              {WorkerState::Gone, "gone"}});

/** Slots of one service on a worker. */
struct ServiceSlots {
    ServiceName service; ///< The service.
    std::uint32_t slots = 0; ///< Requests that the worker can hold at once.
    /** Requests in flight that carry a lower owner epoch than the report. The new owner counts them as used. */
    std::uint32_t earlierInFlight = 0;
};

/** Latency that a worker measured for one service. */
struct ServiceLatency {
    ServiceName service; ///< The service.
    double quantileMs = 0; ///< 99th percentile of the answer time, in milliseconds.
    std::uint32_t samples = 0; ///< Number of requests measured.
};

/** Measured usage of a worker. It arrives late. */
struct Usage {
    Resources used; ///< Sum over all tasks and requests.
    Duration age; ///< Age of the measurement when the report was sent.
    std::vector<ServiceLatency> latencies; ///< One entry for each service with requests in the measured time.
};

/** A batch task to start. */
struct TaskSpec {
    ServiceName service; ///< Service that the job belongs to.
    TeamName team; ///< Team whose quota it uses.
    std::string jobClass; ///< Class of similar jobs, for learned estimates.
    Resources declared; ///< Size that the submitter declared.
    Resources limit; ///< Resources that the task may use.
    std::string payload; ///< Input of the task.
};

/** State of one task in a worker's report. */
struct TaskReport {
    JobId job; ///< The job.
    std::uint64_t epoch = 0; ///< Fencing token of the attempt.
    TaskState state = TaskState::Starting; ///< State of the task.
    double progress = 0; ///< From 0 to 1.
    std::string checkpoint; ///< Set in state Checkpointed.
    Resources used; ///< Measured usage of the task.
    std::string result; ///< Result or error text in an end state.
};

/** One command for a task. */
struct TaskCommand {
    TaskCommandKind kind = TaskCommandKind::Start; ///< What to do.
    JobId job; ///< The job.
    std::uint64_t epoch = 0; ///< Fencing token of the attempt.
    TaskSpec spec; ///< For Start.
    std::string checkpoint; ///< For Start: where to resume, empty for a first start.
};

/** Report of a worker to a daemon. */
struct WorkerReport {
    WorkerName worker; ///< Name of the worker.
    std::uint64_t incarnation = 0; ///< Higher after each restart of the worker, below 2^37; for example the start time in seconds.
    ZoneName availabilityZone; ///< Zone of the worker.
    std::string rack; ///< Rack of the worker.
    std::string address; ///< IP number at which the worker takes requests.
    std::uint16_t port = 0; ///< Port at which the worker takes requests.
    std::vector<ServiceSlots> services; ///< Services that it offers.
    Resources capacity; ///< Resources for batch tasks.
    bool leaving = false; ///< The worker takes no new work.
    std::uint64_t sequence = 0; ///< Increases with each report of this incarnation; the contents of an overtaken report are ignored.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch under which it reports.
    std::uint64_t acknowledged = 0; ///< Highest answer number received under this owner epoch, 0 for none.
    std::uint64_t ownerIncarnation = 0; ///< Incarnation of the daemon process that sent the acknowledged answer.
    std::uint32_t inFlight = 0; ///< Requests in flight, all services and epochs.
    Usage usage; ///< Measured usage.
    std::vector<TaskReport> tasks; ///< Tasks whose state changed since the last acknowledged report.
};

/** Answer of a daemon to a report. */
struct ReportAnswer {
    ResultCode code = ResultCode::Ok; ///< Ok, NotOwner (report to the named owner instead) or StaleOwner.
    std::uint64_t number = 0; ///< Number of the answer, 0 when it grants nothing.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch of the report that is answered.
    std::uint64_t ownerIncarnation = 0; ///< Incarnation of the answering daemon process.
    std::string ownerAddress; ///< IP number of the daemon to report to.
    std::uint16_t ownerPort = 0; ///< Port of the daemon to report to.
    Duration reportInterval; ///< Time between two reports.
    Duration ownerLease; ///< Length of the ownership lease.
    Duration taskLease; ///< Length of the task leases.
    std::vector<TaskCommand> commands; ///< Commands for tasks.
};

/** Where a daemon takes reports. */
struct DaemonEndpoint {
    DaemonName name; ///< Name of the daemon.
    ZoneName availabilityZone; ///< Zone of the daemon.
    std::string address; ///< IP number.
    std::uint16_t port = 0; ///< Port.

    bool operator==(const DaemonEndpoint &) const = default;
};

} // namespace Filbertlanding
