/** @file fleet_snapshot.cpp Encoded form of the whole replicated state. */

#include "core/bounded_archive.h"
#include "fleet/fleet_state_func.h"

namespace Filbertlanding {

namespace {

    constexpr char SnapshotVersion = 2; ///< First byte of every snapshot.

    /** What a snapshot holds; the tables by name are made anew from it. */
    struct StoredState {
        FleetManifest manifest;
        std::vector<ZoneName> drainedZones;
        std::map<LifeNumber, WorkerLife> lives;
        std::map<JobNumber, FleetJob> jobs;
        std::map<JobId, WallTime> cancelledUnseen;
        std::map<std::uint64_t, MaintenanceWave> waves;
        std::string learned;
        JobNumber lastJob = 0;
        LifeNumber lastLife = 0;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(
                this->manifest, this->drainedZones, this->lives, this->jobs, this->cancelledUnseen, this->waves, this->learned, this->lastJob, this->lastLife);
        }
    };

} // namespace

std::string encodeFleetState(const FleetState &state)
{
    StoredState stored;
    stored.manifest = state.manifest;
    stored.drainedZones.assign(state.drainedZones.begin(), state.drainedZones.end());
    stored.lives = state.lives;
    stored.jobs = state.jobs;
    stored.cancelledUnseen = state.cancelledUnseen;
    stored.waves = state.waves;
    stored.learned = state.learned;
    stored.lastJob = state.lastJob;
    stored.lastLife = state.lastLife;
    return encodeVersioned(SnapshotVersion, stored);
}

ResultCode decodeFleetState(std::string_view bytes, FleetState &state)
{
    StoredState stored;
    const ResultCode code = decodeVersioned(SnapshotVersion, bytes, stored);
    if (code != ResultCode::Ok) {
        return code;
    }
    FleetState next;
    next.manifest = std::move(stored.manifest);
    next.drainedZones.insert(stored.drainedZones.begin(), stored.drainedZones.end());
    next.lives = std::move(stored.lives);
    next.jobs = std::move(stored.jobs);
    next.cancelledUnseen = std::move(stored.cancelledUnseen);
    next.waves = std::move(stored.waves);
    next.learned = std::move(stored.learned);
    next.lastJob = stored.lastJob;
    next.lastLife = stored.lastLife;
    for (const auto &[number, life] : next.lives) {
        // Lives are numbered in the order in which they appeared, so the last one of a worker is the latest.
        next.latestLife[life.profile.worker] = number;
    }
    for (const auto &[number, job] : next.jobs) {
        next.jobNumbers[job.id] = number;
    }
    state = std::move(next);
    return ResultCode::Ok;
}

} // namespace Filbertlanding
