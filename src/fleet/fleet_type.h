/** @file fleet_type.h Plain types of jobs with steps that one scheduler runs on a fleet of workers. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Filbertlanding {

using JobNumber = std::uint64_t; ///< Number that the log gave to a job.
using IncarnationNumber = std::uint32_t; ///< Number that the log gave to one life of a worker, from its start to its end.

/** State of a job as its caller sees it. */
enum class FleetJobState : std::uint8_t {
    Queued, ///< No task has started.
    Running,
    Completed, ///< Every task has ended done.
    Failed, ///< A task has failed as often as its queue allows.
    Cancelled,
};

constexpr FleetJobState lastEnumerator(FleetJobState)
{
    return FleetJobState::Cancelled;
}

/** How a run of a task ended. */
enum class RunOutcome : std::uint8_t {
    Done,
    Failed, ///< Through its own fault or the worker's; counts as an attempt.
    Stopped, ///< On an order to stop.
    LeaseExpired, ///< The worker's lease ran out.
    GangBroken, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not come.
    Lost, ///< It never ran, or its worker ended.
};

constexpr RunOutcome lastEnumerator(RunOutcome)
{
    return RunOutcome::Lost;
}

/** One step of a job: tasks that are alike. */
struct StepSpec {
    std::uint32_t taskCount = 0;
    Resources request; ///< What each task asks for.
    Duration estimate; ///< Rough run time of a task, as the caller states it.
    std::vector<std::uint32_t> dependsOn; ///< Earlier steps all of whose tasks must be done first.
    bool isCheckpointed = false; ///< The tasks save their progress from time to time.
    bool isGang = false; ///< The tasks work only together, and end done together.
    bool prefersSameRack = false; ///< A gang that is much slower across racks.
    std::string requiredLabel; ///< Label that the worker must have; empty for any worker.
    std::string dataRack; ///< Rack of the data; tasks are much slower elsewhere. Empty if there is none.
    std::uint32_t maxPerWorker = 0; ///< Most tasks of an occurrence on one worker; 0 for no limit.
    bool allowsSpeculativeCopies = false; ///< Copies of a task may run at once; the first one that is done counts.
    bool isLongRunning = false; ///< The tasks run until the job is cancelled, and start again however they end.
    std::string image; ///< Tasks of the same image behave alike.
    Duration latencyTarget; ///< Lasting tasks: the tail of their response times must stay below it; 0 if there is none.
    bool usesSpareCapacity = false; ///< The processor request is not counted; the tasks get what others leave unused.
    std::uint32_t maxUnavailable = 0; ///< Lasting tasks that may be away at once through the scheduler's doing.
    bool hasMaxUnavailable = false; ///< Whether maxUnavailable was stated.

    bool operator==(const StepSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->taskCount, this->request, this->estimate, this->dependsOn, this->isCheckpointed, this->isGang, this->prefersSameRack);
        archive(this->requiredLabel, this->dataRack, this->maxPerWorker, this->allowsSpeculativeCopies, this->isLongRunning, this->image, this->latencyTarget);
        archive(this->usesSpareCapacity, this->maxUnavailable, this->hasMaxUnavailable);
    }
};

/** What a caller submits. */
struct JobSpec {
    std::string payload; ///< Passed to every task unchanged.
    std::vector<StepSpec> steps;
    std::uint32_t repeatCount = 0; ///< Occurrences; 0 for a job that runs once.
    WallTime startAt; ///< When the first occurrence is due.
    Duration interval; ///< Time between occurrences.

    bool operator==(const JobSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->payload, this->steps, this->repeatCount, this->startAt, this->interval);
    }
};

/** Timing of a queue's advice service, which alone knows the workers that may run a step. */
struct PlacementHintSettings {
    bool isRequired = false;
    Duration validity; ///< How long a ticket holds.

    bool operator==(const PlacementHintSettings &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->isRequired, this->validity);
    }
};

/** A queue: where callers hand in jobs, and how these are run. */
struct QueueConfig {
    std::string name; ///< Name for people.
    std::string host; ///< Host name that callers address; lower case.
    std::string pathPrefix; ///< Beginning of the paths of the queue.
    ServiceName service; ///< Workers of this service run the tasks.
    std::int64_t priority = 0; ///< 0 goes first.
    std::uint32_t maxAttempts = 1; ///< Failed runs of a task after which its job has failed.
    std::int64_t stretchPerMille = 1000; ///< The latency objective is this share of the longest chain of work, ...
    Duration latencyAllowance; ///< ... and this much more.
    Duration requestTimeout; ///< Time of a call of a caller.
    PlacementHintSettings placementHint;

    bool operator==(const QueueConfig &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->host, this->pathPrefix, this->service, this->priority, this->maxAttempts, this->stretchPerMille);
        archive(this->latencyAllowance, this->requestTimeout, this->placementHint);
    }
};

/** A service: a pool of workers. */
struct FleetService {
    ServiceName name;
    bool workersEnforceCapacity = true; ///< The workers refuse what does not fit; otherwise only the scheduler guards their room.
    bool isStandby = false; ///< A pool of spare hosts that are off.

    bool operator==(const FleetService &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->workersEnforceCapacity, this->isStandby);
    }
};

/** The whole configuration; the highest version holds. */
struct FleetManifest {
    std::uint64_t version = 0; ///< 0 before the first one.
    std::string document; ///< As the operator sent it, for reading it back and for telling a resend from other content.
    std::vector<QueueConfig> queues;
    std::vector<FleetService> services;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->document, this->queues, this->services);
    }
};

/** What a worker says of itself. */
struct WorkerProfile {
    WorkerName worker; ///< Name; a worker that starts again may have the same one.
    std::int64_t startedAtMs = 0; ///< Calendar time of its start; tells its lives apart.
    std::string address; ///< IP number and port for orders.
    ZoneName availabilityZone;
    ServiceName service;
    Resources capacity;
    std::vector<std::string> labels; ///< All labels, the rack among them.
    std::string rack; ///< Rack; empty if not told.
    std::string machine; ///< Host that it runs on; empty if not told.
    bool isDraining = false;

    bool operator==(const WorkerProfile &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->worker, this->startedAtMs, this->address, this->availabilityZone, this->service, this->capacity, this->labels, this->rack, this->machine);
        archive(this->isDraining);
    }
};

/** Names one task. */
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
