/** @file fleet_state_base.h The replicated state of the fleet: manifest, workers, jobs and their runs. */

#pragma once

#include "fleet/crash_evidence.h"
#include "fleet/fleet_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Filbertlanding {

constexpr char CrashHistoryFormat = 3; ///< First format version of snapshots with the history of crashes and the reason of a failure.
constexpr char ReportSequenceFormat = 4; ///< First format version of snapshots with the sequence numbers of reports.
constexpr char RetentionClockFormat = 5; ///< First format version of snapshots with the retention clock.
constexpr char EndedJobFormat = 7; ///< First format version of snapshots that list ended jobs apart from the others.

/** A run that may be executing on a worker. */
struct ActiveRun {
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;
    TimePoint startAppliedAt; ///< Time on this replica's clock at which it has applied the start; 0 if unknown. Not replicated.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->run, this->incarnation);
    }
};

/** State of a task. */
struct TaskRecord {
    std::uint32_t lastRun = 0; ///< Number of the latest run; run numbers of a task increase.
    std::uint32_t failures = 0; ///< Number of failed runs.
    bool isDone = false;
    std::string checkpoint; ///< Latest checkpoint.
    std::vector<ActiveRun> active; ///< Runs that may be executing; more than one only if speculative copies are allowed.
    CrashHistory crashHistory; ///< Crashes of workers under the task.
    TimePoint idleSince; ///< Time on this replica's clock since which the task has had no run; 0 if unknown. Not replicated.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->lastRun, this->failures, this->isDone, this->checkpoint, this->active);
        if (archive.hasFieldsOf(CrashHistoryFormat)) {
            archive(this->crashHistory);
        }
    }
};

/** State of a step of an occurrence. */
struct StepRecord {
    std::vector<TaskRecord> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0; ///< Number of tasks with an active run.
    std::uint32_t lastFailedRun = 0; ///< Gangs: number of the latest run that was counted as failed.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->tasks, this->doneCount, this->activeCount, this->lastFailedRun);
    }
};

/** One execution of all steps of a job. */
struct Occurrence {
    std::vector<StepRecord> steps;
    bool isComplete = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->steps, this->isComplete);
    }
};

/** State of an accepted job. */
struct FleetJob {
    JobNumber number = 0;
    JobId id;
    std::string host; ///< Host name of the queue.
    std::string pathPrefix; ///< Path prefix of the queue.
    QueueConfig queue; ///< Configuration of the queue as of the latest manifest that contains it.
    JobSpec spec;
    FleetJobState state = FleetJobState::Queued;
    WallTime acceptedAt;
    WallTime endedAt;
    std::map<std::uint32_t, Occurrence> occurrences; ///< Occurrences that are not complete, or on whose tasks workers may still work.
    std::uint32_t completeCount = 0; ///< Number of completed occurrences.
    JobFailure failure = JobFailure::None; ///< Why the job has failed.
    Duration endedOnClock; ///< Retention clock when the job ended.
    AccountTerms account; ///< Account that submitted the job, with its terms as of the latest manifest that contains it; no name for none.
    std::size_t memoryBytes = 0; ///< Estimated memory use. Derived from the other fields, not part of snapshots.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->id, this->host, this->pathPrefix, this->queue, this->spec, this->state, this->acceptedAt, this->endedAt);
        archive(this->occurrences, this->completeCount);
        if (archive.hasFieldsOf(CrashHistoryFormat)) {
            archive(this->failure);
        }
        if (archive.hasFieldsOf(RetentionClockFormat)) {
            archive(this->endedOnClock);
        }
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->account);
        }
    }
};

/** Account and queue of a job. */
struct JobOrigin {
    AccountName account; ///< Account that submitted the job; empty for none.
    std::string host; ///< Host name of the queue.
    std::string pathPrefix; ///< Path prefix of the queue.

    bool operator==(const JobOrigin &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->account, this->host, this->pathPrefix);
    }
};

/** What is kept of an ended job whose runs have all ended: its callers may still ask for its state, submit it again or cancel it. */
struct EndedJob {
    JobNumber number = 0;
    JobId id;
    JobOrigin origin;
    FleetJobState state = FleetJobState::Completed;
    JobFailure failure = JobFailure::None; ///< Why the job has failed.
    WallTime endedAt;
    Duration endedOnClock; ///< Retention clock when the job ended.

    bool operator==(const EndedJob &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->id, this->origin, this->state, this->failure, this->endedAt, this->endedOnClock);
    }
};

/** A cancellation that arrived before the submission of its job. */
struct EarlyCancellation {
    WallTime at;
    Duration onClock; ///< Retention clock when it was applied.
    std::vector<AccountName> accounts; ///< Accounts that have cancelled the job; an empty name for a caller without one.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->at);
        if (archive.hasFieldsOf(RetentionClockFormat)) {
            archive(this->onClock);
        }
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->accounts);
        } else if constexpr (Archive::is_loading::value) {
            this->accounts = {AccountName()};
        }
    }
};

/** State of an incarnation of a worker. */
struct WorkerIncarnation {
    IncarnationNumber number = 0;
    WorkerProfile profile;
    bool hasEnded = false; ///< The process has ended, and with it all runs.
    bool hasPredecessor = false; ///< An earlier worker had the same name, so orders for that one may reach this incarnation.
    bool isCrashRecorded = false; ///< Its crash is in the histories of the tasks that ran on it.
    std::uint64_t reportSequence = 0; ///< Sequence number of the report with the profile; 0 if unknown.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->profile, this->hasEnded, this->hasPredecessor);
        if (archive.hasFieldsOf(CrashHistoryFormat)) {
            archive(this->isCrashRecorded);
        }
        if (archive.hasFieldsOf(ReportSequenceFormat)) {
            archive(this->reportSequence);
        }
    }
};

/** Stage of the maintenance of a host. */
enum class MaintenanceStage : std::uint8_t { Waiting, Starting, Started, Finished };

constexpr MaintenanceStage lastEnumerator(MaintenanceStage)
{
    return MaintenanceStage::Finished;
}

/** A maintenance wave over several hosts. */
struct MaintenanceWave {
    std::map<std::string, MaintenanceStage> machines;
    Duration duration; ///< Time in which the whole wave should complete.
    std::uint32_t maxConcurrent = 1; ///< Maximum number of hosts that are down at the same time.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->machines, this->duration, this->maxConcurrent);
    }
};

/** Estimated memory use of what callers have made the state hold, in bytes. */
struct StateMemory {
    std::size_t jobs = 0; ///< Jobs that have not ended, and ended ones whose runs workers may still have.
    std::size_t endedJobs = 0; ///< What is kept of the other ended jobs.
    std::size_t cancellations = 0; ///< Cancellations that arrived before their submission.

    bool operator==(const StateMemory &) const = default;
};

/** The replicated state of the fleet. */
struct FleetState {
    FleetManifest manifest;
    std::set<ZoneName> drainedZones;
    std::map<IncarnationNumber, WorkerIncarnation> incarnations; ///< Incarnations that may still have active runs, and the latest incarnation of each worker.
    std::map<WorkerName, IncarnationNumber> latestIncarnation;
    std::map<JobNumber, FleetJob> jobs; ///< Jobs that have not ended, and ended ones until an advance of the retention clock after the end of their runs.
    std::set<JobNumber> endingJobs; ///< The ended ones among `jobs`. Derived, not part of snapshots.
    std::map<JobNumber, EndedJob> endedJobs; ///< Ended jobs until their retention time has passed.
    std::set<std::pair<Duration, JobNumber>> endedOrder; ///< Retention clock at the end of each of these, and its number. Derived, not part of snapshots.
    std::map<JobId, JobNumber> jobNumbers; ///< Numbers of all jobs that are known.
    std::map<JobId, EarlyCancellation> cancelledBeforeSubmission; ///< Jobs cancelled before their submission arrived, so that a late submission does not run.
    std::map<std::uint64_t, MaintenanceWave> waves;
    AccountUsage accountUsage; ///< Requests of all active runs by account. Derived from the jobs, not part of snapshots.
    StateMemory memory; ///< Estimated memory use of jobs and cancellations. Derived, not part of snapshots.
    std::string learnedModel; ///< Encoded model saved by the latest leader; empty if none has been saved.
    JobNumber lastJobNumber = 0;
    IncarnationNumber lastIncarnationNumber = 0;
    TimePoint appliedAt; ///< Time on this replica's clock at which it applies the present command. Not replicated.
    Duration retentionClock; ///< Time that leaders have counted. Unlike the time of day it cannot be set, so ended jobs are kept as long as promised.
};

/** Returns whether a job state is final. */
constexpr bool hasEnded(FleetJobState state)
{
    return state == FleetJobState::Completed || state == FleetJobState::Failed || state == FleetJobState::Cancelled;
}

} // namespace Filbertlanding
