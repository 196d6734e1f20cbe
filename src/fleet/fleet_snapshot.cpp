/**
 * @file fleet_snapshot.cpp Encoding of the replicated state for snapshots.
 *
 * A snapshot may be a large part of the memory of a replica. It is encoded without a copy of the state. It is decoded job by job, and what is not
 * needed of an ended job is released before the next one, since earlier versions kept all tasks of ended jobs.
 */

#include "core/bounded_archive.h"
#include "fleet/fleet_state_detail.h"
#include "fleet/state_memory.h"

namespace Filbertlanding {

namespace {

    constexpr char SnapshotVersion = EndedJobFormat; ///< First byte of every snapshot.
    constexpr char OldestSnapshotVersion = 2; ///< Oldest version that can be read.

    /** Writes a state. */
    struct StateWriter {
        const FleetState &state;

        template<class Archive>
        void save(Archive &archive) const
        {
            const std::vector<ZoneName> drainedZones(this->state.drainedZones.begin(), this->state.drainedZones.end());
            archive(this->state.manifest, drainedZones, this->state.incarnations, this->state.jobs, this->state.cancelledBeforeSubmission);
            archive(this->state.waves, this->state.learnedModel, this->state.lastJobNumber, this->state.lastIncarnationNumber, this->state.retentionClock);
            archive(this->state.endedJobs);
        }
    };

    /** Reads a state of any supported version. The lookup tables and other derived fields are rebuilt. */
    struct StateReader {
        FleetState &state;

        template<class Archive>
        void load(Archive &archive)
        {
            std::vector<ZoneName> drainedZones;
            archive(this->state.manifest, drainedZones, this->state.incarnations);
            this->state.drainedZones.insert(drainedZones.begin(), drainedZones.end());
            this->loadJobs(archive);
            archive(this->state.cancelledBeforeSubmission, this->state.waves, this->state.learnedModel);
            archive(this->state.lastJobNumber, this->state.lastIncarnationNumber);
            if (archive.hasFieldsOf(RetentionClockFormat)) {
                archive(this->state.retentionClock);
            }
            if (archive.hasFieldsOf(EndedJobFormat)) {
                archive(this->state.endedJobs);
            }
        }

    private:
        /** Reads the jobs one by one; the encoding is that of a map. */
        template<class Archive>
        void loadJobs(Archive &archive)
        {
            for (auto left = archive.readSize(); left > 0; --left) {
                JobNumber number = 0;
                FleetJob job;
                archive(number, job);
                releaseTasks(job);
                if (!this->state.jobs.try_emplace(number, std::move(job)).second) {
                    throw cereal::Exception("a job is there twice");
                }
            }
        }
    };

    /** Rebuilds what is derived from the decoded fields. */
    void restoreDerivedFields(FleetState &state)
    {
        for (const auto &[number, incarnation] : state.incarnations) {
            // Incarnations are numbered in order of registration, so the last one of each worker wins.
            state.latestIncarnation[incarnation.profile.worker] = number;
        }
        for (auto &[number, job] : state.jobs) {
            state.jobNumbers[job.id] = number;
            job.memoryBytes = estimateHeldMemory(job);
            if (hasEnded(job.state)) {
                state.endingJobs.insert(number);
            }
        }
        for (const auto &[number, job] : state.endedJobs) {
            state.jobNumbers[job.id] = number;
            state.endedOrder.insert({job.endedOnClock, number});
        }
        state.accountUsage = countAccountUsage(state);
        state.memory = estimateStateMemory(state);
    }

} // namespace

std::string encodeFleetState(const FleetState &state)
{
    return encodeVersioned(SnapshotVersion, StateWriter{state});
}

ResultCode decodeFleetState(std::string_view bytes, FleetState &state)
{
    FleetState next;
    StateReader reader{next};
    const ResultCode code = decodeVersioned(OldestSnapshotVersion, SnapshotVersion, bytes, reader);
    if (code != ResultCode::Ok) {
        return code;
    }
    restoreDerivedFields(next);
    state = std::move(next);
    return ResultCode::Ok;
}

} // namespace Filbertlanding
