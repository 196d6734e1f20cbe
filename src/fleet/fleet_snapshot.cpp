/** @file fleet_snapshot.cpp Encoding of the replicated state for snapshots. */

#include "core/bounded_archive.h"
#include "fleet/fleet_state_detail.h"

namespace Filbertlanding {

namespace {

    constexpr char SnapshotVersion = AccountFormat; ///< First byte of every snapshot.
    constexpr char OldestSnapshotVersion = 2; ///< Oldest version that can be read.

    /** Content of a snapshot. The lookup tables by name are rebuilt when it is decoded. */
    struct StoredState {
        FleetManifest manifest;
        std::vector<ZoneName> drainedZones;
        std::map<IncarnationNumber, WorkerIncarnation> incarnations;
        std::map<JobNumber, FleetJob> jobs;
        std::map<JobId, EarlyCancellation> cancelledBeforeSubmission;
        std::map<std::uint64_t, MaintenanceWave> waves;
        std::string learnedModel;
        JobNumber lastJobNumber = 0;
        IncarnationNumber lastIncarnationNumber = 0;
        Duration retentionClock;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(this->manifest,
                    this->drainedZones,
                    this->incarnations,
                    this->jobs,
                    this->cancelledBeforeSubmission,
                    this->waves,
                    this->learnedModel,
                    this->lastJobNumber,
                    this->lastIncarnationNumber);
            if (archive.hasFieldsOf(RetentionClockFormat)) {
                archive(this->retentionClock);
            }
        }
    };

} // namespace

std::string encodeFleetState(const FleetState &state)
{
    StoredState stored;
    stored.manifest = state.manifest;
    stored.drainedZones.assign(state.drainedZones.begin(), state.drainedZones.end());
    stored.incarnations = state.incarnations;
    stored.jobs = state.jobs;
    stored.cancelledBeforeSubmission = state.cancelledBeforeSubmission;
    stored.waves = state.waves;
    stored.learnedModel = state.learnedModel;
    stored.lastJobNumber = state.lastJobNumber;
    stored.lastIncarnationNumber = state.lastIncarnationNumber;
    stored.retentionClock = state.retentionClock;
    return encodeVersioned(SnapshotVersion, stored);
}

ResultCode decodeFleetState(std::string_view bytes, FleetState &state)
{
    StoredState stored;
    const ResultCode code = decodeVersioned(OldestSnapshotVersion, SnapshotVersion, bytes, stored);
    if (code != ResultCode::Ok) {
        return code;
    }
    FleetState next;
    next.manifest = std::move(stored.manifest);
    next.drainedZones.insert(stored.drainedZones.begin(), stored.drainedZones.end());
    next.incarnations = std::move(stored.incarnations);
    next.jobs = std::move(stored.jobs);
    next.cancelledBeforeSubmission = std::move(stored.cancelledBeforeSubmission);
    next.waves = std::move(stored.waves);
    next.learnedModel = std::move(stored.learnedModel);
    next.lastJobNumber = stored.lastJobNumber;
    next.lastIncarnationNumber = stored.lastIncarnationNumber;
    next.retentionClock = stored.retentionClock;
    for (const auto &[number, incarnation] : next.incarnations) {
        // Incarnations are numbered in order of registration, so the last one of each worker wins.
        next.latestIncarnation[incarnation.profile.worker] = number;
    }
    for (const auto &[number, job] : next.jobs) {
        next.jobNumbers[job.id] = number;
    }
    next.accountUsage = countAccountUsage(next);
    state = std::move(next);
    return ResultCode::Ok;
}

} // namespace Filbertlanding
