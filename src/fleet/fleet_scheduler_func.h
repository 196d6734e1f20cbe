/** @file fleet_scheduler_func.h The leader's scheduler as a deterministic state machine that turns events into commands and orders. */

#pragma once

#include "fleet/fleet_scheduler_base.h"
#include "fleet/fleet_state_func.h"

namespace Filbertlanding {

/**
 * Creates the scheduler of a new leadership from the replicated state.
 * @param lastOrder Number of the last order that this daemon has sent in the same term, if it was the leader before; fences must not decrease
 *        within a term.
 */
FleetScheduler
startScheduler(const SchedulerSettings &settings, const FleetState &state, std::uint64_t term, std::uint64_t lastOrder, TimePoint now, WallTime wall);

/** Result of handling a worker's report. */
struct ReportOutcome {
    std::optional<FleetCommand> command; ///< Command to commit before the report is acknowledged; nothing if the report has no changes.
    bool isStale = false; ///< The report is from an earlier incarnation, or older than the last one of this incarnation.
};

/** A status report of a worker. Its clock is not taken from reports, which may be late, but from its responses to orders. */
struct FleetWorkerReport {
    WorkerProfile profile;
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    std::optional<Duration> drainRemaining; ///< Minimum time until a draining worker exits.
};

/** Handles a status report of a worker. */
ReportOutcome handleWorkerReport(FleetScheduler &scheduler, const FleetState &state, const FleetWorkerReport &report, TimePoint now);

/** Handles the notice of a worker that it shuts down. */
void handleGoodbye(FleetScheduler &scheduler, const FleetState &state, const WorkerName &worker);

/** Handles a command that was applied to the replicated state. Must be called in log order. */
void handleApplied(FleetScheduler &scheduler, const FleetState &state, const FleetCommand &command, const FleetChange &change, TimePoint now, WallTime wall);

/** Handles the response to an order. */
SchedulerActions
handleResponse(FleetScheduler &scheduler, const FleetState &state, std::uint64_t order, const OrderResponse &response, TimePoint now, WallTime wall);

/**
 * Sends polls and orders that are due, and places tasks.
 * @param leaderLeaseEnd End of the leader lease, before which no other leader can be elected. Nothing is done after it: the next leader
 *        assumes that worker leases expire within one lease duration after its election, so none may be granted later.
 */
SchedulerActions schedulerTick(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, TimePoint leaderLeaseEnd);

} // namespace Filbertlanding
