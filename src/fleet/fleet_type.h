/** @file fleet_type.h Types of multi-step jobs, queues and workers of the fleet scheduler. */

#pragma once

#include "account/account_type.h"
#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Filbertlanding {

constexpr char AccountFormat = 6; ///< First format version of commands and of snapshots with client accounts.

using JobNumber = std::uint64_t; ///< Number assigned to a job when its submission is applied.
using IncarnationNumber = std::uint32_t; ///< Number assigned to one incarnation of a worker: one process from its start to its end.

/** State of a job as reported to its caller. */
enum class FleetJobState : std::uint8_t {
    Queued, ///< No worker has confirmed the start of a task yet. A gang starts when all of its tasks are there.
    Running,
    Completed, ///< All tasks are done.
    Failed, ///< See JobFailure.
    Cancelled,
};

constexpr FleetJobState lastEnumerator(FleetJobState)
{
    return FleetJobState::Cancelled;
}

/** Why a job has failed. */
enum class JobFailure : std::uint8_t {
    None, ///< It has not failed, or before the reason was recorded.
    AttemptsUsedUp, ///< A task has failed as often as its queue allows.
    CrashesWorkers, ///< A task crashes the workers that start it.
};

constexpr JobFailure lastEnumerator(JobFailure)
{
    return JobFailure::CrashesWorkers;
}

/** Outcome of a run of a task. */
enum class RunOutcome : std::uint8_t {
    Done,
    Failed, ///< The task or its worker failed; counts as an attempt.
    Stopped, ///< Stopped on request of the scheduler.
    LeaseExpired, ///< The task lease expired.
    GangBroken, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not start.
    Lost, ///< The run never started, or its worker ended.
    WorkerCrashed, ///< The process of its worker ended unannounced and came back.
};

constexpr RunOutcome lastEnumerator(RunOutcome)
{
    return RunOutcome::WorkerCrashed;
}

/** A step of a job: a number of tasks with the same requirements. */
struct StepSpec {
    std::uint32_t taskCount = 0;
    Resources request; ///< Resources requested for each task.
    Duration estimate; ///< Run time of a task as declared by the caller; may be far off.
    std::vector<std::uint32_t> dependsOn; ///< Indices of earlier steps whose tasks must all be done before this step starts.
    bool isCheckpointed = false; ///< Tasks save checkpoints from which another run can resume.
    bool isGang = false; ///< All tasks must run at the same time, and are done together.
    bool prefersSameRack = false; ///< The gang runs much slower when spread over several racks.
    std::string requiredLabel; ///< Label that a worker must have to run the tasks; empty for any worker.
    std::string dataRack; ///< Rack of the input data, outside of which tasks run much slower; empty if there is none.
    std::uint32_t maxPerWorker = 0; ///< Maximum number of tasks of one occurrence on one worker; 0 for no limit.
    bool allowsSpeculativeCopies = false; ///< Several runs of a task may be active at once; the first one that is done counts.
    bool isLongRunning = false; ///< Tasks run until the job is cancelled, and are restarted whatever their outcome.
    std::string image; ///< Image that the tasks run; tasks with the same image are assumed to behave alike.
    Duration latencyTarget; ///< Long-running tasks: upper bound of their tail latency; 0 if there is none.
    bool usesSpareCapacity = false; ///< The CPU request is not reserved; tasks use CPU time that other tasks leave idle.
    std::uint32_t maxUnavailable = 0; ///< Long-running tasks that the scheduler may take down at the same time.
    bool hasMaxUnavailable = false; ///< Whether the caller has set maxUnavailable.

    bool operator==(const StepSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->taskCount, this->request, this->estimate, this->dependsOn, this->isCheckpointed, this->isGang, this->prefersSameRack);
        archive(this->requiredLabel, this->dataRack, this->maxPerWorker, this->allowsSpeculativeCopies, this->isLongRunning, this->image, this->latencyTarget);
        archive(this->usesSpareCapacity, this->maxUnavailable, this->hasMaxUnavailable);
    }
};

/** A job as submitted by its caller. */
struct JobSpec {
    std::string payload; ///< Opaque data passed to every task.
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0; ///< Number of occurrences; 0 for a job that runs once.
    WallTime startAt; ///< Due time of the first occurrence.
    Duration interval; ///< Time between occurrences.

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->payload, this->steps, this->repeatCount, this->startAt, this->interval);
    }
};

/** Settings of a queue's hint service, which alone knows the workers that may run a step. */
struct PlacementHintSettings {
    bool isRequired = false;
    Duration validity; ///< Validity period of a ticket.

    bool operator==(const PlacementHintSettings &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->isRequired, this->validity);
    }
};

/** A queue: the endpoint to which callers submit jobs, and the rules for running them. */
struct QueueConfig {
    std::string name; ///< Display name.
    std::string host; ///< Host name of the endpoint, in lower case.
    std::string pathPrefix; ///< Prefix of the request paths that belong to the queue.
    ServiceName service; ///< Service whose workers run the tasks.
    std::int64_t priority = 0; ///< Priority; 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Number of failed runs of a task after which its job fails.
    std::int64_t stretchPerMille = 1000; ///< The latency objective is the critical path of the job times this factor, ...
    Duration latencyAllowance; ///< ... plus this allowance.
    Duration requestTimeout; ///< Timeout of a request of a caller.
    PlacementHintSettings placementHint;
    bool isPublic = false; ///< Calls need no API key.

    bool operator==(const QueueConfig &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->host, this->pathPrefix, this->service, this->priority, this->maxAttempts, this->stretchPerMille);
        archive(this->latencyAllowance, this->requestTimeout, this->placementHint);
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->isPublic);
        }
    }
};

/** A service: a pool of workers of one kind. */
struct FleetService {
    ServiceName name;
    bool workersEnforceCapacity = true; ///< Workers reject tasks that exceed their capacity; otherwise only the scheduler enforces it.
    bool isStandby = false; ///< Pool of standby hosts that are powered off.

    bool operator==(const FleetService &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->workersEnforceCapacity, this->isStandby);
    }
};

/** The complete configuration. The manifest with the highest version is in force. */
struct FleetManifest {
    std::uint64_t version = 0; ///< Version; 0 before the first manifest.
    std::string document; ///< Document as sent by the operator, returned on reads and compared to tell a resend from changed content.
    std::vector<QueueConfig> queues;
    std::vector<FleetService> services;
    bool hasAccounts = false; ///< The manifest lists accounts, possibly none; calls on queues that are not public then need a key.
    std::vector<ClientAccount> accounts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->document, this->queues, this->services);
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->hasAccounts, this->accounts);
        }
    }
};

/** Properties that a worker reports of itself. */
struct WorkerProfile {
    WorkerName worker; ///< Name; a restarted worker may have the same one.
    std::int64_t startedAtMs = 0; ///< Wall-clock time of the process start; distinguishes incarnations of the same name.
    std::string address; ///< IP address and port to which orders are sent.
    ZoneName availabilityZone;
    ServiceName service;
    Resources capacity;
    std::vector<std::string> labels; ///< All labels, including the rack.
    std::string rack; ///< Rack; empty if not reported.
    std::string machine; ///< Host on which the worker runs; empty if not reported.
    bool isDraining = false;

    bool operator==(const WorkerProfile &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->worker, this->startedAtMs, this->address, this->availabilityZone, this->service, this->capacity, this->labels, this->rack, this->machine);
        archive(this->isDraining);
    }
};

/** Identifies a step of an occurrence. */
struct StepRef {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator==(const StepRef &) const = default;
};

/** Identifies a task. */
struct TaskRef {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;

    bool operator<(const TaskRef &other) const
    {
        return std::tie(this->job, this->occurrence, this->step, this->index) < std::tie(other.job, other.occurrence, other.step, other.index);
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->occurrence, this->step, this->index);
    }
};

} // namespace Filbertlanding
