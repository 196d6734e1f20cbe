/** @file worker_type.h Messages between a worker and its owning daemon, and the states of workers and tasks. */

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
    Starting, ///< The task has been accepted and is being started.
    Running, ///< The task runs with its full resources.
    Throttled, ///< The task runs with reduced resources.
    Checkpointed, ///< The task has written a checkpoint and stopped.
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

/** Command of a daemon to a worker for a task. */
enum class TaskCommandKind : std::uint8_t {
    Start, ///< Start the task, from its checkpoint if there is one.
    Checkpoint, ///< Write a checkpoint and stop the task.
    Throttle, ///< Reduce the task's resources.
    Unthrottle, ///< Restore the task's full resources.
    Stop, ///< Stop the task without a checkpoint.
    Forget, ///< Stop reporting the task; the daemon has recorded its end.
};

constexpr auto TaskCommandKindNames = makeNameTable<TaskCommandKind>({{TaskCommandKind::Start, "start"},
                                                                      {TaskCommandKind::Checkpoint, "checkpoint"},
                                                                      {TaskCommandKind::Throttle, "throttle"},
                                                                      {TaskCommandKind::Unthrottle, "unthrottle"},
                                                                      {TaskCommandKind::Stop, "stop"},
                                                                      {TaskCommandKind::Forget, "forget"}});

/** State of a worker in the registry of a daemon. */
enum class WorkerState : std::uint8_t {
    Announced, ///< The worker has reported, but has not yet acknowledged an answer.
    Healthy, ///< The worker reports in time.
    Suspect, ///< A report is overdue; the worker gets no new work.
    Quarantined, ///< Several different jobs failed on the worker; it gets no batch tasks.
    Leaving, ///< The worker announced that it is leaving, or operators set it to leaving; it gets no new work.
    Gone, ///< The ownership lease has ended, or the worker was handed over.
};

constexpr auto WorkerStateNames = makeNameTable<WorkerState>({{WorkerState::Announced, "announced"},
                                                              {WorkerState::Healthy, "healthy"},
                                                              {WorkerState::Suspect, "suspect"},
                                                              {WorkerState::Quarantined, "quarantined"},
                                                              {WorkerState::Leaving, "leaving"},
                                                              {WorkerState::Gone, "gone"}});

/** Slots of one service on a worker. */
struct ServiceSlots {
    ServiceName service;
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    /** Requests in flight with a lower owner epoch than that of the report. The new owner counts their slots as used. */
    std::uint32_t earlierInFlight = 0;
};

/** Latency of one service, measured by a worker. */
struct ServiceLatency {
    ServiceName service;
    double quantileMs = 0; ///< 99th percentile of the response time, in milliseconds.
    std::uint32_t samples = 0; ///< Number of measured requests.
};

/** Measured usage of a worker. Measurements are delayed. */
struct Usage {
    Resources used; ///< Total usage of all tasks and requests.
    Duration age; ///< Age of the measurement when the report was sent.
    std::vector<ServiceLatency> latencies; ///< One entry per service that had requests in the measured period.
};

/** Specification of a batch task. */
struct TaskSpec {
    ServiceName service; ///< Service that the job belongs to.
    TeamName team; ///< Team whose quota is charged.
    std::string jobClass; ///< Class of similar jobs, used for learned estimates.
    Resources declared; ///< Resources declared by the submitter.
    Resources limit; ///< Resources that the task may use.
    std::string payload; ///< Input of the task.
};

/** State of one task in a worker's report. */
struct TaskReport {
    JobId job;
    std::uint64_t epoch = 0; ///< Fencing token of the attempt.
    TaskState state = TaskState::Starting;
    double progress = 0; ///< From 0 to 1.
    std::string checkpoint; ///< Set in state Checkpointed.
    Resources used; ///< Measured usage of the task.
    std::string result; ///< Result or error text, if the task has ended.
};

/** Command for one task. */
struct TaskCommand {
    TaskCommandKind kind = TaskCommandKind::Start;
    JobId job;
    std::uint64_t epoch = 0; ///< Fencing token of the attempt.
    TaskSpec spec; ///< For Start.
    std::string checkpoint; ///< For Start: checkpoint to resume from; empty for a first start.
};

/** Report of a worker to a daemon. */
struct WorkerReport {
    WorkerName worker;
    std::uint64_t incarnation = 0; ///< Increases with each restart of the worker; below 2^37, for example the start time in seconds.
    ZoneName availabilityZone; ///< Availability zone of the worker.
    std::string rack; ///< Rack of the worker.
    std::string address; ///< IP address at which the worker accepts requests.
    std::uint16_t port = 0; ///< Port at which the worker accepts requests.
    std::vector<ServiceSlots> services; ///< Services that the worker offers.
    Resources capacity; ///< Resources for batch tasks.
    bool leaving = false; ///< The worker accepts no new work.
    std::uint64_t sequence = 0; ///< Increases with each report of this incarnation. The contents of a report that arrives out of order are ignored.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch of the report.
    std::uint64_t acknowledged = 0; ///< Highest answer number received under this owner epoch; 0 for none.
    std::uint64_t ownerIncarnation = 0; ///< Incarnation of the daemon process that sent the acknowledged answer.
    std::uint32_t inFlight = 0; ///< Requests in flight, of all services and epochs.
    Usage usage; ///< Measured usage.
    std::vector<TaskReport> tasks; ///< Tasks whose state has changed since the last acknowledged report.
};

/** Answer of a daemon to a report. */
struct ReportAnswer {
    ResultCode code = ResultCode::Ok; ///< Ok, NotOwner (the worker is to report to the given owner) or StaleOwner.
    std::uint64_t number = 0; ///< Number of the answer; 0 if its acknowledgement grants no lease.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch of the report.
    std::uint64_t ownerIncarnation = 0; ///< Incarnation of the answering daemon process.
    std::string ownerAddress; ///< IP address of the daemon to report to.
    std::uint16_t ownerPort = 0; ///< Port of the daemon to report to.
    Duration reportInterval; ///< Time between two reports.
    Duration ownerLease; ///< Duration of the ownership lease.
    Duration taskLease; ///< Duration of the task leases.
    std::vector<TaskCommand> commands; ///< Commands for tasks.
};

/** Endpoint at which a daemon accepts reports. */
struct DaemonEndpoint {
    DaemonName name;
    ZoneName availabilityZone;
    std::string address; ///< IP address.
    std::uint16_t port = 0;

    bool operator==(const DaemonEndpoint &) const = default;
};

} // namespace Filbertlanding
