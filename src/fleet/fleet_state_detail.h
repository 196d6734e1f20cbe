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
FleetChange apply(FleetState &state, const RecordCrash &command);

FleetChange apply(FleetState &state, const RegisterWorker &command);
FleetChange apply(FleetState &state, const EndIncarnation &command);

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
