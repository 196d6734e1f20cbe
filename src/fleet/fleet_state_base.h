/** @file fleet_state_base.h The replicated state of the fleet: manifest, workers, jobs and their runs. */

#pragma once

#include "fleet/fleet_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** A run that a worker may be carrying out. */
struct ActiveRun {
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->run, this->incarnation);
    }
};

/** One task. */
struct TaskRecord {
    std::uint32_t lastRun = 0; ///< Number of its latest run; the next one gets a higher number.
    std::uint32_t failures = 0; ///< Runs that ended failed.
    bool isDone = false;
    std::string checkpoint; ///< Newest saved progress.
    std::vector<ActiveRun> active; ///< Runs that may be going on; more than one only where copies are allowed.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->lastRun, this->failures, this->isDone, this->checkpoint, this->active);
    }
};

/** Progress of one step of an occurrence. */
struct StepRecord {
    std::vector<TaskRecord> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0; ///< Tasks with an active run.
    std::uint32_t lastFailedRun = 0; ///< Gangs: latest run that counted as failed.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->tasks, this->doneCount, this->activeCount, this->lastFailedRun);
    }
};

/** One pass through the steps of a job. */
struct Occurrence {
    std::vector<StepRecord> steps;
    bool isComplete = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->steps, this->isComplete);
    }
};

/** An accepted job. */
struct FleetJob {
    JobNumber number = 0;
    JobId id;
    std::string host; ///< Host of its queue.
    std::string pathPrefix; ///< Path prefix of its queue.
    QueueConfig queue; ///< Its queue as last configured.
    JobSpec spec;
    FleetJobState state = FleetJobState::Queued;
    WallTime acceptedAt;
    WallTime endedAt;
    std::map<std::uint32_t, Occurrence> occurrences; ///< Those that are open or done; 0 alone for a job that runs once.
    std::uint32_t completeCount = 0; ///< Occurrences that are complete.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->id, this->host, this->pathPrefix, this->queue, this->spec, this->state, this->acceptedAt, this->endedAt);
        archive(this->occurrences, this->completeCount);
    }
};

/** One life of a worker. */
struct WorkerIncarnation {
    IncarnationNumber number = 0;
    WorkerProfile profile;
    bool hasEnded = false; ///< Nothing runs there any more.
    bool hasPredecessor = false; ///< The worker's name was known before, so orders that were meant for an earlier life may reach this one.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->profile, this->hasEnded, this->hasPredecessor);
    }
};

/** How far the maintenance of a machine is. */
enum class MaintenanceStage : std::uint8_t { Waiting, Starting, Started, Finished };

constexpr MaintenanceStage lastEnumerator(MaintenanceStage)
{
    return MaintenanceStage::Finished;
}

/** A wave of maintenance. */
struct MaintenanceWave {
    std::map<std::string, MaintenanceStage> machines;
    Duration duration;
    std::uint32_t maxConcurrent = 1;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->machines, this->duration, this->maxConcurrent);
    }
};

/** The replicated state. */
struct FleetState {
    FleetManifest manifest;
    std::set<ZoneName> drainedZones;
    std::map<IncarnationNumber, WorkerIncarnation> incarnations; ///< Lives that may still run something, and the latest life of each worker.
    std::map<WorkerName, IncarnationNumber> latestIncarnation;
    std::map<JobNumber, FleetJob> jobs;
    std::map<JobId, JobNumber> jobNumbers;
    std::map<JobId, WallTime> cancelledBeforeSubmission; ///< Cancelled before they arrived, so that a late copy of the submission does not run.
    std::map<std::uint64_t, MaintenanceWave> waves;
    std::string learnedModel; ///< What the last leader had learned, encoded; empty before the first time.
    JobNumber lastJobNumber = 0;
    IncarnationNumber lastIncarnationNumber = 0;
};

/** Returns whether a job has reached its final state. */
constexpr bool hasEnded(FleetJobState state)
{
    return state == FleetJobState::Completed || state == FleetJobState::Failed || state == FleetJobState::Cancelled;
}

} // namespace Filbertlanding
