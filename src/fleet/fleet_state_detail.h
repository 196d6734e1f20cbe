/** @file fleet_state_detail.h Internal functions shared by the source files that apply commands to the replicated state. */

#pragma once

#include "fleet/fleet_state_func.h"

namespace Filbertlanding {

FleetChange apply(FleetState &state, const SubmitFleetJob &command);
FleetChange apply(FleetState &state, const CancelFleetJob &command);
FleetChange apply(FleetState &state, const OpenOccurrence &command);

FleetChange apply(FleetState &state, const AdvanceRetentionClock &command);

FleetChange apply(FleetState &state, const StartRun &command);
FleetChange apply(FleetState &state, const EndRun &command);
FleetChange apply(FleetState &state, const RecordJobStart &command);
FleetChange apply(FleetState &state, const RecordCrash &command);

FleetChange apply(FleetState &state, const RegisterWorker &command);
FleetChange apply(FleetState &state, const EndIncarnation &command);

/** Returns what is kept of an ended job. */
EndedJob reduceJob(FleetJob job);

/** Adds what is kept of an ended job. Its id must be in the table of job numbers. */
void addEndedJob(FleetState &state, EndedJob job);

/** Releases the payload and the tasks of a job that has ended, and the complete occurrences of another one, except for tasks with active runs. */
void releaseTasks(FleetJob &job);

/** Releases what the end of a run has left without use: of an ended job, and of complete occurrences of another one. */
void releaseAfterRun(FleetState &state, FleetJob &job);

/** Updates the estimated memory use after a change of a job's tasks. */
void updateJobMemory(FleetState &state, FleetJob &job);

/** Removes ended jobs by the time of day, as logs of earlier versions ask for. */
void removeJobsByWallTime(FleetState &state, WallTime now);

/** Moves a job to a final state. */
void endJob(FleetJob &job, FleetJobState state, WallTime at, FleetChange &change);

/** Removes the active runs of a job on an incarnation. */
void removeRunsOn(FleetState &state, FleetJob &job, IncarnationNumber incarnation);

/** Returns the requests of all active runs by account. */
AccountUsage countAccountUsage(const FleetState &state);

/** Returns the queue with exactly this host and path prefix, or nullptr. */
const QueueConfig *findQueueByRoute(const FleetManifest &manifest, const std::string &host, const std::string &prefix);

} // namespace Filbertlanding
