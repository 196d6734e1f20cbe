/** @file worker_contact.h What the leader knows of one life of a worker: its clock, its lease and the runs it was given. */

#pragma once

#include "fleet/fleet_type.h"
#include "fleet/pair_interference.h"
#include "fleet/run_progress.h"
#include "fleet/worker_order_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Filbertlanding {

constexpr std::int64_t MinClockRatePercent = 98; ///< A worker's clock shows at least this share of the time that passes.
constexpr Duration MaxOrderDelay{20'000}; ///< An order without an answer is not carried out later than this.
constexpr Duration LeaseExpiryMargin{150}; ///< Time between the certain end of a lease and the moment that its tasks count as gone.

/** How far a run has come, as the leader sees it. */
enum class RunPhase : std::uint8_t {
    Proposed, ///< Not in the log yet.
    Ordered, ///< In the log; the start is on its way or unanswered.
    Started, ///< The worker has answered the start, or lists the run.
};

/** One run on a worker. */
struct RunView {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::Proposed;
    Resources reserved; ///< Room that it takes of the worker's capacity.
    std::int64_t spareCpuMillis = 0; ///< Processors that it would use of what others leave.
    TimePoint since; ///< When it was placed.
    TimePoint nextAttempt; ///< When an unanswered order may be sent again.
    bool wasListed = false; ///< This life of the worker has listed it.
    bool isOrderPending = false; ///< A start or stop of it waits for its answer.
    std::uint64_t settledAtOrder = 0; ///< Number of the last order that was sent when an order of it was answered; a later look shows the truth about it.
    bool isStopRequested = false;
    bool isStopConfirmed = false;
    std::string checkpoint; ///< Newest progress that it was listed with.
    bool mayHaveReachedWorker = false; ///< A start may have reached the worker.
    std::optional<TimePoint> startSentAt; ///< When the last start left.
    bool isEndProposed = false; ///< Its end is being written to the log.
    unsigned unansweredAttempts = 0; ///< Starts or stops sent without an answer.
    std::int64_t percent = 0; ///< As last listed.
    RunProgress progress; ///< Of a task that is not lasting.
    bool isCopyRequested = false; ///< A copy should run elsewhere.
    bool allowsSpeculativeCopies = false; ///< Of its step.
    bool isDataRemote = false; ///< It runs away from its data.
    std::int64_t measurement = 0; ///< As last listed.
    std::int64_t speedLimitPercent = 100; ///< Share of the speed that it may work at.
    std::int64_t sentSpeedLimitPercent = 100; ///< Share that the worker was last told.
    std::string image; ///< Of its step.
    Duration latencyTarget; ///< Of its step.
    std::optional<TimePoint> overTargetSince; ///< Since when looks show it over its target.
    bool isLongRunning = false;
    bool usesSpareCapacity = false;
    bool isCheckpointed = false;
    Duration expectedTime; ///< Run time that is expected of it where it runs.
    RunTimeEvidence evidence; ///< What it has added to the evidence of its step.
};

/** The worker's clock at a moment of ours. */
struct ClockSample {
    std::int64_t workerMs = 0;
    TimePoint at;
};

/** A run that should not be on a worker. */
struct OrphanRun {
    TaskName task;
    std::uint32_t run = 0;
    bool isOrderPending = false; ///< A stop waits for its answer.
    TimePoint nextAttempt;
};

/** A start without an answer: it may be carried out later, also by the next life under the same name. */
struct UnconfirmedStart {
    TaskName task;
    std::uint32_t run = 0;
    TimePoint until; ///< It is not carried out after this.
};

/** One life of a worker in the eyes of the leader. */
struct WorkerSession {
    IncarnationNumber incarnation = 0;
    bool hasAcceptedFence = false; ///< It has answered a look with this leader's fence, so no order of an earlier leader can take effect.
    std::optional<ClockSample> clock;
    std::int64_t leaseEndMs = 0; ///< Latest end of a lease that this leader named, on the worker's clock.
    TimePoint previousLeasesEnd; ///< Leases of earlier leaders have surely ended by then.
    bool isPollPending = false; ///< A look waits for its answer.
    std::uint64_t lastPoll = 0; ///< Number of the last look.
    TimePoint pollSentAt; ///< When the last look left.
    TimePoint confirmedAt; ///< When the last look left that this life has answered.
    bool isConfirmationPoll = false; ///< The last look was sent to confirm the life before ends are forgotten.
    std::uint64_t fenceEpoch = 0; ///< Lower part of the fence of its orders; rises with each look that lets ends be forgotten.
    TimePoint nextPoll;
    TimePoint endsPendingSince; ///< Since when ends are being written to the log.
    std::uint64_t discardedThrough = 0; ///< Ends up to this number are forgotten by the worker.
    TimePoint nextRunOrderAt; ///< When the next start, stop or pace may be due.
    std::uint64_t committedThrough = 0; ///< Ends up to this number are in the log.
    std::uint64_t proposedThrough = 0; ///< Ends up to this number were handed to the log.
    unsigned pendingEnds = 0; ///< Ends that are being written to the log.
    unsigned consecutiveOrderFailures = 0; ///< Orders without an answer since the last answer.
    bool isIncarnationConfirmed = false; ///< No order has failed since this life has answered a look; otherwise another life may have its address and name.
    std::uint64_t lastAnsweredPoll = 0; ///< Number of the last look that was answered.
    std::uint64_t orphanStoppedAt = 0; ///< Number of the last order that was sent when a stop of a stray run was answered.
    TimePoint lastResponse;
    bool isShuttingDown = false; ///< It has said that it ends.
    bool isReplaced = false; ///< Another life has answered in its place.
    std::optional<TimePoint> replacedAt; ///< When that was found.
    TimePoint noPlacementUntil; ///< Nothing is placed there until then.
    std::uint64_t lastReportSequence = 0; ///< Number of the newest report.
    std::optional<TimePoint> earliestExit; ///< Earliest end of a worker that drains.
    std::map<TaskRef, RunView> runs;
    Resources used; ///< Room of all runs.
    std::int64_t spareCpuRequested = 0; ///< Processors that tasks in spare room ask for.
    std::vector<OrphanRun> orphanRuns; ///< Runs that the log does not place here; stopped before the worker is used.
    std::vector<UnconfirmedStart> unconfirmedStarts;
    std::set<IncarnationNumber> earlierIncarnations; ///< Lives that this one follows and whose ends are not in the log yet.
    std::set<TaskRef> inheritedEnds; ///< Ends listed here of runs that the log places on an earlier life, on their way to the log.
    bool isEarlierEndProposed = false;
    bool isEndProposed = false; ///< The end of this life is being written to the log.
    TimePoint speedLimitsAdjustedAt; ///< When the pace was last looked at.
    bool hasNewTailLatency = false; ///< A look has come since then.
    SpareCpuShares cpuSharesInUse; ///< Processors in use by images in spare room, as the last look showed.
    unsigned consecutiveFailures = 0; ///< Failed runs since the last one that was done.
    WorkerSlowness completedRunSlowness; ///< What runs that are done have shown of its speed; counts less with time.
    std::int64_t slownessClockMs = 0; ///< Worker's clock when that was last weighted down.
    bool isCandidateStale = true; ///< What placements know of it is older than its runs.
    bool isDirty = false; ///< Something has happened since the last tick that may make an order due.
};

/** Returns the time that a lease of this length may last on our clock, since a worker's clock may be slow. */
constexpr Duration maxLeaseOnLocalClock(Duration lease)
{
    return lease * 100 / MinClockRatePercent;
}

/** Returns the fence of the next order: it rises with the term of the leader, with each life of the worker, and with the contact's epoch. */
std::uint64_t fenceOf(std::uint64_t term, const WorkerSession &session);

/** Returns the least that the worker's clock can show now; nothing while its clock is not known. */
std::optional<std::int64_t> minWorkerClock(const WorkerSession &session, TimePoint now);

/** Returns whether a start is under way whose answer would tell which life has carried it out, or one without an answer may still arrive. */
bool hasUnconfirmedStarts(const WorkerSession &session, TimePoint now);

/** Notes the worker's clock. */
void addClockSample(WorkerSession &session, std::int64_t workerMs, TimePoint now);

/** Returns a time on the worker's clock that lies at most a lease after now; nothing while its clock is not known. */
std::optional<std::int64_t> leaseEndAfter(const WorkerSession &session, Duration lease, TimePoint now);

/** Returns from when on the worker has surely stopped everything that it ran, if no further lease is given. */
TimePoint leaseExpiryBound(const WorkerSession &session);

/** Adds a run to stop, unless it is there already. */
void addOrphanRun(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now);

/** Notes that a start has no answer. */
void addUnconfirmedStart(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now);

/** Adds a run and takes its room. */
void addRun(WorkerSession &session, const TaskRef &task, RunView run);

/** Removes a run and frees its room. */
void removeRun(WorkerSession &session, const TaskRef &task);

} // namespace Filbertlanding
