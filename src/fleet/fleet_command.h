/** @file fleet_command.h Commands of the replicated state of the fleet, and their encoded form. */

#pragma once

#include "fleet/fleet_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Filbertlanding {

/** Puts a manifest in force if its version is higher than the one held. */
struct PutManifest {
    FleetManifest manifest;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest);
    }
};

/** Takes the workers of a zone out of use, or back. */
struct SetZoneDrained {
    ZoneName availabilityZone;
    bool isDrained = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->availabilityZone, this->isDrained);
    }
};

/** A life of a worker has appeared, or says something new of itself. */
struct RegisterWorker {
    WorkerProfile profile;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->profile);
    }
};

/** A life of a worker has ended; its runs are lost. */
struct EndIncarnation {
    IncarnationNumber incarnation = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation);
    }
};

/** Accepts a job. */
struct SubmitFleetJob {
    JobId id;
    std::string host; ///< Host of its queue.
    std::string pathPrefix; ///< Path prefix of its queue.
    WallTime at;
    JobSpec spec;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->host, this->pathPrefix, this->at, this->spec);
    }
};

/** Cancels a job, also one that has not arrived yet. */
struct CancelFleetJob {
    JobId id;
    WallTime at;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->at);
    }
};

/** Opens an occurrence of a repeated job that is due. */
struct OpenOccurrence {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->job, this->occurrence);
    }
};

/** A run is about to be ordered from a worker. */
struct StartRun {
    TaskRef task;
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->incarnation);
    }
};

/** A run has ended. */
struct EndRun {
    TaskRef task;
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;
    RunOutcome outcome = RunOutcome::Lost;
    std::string checkpoint; ///< Progress that it saved; empty if none.
    WallTime at;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->incarnation, this->outcome, this->checkpoint, this->at);
    }
};

/** Starts maintenance of some machines, a bounded number at a time. */
struct StartMaintenanceWave {
    std::uint64_t wave = 0;
    std::vector<std::string> machines;
    Duration duration; ///< Time in which all of it should be done.
    std::uint32_t maxConcurrent = 1; ///< Machines that may be away at the same time.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->wave, this->machines, this->duration, this->maxConcurrent);
    }
};

/** Notes how far the maintenance of one machine is. */
struct SetMaintenanceStage {
    std::uint64_t wave = 0;
    std::string machine;
    std::uint8_t stage = 0; ///< 1 is about to begin, 2 has begun, 3 is back or gone.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->wave, this->machine, this->stage);
    }
};

/** Keeps what the leader has learned, for the next one. */
struct SaveLearnedModel {
    std::string model; ///< Encoded LearnedModel.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->model);
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
                                  SaveLearnedModel>;

/** Returns the payload of a log entry with these commands. */
std::string encodeCommands(const std::vector<FleetCommand> &commands);

/** Returns the commands of a log entry; nothing when it cannot be decoded. */
std::optional<std::vector<FleetCommand>> decodeCommands(std::string_view payload);

} // namespace Filbertlanding
