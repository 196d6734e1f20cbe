/** @file fleet_command.h Commands that change the replicated state of the fleet, and their encoding. */

#pragma once

#include "fleet/fleet_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Filbertlanding {

constexpr char ReportSequenceCommandFormat = 2; ///< First format version of commands with the sequence number of a report.
constexpr char RetentionClockCommandFormat = 3; ///< First format version of commands from which on retention is counted by AdvanceRetentionClock.
constexpr char JobStartCommandFormat = 7; ///< First format version of commands with RecordJobStart.

/** Puts a manifest in force if its version is higher than the present one. */
struct PutManifest {
    FleetManifest manifest;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest);
    }
};

/** Sets whether the workers of an availability zone are drained. */
struct SetZoneDrained {
    ZoneName availabilityZone;
    bool isDrained = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->availabilityZone, this->isDrained);
    }
};

/** Registers an incarnation of a worker, or updates its profile. */
struct RegisterWorker {
    WorkerProfile profile;
    std::uint64_t reportSequence = 0; ///< Sequence number of the report with the profile; 0 if unknown.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->profile);
        if (archive.hasFieldsOf(ReportSequenceCommandFormat)) {
            archive(this->reportSequence);
        }
    }
};

/** Ends an incarnation of a worker; its active runs are lost. */
struct EndIncarnation {
    IncarnationNumber incarnation = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation);
    }
};

/** Accepts a job into a queue. */
struct SubmitFleetJob {
    JobId id;
    std::string host; ///< Host name of the queue.
    std::string pathPrefix; ///< Path prefix of the queue.
    WallTime at;
    JobSpec spec;
    AccountName account; ///< Account of the caller; empty for none.
    KeyDigest keyDigest; ///< Key of the call, which the account must still have when the command is applied.
    bool removesByWallTime = false; ///< The command is of a log that removed ended jobs by the time of day; it must have the same effect again.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->host, this->pathPrefix, this->at, this->spec);
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->account, this->keyDigest);
        }
        if constexpr (Archive::is_loading::value) {
            this->removesByWallTime = !archive.hasFieldsOf(RetentionClockCommandFormat);
        }
    }
};

/** Cancels a job, even if its submission has not been applied yet. */
struct CancelFleetJob {
    JobId id;
    WallTime at;
    AccountName account; ///< Account of the caller; empty for none.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->at);
        if (archive.hasFieldsOf(AccountFormat)) {
            archive(this->account);
        }
    }
};

/** Opens a due occurrence of a repeated job. */
struct OpenOccurrence {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->occurrence);
    }
};

/** Records a run before its start order is sent to the worker. Whether the worker starts it is not known then. */
struct StartRun {
    TaskRef task;
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;
    bool startsJob = false; ///< The command is of a log in which a recorded run counted as started; it must have the same effect again.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->incarnation);
        if constexpr (Archive::is_loading::value) {
            this->startsJob = !archive.hasFieldsOf(JobStartCommandFormat);
        }
    }
};

/** Records the outcome of a run. */
struct EndRun {
    TaskRef task;
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;
    RunOutcome outcome = RunOutcome::Lost;
    std::string checkpoint; ///< Checkpoint saved by the run; empty if there is none.
    WallTime at;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->incarnation, this->outcome, this->checkpoint, this->at);
    }
};

/** Starts a maintenance wave over a set of hosts, with a limit on how many are down at a time. */
struct StartMaintenanceWave {
    std::uint64_t wave = 0;
    std::vector<std::string> machines;
    Duration duration; ///< Time in which the whole wave should complete.
    std::uint32_t maxConcurrent = 1; ///< Maximum number of hosts that are down at the same time.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->wave, this->machines, this->duration, this->maxConcurrent);
    }
};

/** Advances the maintenance of a host to a stage. */
struct SetMaintenanceStage {
    std::uint64_t wave = 0;
    std::string machine;
    std::uint8_t stage = 0; ///< 1: about to start, 2: started, 3: the host is back or gone.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->wave, this->machine, this->stage);
    }
};

/** Stores the model that the leader has learned, for use by the next leader. */
struct SaveLearnedModel {
    std::string model; ///< Encoded LearnedModel.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->model);
    }
};

/** A run that was on a worker when it crashed. */
struct CrashedRun {
    TaskRef task;
    std::uint32_t run = 0;
    bool isStartKnown = false; ///< The leader has sent the start itself, and knows that it has arrived.
    Duration ranAtLeast; ///< Time from the start until the worker responded for the last time.
    Duration ranAtMost; ///< Time from the start until an order to the worker failed.
    std::uint32_t weight = 0; ///< Weight of the crash for the task; see crashWeight().

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->isStartKnown, this->ranAtLeast, this->ranAtMost, this->weight);
    }
};

/** Counts the crash of an incarnation for the tasks that ran on it. Fails the jobs whose tasks are thereby found to crash their workers. */
struct RecordCrash {
    IncarnationNumber incarnation = 0;
    std::vector<CrashedRun> runs;
    WallTime at;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->runs, this->at);
    }
};

/** Counts time for the retention of ended jobs, and removes those whose retention time has passed. */
struct AdvanceRetentionClock {
    Duration elapsed; ///< Time on the leader's steady clock since the previous advance of its leadership.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->elapsed);
    }
};

/** Records that a task of a job has started, as a worker has confirmed. */
struct RecordJobStart {
    JobNumber job = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->job);
    }
};

using FleetCommand = std::variant<PutManifest,
                                  SetZoneDrained,
                                  RegisterWorker,
                                  EndIncarnation,
                                  SubmitFleetJob,
                                  CancelFleetJob,
                                  OpenOccurrence,
                                  StartRun,
                                  EndRun,
                                  StartMaintenanceWave,
                                  SetMaintenanceStage,
                                  SaveLearnedModel,
                                  RecordCrash,
                                  AdvanceRetentionClock,
                                  RecordJobStart>;

constexpr std::size_t MaxEntryBytes =
    std::size_t{4} * 1024 * 1024 - std::size_t{64} * 1024; ///< Payload of a log entry; with its envelope it fits into a peer frame of 4 MiB.

/** Encodes commands as the payload of a log entry. */
std::string encodeCommands(const std::vector<FleetCommand> &commands);

/** Payload of a log entry, and how many commands it holds. */
struct EncodedEntry {
    std::string payload;
    std::size_t commands = 0;
};

/** Encodes as many of the first commands as surely fit into the bytes of one entry, and at least one. */
EncodedEntry encodeFirstCommands(const std::vector<FleetCommand> &commands, std::size_t maxBytes);

/** Decodes the payload of a log entry; returns nothing if it is malformed. */
std::optional<std::vector<FleetCommand>> decodeCommands(std::string_view payload);

} // namespace Filbertlanding
