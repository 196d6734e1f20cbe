/** @file fleet_state_func.h Applies commands to the replicated state; the same commands give the same state on every replica. */

#pragma once

#include "core/result_code.h"
#include "fleet/fleet_command.h"
#include "fleet/fleet_state_base.h"

#include <string>
#include <string_view>

namespace Filbertlanding {

constexpr Duration EndedJobRetention{600'000}; ///< Time for which an ended job is known, well above the time in which callers ask for it.

/** What a command has changed, for the scheduler that follows the state. */
struct FleetChange {
    bool isApplied = false; ///< False for a command that came too late or names nothing.
    JobNumber job = 0; ///< Job that was submitted, cancelled or touched by a run.
    bool jobEnded = false; ///< The job has reached its final state with this command.
    IncarnationNumber incarnation = 0; ///< Life that was noted or ended.
    bool isNewIncarnation = false; ///< The life was not known before.
    std::vector<IncarnationNumber> endedIncarnations; ///< Lives that are over through this command.
};

/** Applies one command. */
FleetChange applyFleetCommand(FleetState &state, const FleetCommand &command);

/** Returns the queue that a call addresses: the one of its host with the longest prefix of the path; nullptr if there is none. */
const QueueConfig *findQueue(const FleetManifest &manifest, std::string_view host, std::string_view path);

/** Returns a job by its id, or nullptr. */
const FleetJob *findJob(const FleetState &state, const JobId &id);

/** Returns the steps of a job whose turn has come: not complete, and all steps that they depend on are. */
bool isStepReady(const FleetJob &job, const Occurrence &occurrence, std::uint32_t step);

/** Returns the number of accepted jobs of a queue that run once and have not started a task. */
std::uint64_t countQueuedJobs(const FleetState &state, const QueueConfig &queue);

/** Removes jobs that ended long ago. Deterministic for the same time, so it is a part of applying a submission. */
void removeExpiredJobs(FleetState &state, WallTime now);

/** Returns the encoded state for a snapshot. */
std::string encodeFleetState(const FleetState &state);

/** Replaces the state by an encoded one. Returns Ok, FrameCorrupt or VersionUnsupported; the state is unchanged unless Ok. */
ResultCode decodeFleetState(std::string_view bytes, FleetState &state);

} // namespace Filbertlanding
