/** @file fleet_state_func.h Applies commands to the replicated state. The result is deterministic, so that all replicas reach the same state. */

#pragma once

#include "core/result_code.h"
#include "fleet/fleet_command.h"
#include "fleet/fleet_state_base.h"

#include <optional>
#include <string>
#include <string_view>

namespace Filbertlanding {

constexpr Duration EndedJobRetention{600'000}; ///< Retention time of ended jobs, well above the time in which callers query them.
constexpr Duration RetentionClockInterval{5'000}; ///< Time between two advances of the retention clock.
constexpr Duration MaxRetentionClockAdvance{10'000}; ///< Time in which a leader stood still, and answered nobody, does not count.

/** Effect of a command, for the scheduler that follows the state. */
struct FleetChange {
    bool isApplied = false; ///< False if the command had no effect because it is outdated or refers to an unknown object.
    JobNumber job = 0; ///< Job that was submitted or cancelled, or whose run was started or ended.
    std::vector<JobNumber> endedJobs; ///< Jobs that the command has moved to a final state.
    IncarnationNumber incarnation = 0; ///< Incarnation that was registered or ended, or whose run was started or ended.
    bool isNewIncarnation = false; ///< The incarnation was not known before.
    std::vector<IncarnationNumber> endedIncarnations; ///< Incarnations ended by the command.
    bool isFirstStart = false; ///< It is now known that a task of the job has started, and was not before.
    std::size_t removedJobs = 0; ///< Number of ended jobs that are no longer known because their retention time has passed.
};

/** Applies a command. */
FleetChange applyFleetCommand(FleetState &state, const FleetCommand &command);

/** Returns the queue of a request: the queue of the host with the longest matching path prefix, or nullptr. */
const QueueConfig *findQueue(const FleetManifest &manifest, std::string_view host, std::string_view path);

/** Returns whether the workers of a service enforce their capacity themselves; false if the manifest does not contain the service. */
bool enforcesCapacity(const FleetManifest &manifest, const ServiceName &service);

/** What callers may learn of a job that is known. */
struct JobStatus {
    FleetJobState state = FleetJobState::Queued;
    JobFailure failure = JobFailure::None; ///< Why the job has failed.
    JobOrigin origin;
};

/** Returns the job with an id if it is held in full: it has not ended, or its end is recent. Returns nullptr otherwise. */
const FleetJob *findJob(const FleetState &state, const JobId &id);

/** Returns the status of the job with an id; nothing if it is not known, or no longer. */
std::optional<JobStatus> findJobStatus(const FleetState &state, const JobId &id);

/** Returns a task of a job; nullptr if there is none, or its occurrence is no longer held because it is complete. */
const TaskRecord *findTask(const FleetJob &job, const TaskRef &ref);

/** Returns the number of occurrences that have been opened, complete ones included. */
std::uint32_t countOpenedOccurrences(const FleetJob &job);

/** Returns whether the outcome of a run of a step shows that its task has started; a task of a gang starts once all of them are there. */
bool impliesStart(const StepSpec &step, RunOutcome outcome);

/** Returns whether a step is not complete and all steps that it depends on are. */
bool isStepReady(const FleetJob &job, const Occurrence &occurrence, std::uint32_t step);

/** Returns the number of jobs of a queue that run once and of which no task is known to have started. */
std::uint64_t countQueuedJobs(const FleetState &state, const QueueConfig &queue);

/** Returns whether the state holds anything that is removed after its retention time. */
bool needsRetentionClock(const FleetState &state);

/** Encodes the state for a snapshot. */
std::string encodeFleetState(const FleetState &state);

/** Replaces the state by a decoded snapshot. Returns Ok, FrameCorrupt or VersionUnsupported; the state changes only on Ok. */
ResultCode decodeFleetState(std::string_view bytes, FleetState &state);

} // namespace Filbertlanding
