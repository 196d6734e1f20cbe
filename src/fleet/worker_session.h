/** @file worker_session.h State that the leader keeps for one incarnation of a worker: its clock, its lease and its runs. */

#pragma once

#include "fleet/crash_evidence.h"
#include "fleet/fleet_command.h"
#include "fleet/fleet_type.h"
#include "fleet/pair_interference.h"
#include "fleet/run_progress.h"
#include "fleet/worker_order_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Filbertlanding {

constexpr std::int64_t MinClockRatePercent = 98; ///< Minimum rate of a worker's clock, relative to the leader's clock.
constexpr Duration MaxOrderDelay{20'000}; ///< Maximum time until a worker executes an order without a response.
constexpr Duration LeaseExpiryMargin{150}; ///< Delay between the certain expiry of a lease and the end of its runs.

/** Phase of a run as known to the leader. */
enum class RunPhase : std::uint8_t {
    Proposed, ///< The start is proposed and not committed yet.
    Ordered, ///< The start is committed; the worker has not confirmed the order.
    Started, ///< The worker has confirmed the start or lists the run.
};

/** A run on a worker as known to the leader. */
struct RunView {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::Proposed;
    Resources reserved; ///< Resources reserved for the run.
    std::int64_t spareCpuMillis = 0; ///< CPU requested from spare capacity.
    TimePoint since; ///< Time of the placement.
    TimePoint nextAttempt; ///< Earliest time at which an order for the run may be sent again.
    bool wasListed = false; ///< This incarnation of the worker has listed the run.
    bool isStartConfirmed = false; ///< The worker has confirmed to this leader that it has started the run, or lists it.
    std::optional<TimePoint> takenOverAt; ///< Start of the leadership, if an earlier leader may not have seen the run listed.
    bool isOrderPending = false; ///< An order for the run has no response yet.
    std::uint64_t settledAtOrder = 0; ///< Number of the last order sent when an order for the run was confirmed; later polls reflect its effect.
    bool isStopRequested = false;
    bool isStopConfirmed = false;
    std::string checkpoint; ///< Newest checkpoint that the worker has listed.
    bool mayHaveReachedWorker = false; ///< A start order may have reached the worker.
    std::optional<TimePoint> startSentAt; ///< Time at which the last start order was sent.
    bool isEndProposed = false; ///< The end of the run is proposed and not applied yet.
    unsigned unansweredAttempts = 0; ///< Consecutive start or stop orders without a response.
    std::int64_t percent = 0; ///< Progress as last listed.
    RunProgress progress; ///< Progress history; unused for long-running tasks.
    bool isCopyRequested = false; ///< A speculative copy is requested on another worker.
    bool allowsSpeculativeCopies = false;
    bool isDataRemote = false; ///< The run is outside of the rack of its data.
    std::int64_t measurement = 0; ///< Measurement as last listed; see ListedRun.
    std::int64_t speedLimitPercent = 100; ///< Speed limit chosen for the run, in percent of the full speed.
    std::optional<TimePoint> moveAt; ///< Time at which a run whose speed limit is zero is moved if another worker takes it; nothing while it proceeds.
    std::int64_t sentSpeedLimitPercent = 100; ///< Speed limit last sent to the worker; -1 to send it again.
    std::string image;
    Duration latencyTarget;
    std::optional<TimePoint> overTargetSince; ///< Time since which all polls have shown the tail latency over the target.
    bool isLongRunning = false;
    bool usesSpareCapacity = false;
    bool isCheckpointed = false;
    Duration expectedTime; ///< Expected run time on this worker.
    RunTimeEvidence evidence; ///< Contribution of the run to the evidence of its step.
    CrashSuspicion suspicion = CrashSuspicion::None; ///< Suspicion against its task when the run was placed.
    bool isQueueAtRisk = false; ///< Tasks of its queue had crashed workers when the run was placed.
    Duration watchTime; ///< Time from the placement on for which other workers are preferred for other tasks.
    Duration isolationTime; ///< Time from the placement on for which other tasks wait for other workers.
};

/** Reading of a worker's clock at a time of the local clock. */
struct ClockSample {
    std::int64_t workerMs = 0;
    TimePoint at;
};

/** A run that a worker has although the replicated state does not assign it to the worker. */
struct OrphanRun {
    TaskName task;
    std::uint32_t run = 0;
    bool isOrderPending = false; ///< A stop order has no response yet.
    TimePoint nextAttempt;
};

/** A start order without a response. It may be executed later, also by the next incarnation with the same worker name. */
struct UnconfirmedStart {
    TaskName task;
    std::uint32_t run = 0;
    TimePoint until; ///< Time after which the order is no longer executed.
};

/** Bounds of the time at which a worker has fallen silent. */
struct SilenceStart {
    TimePoint earliest;
    TimePoint latest;
};

/** The leader's session with one incarnation of a worker. */
struct WorkerSession {
    IncarnationNumber incarnation = 0;
    bool hasAcceptedFence = false; ///< It has responded to a poll with this leader's fence, so orders of earlier leaders have no more effect.
    std::optional<ClockSample> clock;
    std::int64_t leaseEndMs = 0; ///< Latest lease end that this leader has granted, on the worker's clock.
    TimePoint previousLeasesEnd; ///< Time by which all leases of earlier leaders have expired.
    bool isPollPending = false; ///< A poll has no response yet.
    std::uint64_t lastPoll = 0; ///< Order number of the last poll.
    TimePoint pollSentAt; ///< Time at which the last poll was sent.
    TimePoint confirmedAt; ///< Time at which the last poll with a response of this incarnation was sent.
    bool isConfirmationPoll = false; ///< The last poll was sent to confirm the incarnation before ends are discarded.
    std::uint64_t fenceEpoch = 0; ///< Lower bits of the fence; increased by each poll that allows ends to be discarded.
    TimePoint nextPoll;
    TimePoint endsPendingSince; ///< Time since which proposed ends are waiting for the log.
    std::uint64_t discardedThrough = 0; ///< Ends up to this number have been discarded by the worker.
    TimePoint nextRunOrderAt; ///< Time at which the next start, stop or throttle order may be due.
    std::uint64_t committedThrough = 0; ///< Ends up to this number are committed to the log.
    std::uint64_t proposedThrough = 0; ///< Ends up to this number have been proposed.
    unsigned pendingEnds = 0; ///< Number of proposed ends that are not applied yet.
    unsigned consecutiveOrderFailures = 0; ///< Failed orders since the last response.
    bool isIncarnationConfirmed = false; ///< No order has failed since this incarnation has responded to a poll; otherwise another incarnation may
                                         ///< have taken over its address and name.
    std::uint64_t lastAnsweredPoll = 0; ///< Order number of the last poll with a response.
    std::uint64_t orphanStoppedAt = 0; ///< Number of the last order sent when the stop of an orphan run was last confirmed.
    TimePoint lastResponse;
    std::optional<TimePoint> unresponsiveSince; ///< Time of the first failed order since the last response.
    bool isShuttingDown = false; ///< The worker has announced its shutdown.
    bool isReplaced = false; ///< A later incarnation has taken its place.
    std::optional<TimePoint> replacedAt; ///< Time at which the replacement was first processed.
    std::optional<SilenceStart> predecessorSilence; ///< When the incarnation whose name or address this one has taken fell silent.
    TimePoint reservedUntil; ///< Time until which the worker is left to tasks that may have crashed its predecessor.
    bool isReservationStrict = false; ///< Other tasks wait for other workers meanwhile, since crashes are rare.
    bool isEarlyCrashNoted = false; ///< Its end has been counted for the queues of the runs that had just started.
    bool isCrashProposed = false; ///< Whether the end of this incarnation is a crash has been decided, and if so, it is proposed.
    bool hasCrashed = false; ///< Its process has ended, and one of its tasks may be the cause.
    TimePoint noPlacementUntil; ///< Time until which no tasks are placed on the worker.
    TimePoint avoidedUntil; ///< Time until which tasks are placed on the worker only if no other worker may run them.
    std::uint64_t lastReportSequence = 0; ///< Sequence number of the newest report.
    std::optional<Resources> reportedCapacity; ///< Capacity in the newest report that this leader has received; it may not be committed yet.
    std::optional<TimePoint> earliestExit; ///< Earliest time at which a draining worker exits.
    std::map<TaskRef, RunView> runs;
    std::vector<CrashedRun> expiredRuns; ///< Runs that were ended because of their lease while the worker did not respond. It may have crashed.
    unsigned runsAtRisk = 0; ///< Runs of tasks whose queue was at risk when they were placed.
    unsigned suspectRuns = 0; ///< Runs of tasks under which workers have crashed.
    Resources used; ///< Resources reserved by all runs.
    std::int64_t spareCpuRequested = 0; ///< CPU requested by tasks that use spare capacity.
    std::vector<OrphanRun> orphanRuns; ///< Runs that must be stopped before new tasks are placed on the worker.
    std::vector<UnconfirmedStart> unconfirmedStarts;
    std::set<IncarnationNumber> earlierIncarnations; ///< Replaced incarnations of the worker whose end is not committed yet.
    std::set<TaskRef> inheritedEnds; ///< Proposed ends that this incarnation has listed for runs of an earlier one.
    bool isEarlierEndProposed = false; ///< The end of the earlier incarnations is proposed.
    bool isEndProposed = false; ///< The end of this incarnation is proposed.
    TimePoint speedLimitsAdjustedAt; ///< Time of the last adjustment of speed limits.
    bool hasNewTailLatency = false; ///< A poll response has arrived since then.
    SpareCpuShares cpuSharesInUse; ///< CPU share used by tasks with spare capacity, by image, as of the last poll.
    unsigned consecutiveFailures = 0; ///< Failed runs since the last run that was done.
    WorkerSlowness completedRunSlowness; ///< Slowness observed with completed runs; decays over time.
    std::int64_t slownessClockMs = 0; ///< Worker's clock at the last decay of completedRunSlowness.
    bool isCandidateStale = true; ///< The placement candidate must be refreshed from this session.
    bool isDirty = false; ///< An event since the last tick may have made an order due.
};

/** Returns the maximum duration of a lease on the local clock, since the worker's clock may run slower. */
constexpr Duration maxLeaseOnLocalClock(Duration lease)
{
    return lease * 100 / MinClockRatePercent;
}

/** Returns the fence of the next order. It increases with the leader's term, with each incarnation of the worker, and with the session's epoch. */
std::uint64_t fenceOf(std::uint64_t term, const WorkerSession &session);

/** Returns whether a run is kept apart from others, because its task may crash the worker. */
bool isWatched(const RunView &run, TimePoint now);

/** Returns the time in which a worker has fallen silent: from its last response to its first failed order. */
SilenceStart silenceStart(const WorkerSession &session, TimePoint now);

/** Returns a lower bound of the worker's present clock; nothing while the clock is unknown. */
std::optional<std::int64_t> minWorkerClock(const WorkerSession &session, TimePoint now);

/**
 * Returns whether a start order may still be executed by an unknown incarnation: one that waits for its response, or one without a response
 * that may still arrive.
 */
bool hasUnconfirmedStarts(const WorkerSession &session, TimePoint now);

/** Adds a reading of the worker's clock. */
void addClockSample(WorkerSession &session, std::int64_t workerMs, TimePoint now);

/** Returns the end of a lease granted now, on the worker's clock; nothing while the clock is unknown. The lease may be shorter, never longer. */
std::optional<std::int64_t> leaseEndAfter(const WorkerSession &session, Duration lease, TimePoint now);

/** Returns the time after which the worker has certainly stopped all of its tasks, unless another lease is granted. */
TimePoint leaseExpiryBound(const WorkerSession &session);

/** Adds an orphan run to stop, unless it is known already. */
void addOrphanRun(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now);

/** Records a start order without a response. */
void addUnconfirmedStart(WorkerSession &session, const TaskName &task, std::uint32_t run, TimePoint now);

/** Returns the capacity for which new runs may be started: of each resource the smaller of what is committed and what was reported last. */
Resources usableCapacity(const WorkerSession &session, const Resources &committed);

/** Adds a run and reserves its resources. */
void addRun(WorkerSession &session, const TaskRef &task, RunView run);

/** Removes a run and releases its resources. */
void removeRun(WorkerSession &session, const TaskRef &task);

} // namespace Filbertlanding
