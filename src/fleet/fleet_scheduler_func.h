/** @file fleet_scheduler_func.h The leader's scheduler as a deterministic state machine: events in, commands and orders out. */

#pragma once

#include "fleet/fleet_scheduler_base.h"
#include "fleet/fleet_state_func.h"

namespace Filbertlanding {

/**
 * Starts the scheduler of a leadership from the replicated state.
 * @param lastOrder Number of the last order that this daemon has given in the term, if it led in it before; fences must not fall within a term.
 */
FleetScheduler
startScheduler(const SchedulerSettings &settings, const FleetState &state, std::uint64_t term, std::uint64_t lastOrder, TimePoint now, WallTime wall);

/** What became of a worker's report. */
struct ReportOutcome {
    std::optional<FleetCommand> command; ///< To be in the log before the report is answered; nothing if the report says nothing new.
    bool isStale = false; ///< An older life, or an older report of the same life.
};

/** What a worker reports beyond its profile. */
struct FleetWorkerReport {
    WorkerProfile profile;
    std::uint64_t sequence = 0; ///< Rises with each report of a life.
    std::optional<std::int64_t> clockMs; ///< The worker's clock.
    std::optional<Duration> drainRemaining; ///< Least time until a draining worker ends.
};

/** Takes a worker's report. */
ReportOutcome handleWorkerReport(FleetScheduler &scheduler, const FleetState &state, const FleetWorkerReport &report, TimePoint now);

/** Takes the word of a worker that it ends. */
void handleGoodbye(FleetScheduler &scheduler, const FleetState &state, const WorkerName &worker);

/** Takes a command that was applied, in the order of the log. */
void handleApplied(FleetScheduler &scheduler, const FleetState &state, const FleetCommand &command, const FleetChange &change, TimePoint now, WallTime wall);

/** Takes the answer to an order. */
SchedulerActions
handleResponse(FleetScheduler &scheduler, const FleetState &state, std::uint64_t order, const OrderResponse &response, TimePoint now, WallTime wall);

/**
 * Lets time pass: looks, orders that are due, placements.
 * @param leaderLeaseEnd Until when no other leader can have been elected. From then on nothing is done: the next leader counts the leases
 *        of workers from its own election, so none may be granted after that.
 */
SchedulerActions schedulerTick(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, TimePoint leaderLeaseEnd);

} // namespace Filbertlanding
