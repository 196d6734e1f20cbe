/** @file fleet_scheduler_base.h State of the scheduler: what the leader knows beyond the replicated state. It ends with the leadership. */

#pragma once

#include "fleet/fleet_command.h"
#include "fleet/fleet_state_base.h"
#include "fleet/learned_model.h"
#include "fleet/place_run.h"
#include "fleet/worker_contact.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Filbertlanding {

/** Settings of the scheduler, from the bounds of the installation. */
struct SchedulerSettings {
    Duration taskLease{4'500}; ///< Lease on everything that a worker runs.
    Duration longestLease{10'000}; ///< Workers cut longer leases to this.
    Duration pollWait{2'000}; ///< Longest wait of a look for an end.
    Duration orderTimeout{400}; ///< Time for the answer to a start, a stop, a pace, or to a look beyond its wait.
    Duration stopTimeout{200}; ///< Longest time that a worker takes to stop a task.
    Duration restoreTime{250}; ///< Time that a task needs to go on from saved progress.
    std::int64_t farFactor = 2; ///< Tasks take so many times as long away from their data.
    Duration paceDelay{100}; ///< Time until a changed pace shows.
    Duration harmLimit{4'000}; ///< Time for which a lasting task may be held over its target by tasks in spare room.
};

/** What runs of one step have shown of its run time, in all occurrences of its job. */
struct StepEvidence {
    RunTimeEvidence total;
    std::map<IncarnationNumber, RunTimeEvidence> byWorker; ///< The part of each worker, to judge it by the others.
};

/** A job in the eyes of the scheduler. */
struct JobView {
    std::vector<Duration> criticalPathFrom; ///< For each step the longest chain of expected run times from its start to the end of the job.
    std::map<std::uint32_t, StepEvidence> evidence; ///< By step.
    bool isStale = true; ///< There is more evidence than chains, objective and density were computed with.
    TimePoint acceptedAt;
    TimePoint objectiveDeadline; ///< Served in time if it is complete by then.
    double valueDensity = 0; ///< Weight of a processor second of the job, for the order of service.
    std::size_t bytes = 0; ///< Memory that it takes.
    std::uint32_t openedOccurrences = 0; ///< Occurrences that are open or on their way to the log.
};

/** What the scheduler asks its daemon to do. */
struct SchedulerActions {
    std::vector<FleetCommand> propose; ///< Commands for the log; the scheduler is told when they are applied.
    std::vector<WorkerOrder> orders; ///< Orders to send.
    bool isDeposed = false; ///< A worker has seen a higher fence: another leader is at work.
};

/** An order that waits for its answer. */
struct PendingOrder {
    OrderKind kind = OrderKind::Poll;
    IncarnationNumber incarnation = 0;
    TaskRef task; ///< Task of a start, stop or pace.
    std::uint32_t run = 0;
    bool isOrphan = false; ///< Stop of a run that the log does not place there.
    TaskName orphanTask; ///< Its task.
    std::uint64_t committedThrough = 0; ///< Look: what it lets the worker forget.
    std::uint64_t fence = 0; ///< Fence that it carries.
    std::optional<std::int64_t> minWorkerClockMs; ///< Least that the worker's clock showed when it left.
};

/** The scheduler of one leadership. */
struct FleetScheduler {
    SchedulerSettings settings;
    std::uint64_t term = 0; ///< Term of the leadership; the higher part of all fences.
    TimePoint since; ///< Start of the leadership.
    std::map<IncarnationNumber, WorkerSession> sessions; ///< Lives that have not ended.
    std::map<JobNumber, JobView> jobs; ///< Jobs that have not ended.
    std::size_t openBytes = 0; ///< Memory of these jobs.
    std::map<TaskRef, IncarnationNumber> failedOn; ///< Where the latest run of a task failed, to try it elsewhere.
    std::map<TaskRef, unsigned> proposedStarts; ///< Tasks with a start on its way to the log, and how many.
    std::map<std::uint64_t, PendingOrder> pendingOrders; ///< Orders without an answer.
    LearnedModel learnedModel; ///< Run times and how images press on each other.
    TimePoint nextModelSave; ///< When what was learned is next kept in the log.
    std::map<TaskRef, unsigned> migrationCounts; ///< How often a task was moved for its progress.
    std::set<TaskRef> migratingTasks; ///< Tasks that were stopped for their progress and have not been placed anew.
    std::shared_ptr<const SlopeTable> slopes; ///< Slopes that the rooms were computed with; empty before the first placement.
    std::map<IncarnationNumber, PlacementCandidate> candidates; ///< What placements know of the workers; brought up to date when they are used.
    std::map<TaskRef, IncarnationNumber> requestedCopies; ///< Tasks that should run once more elsewhere, and where they run now.
    std::vector<IncarnationNumber> dirtySessions; ///< Contacts that the next tick looks at.
    TimePoint nextFullTick; ///< Next tick that looks at all contacts.
    std::uint64_t lastOrder = 0;
    bool isPlacementDue = true; ///< Something has changed that may let a task start.
    TimePoint nextPlacement; ///< Not before this is the next placement.
    TimePoint nextSweep; ///< Next pass over all contacts for slow matters.
};

} // namespace Filbertlanding
