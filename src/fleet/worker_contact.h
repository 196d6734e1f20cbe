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

constexpr std::int64_t SlowestClockPercent = 98; ///< A worker's clock shows at least this share of the time that passes.
constexpr Duration LongestOrderDelay{20'000}; ///< An order without an answer is not carried out later than this.
constexpr Duration LapseMargin{150}; ///< Time between the certain end of a lease and the moment that its tasks count as gone.

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
    Resources room; ///< Room that it takes of the worker's capacity.
    std::int64_t spareCpuMillis = 0; ///< Processors that it would use of what others leave.
    TimePoint since; ///< When it was placed.
    TimePoint nextTry; ///< When an unanswered order may be sent again.
    bool isSeen = false; ///< This life of the worker has listed it.
    bool orderOpen = false; ///< A start or stop of it waits for its answer.
    std::uint64_t settledAt = 0; ///< Number of the last order that was sent when an order of it was answered; a later look shows the truth about it.
    bool stopWanted = false;
    bool stopAnswered = false;
    std::string checkpoint; ///< Newest progress that it was listed with.
    bool maySent = false; ///< A start may have reached the worker.
    std::optional<TimePoint> startSentAt; ///< When the last start left.
    bool isEnding = false; ///< Its end is being written to the log.
    unsigned tries = 0; ///< Starts or stops sent without an answer.
    std::int64_t percent = 0; ///< As last listed.
    RunProgress progress; ///< Of a task that is not lasting.
    bool copyWanted = false; ///< A copy should run elsewhere.
    bool allowsSpeculativeCopies = false; ///< Of its step.
    bool isFar = false; ///< It runs away from its data.
    std::int64_t measure = 0; ///< As last listed.
    std::int64_t speedLimitPercent = 100; ///< Share of the speed that it may work at.
    std::int64_t paceSent = 100; ///< Share that the worker was last told.
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
struct StrayRun {
    TaskName task;
    std::uint32_t run = 0;
    bool orderOpen = false; ///< A stop waits for its answer.
    TimePoint nextTry;
};

/** A start without an answer: it may be carried out later, also by the next life under the same name. */
struct DoubtfulStart {
    TaskName task;
    std::uint32_t run = 0;
    TimePoint until; ///< It is not carried out after this.
};

/** One life of a worker in the eyes of the leader. */
struct WorkerContact {
    IncarnationNumber incarnation = 0;
    bool isAdopted = false; ///< It has answered a look with this leader's fence, so no order of an earlier leader can take effect.
    std::optional<ClockSample> clock;
    std::int64_t leaseEndMs = 0; ///< Latest end of a lease that this leader named, on the worker's clock.
    TimePoint earlierLeasesEnd; ///< Leases of earlier leaders have surely ended by then.
    bool lookOpen = false; ///< A look waits for its answer.
    std::uint64_t lookNumber = 0; ///< Number of the last look.
    TimePoint lookSentAt; ///< When the last look left.
    TimePoint confirmedAt; ///< When the last look left that this life has answered.
    bool isConfirming = false; ///< The last look was sent to confirm the life before ends are forgotten.
    std::uint64_t fenceEpoch = 0; ///< Lower part of the fence of its orders; rises with each look that lets ends be forgotten.
    TimePoint nextLook;
    TimePoint endsSince; ///< Since when ends are being written to the log.
    std::uint64_t acknowledgedThrough = 0; ///< Ends up to this number are forgotten by the worker.
    TimePoint nextRunDue; ///< When the next start, stop or pace may be due.
    std::uint64_t notedThrough = 0; ///< Ends up to this number are in the log.
    std::uint64_t takenThrough = 0; ///< Ends up to this number were handed to the log.
    unsigned openEnds = 0; ///< Ends that are being written to the log.
    unsigned failuresInRow = 0; ///< Orders without an answer since the last answer.
    bool isLifeSure = false; ///< No order has failed since this life has answered a look; otherwise another life may have its address and name.
    std::uint64_t answeredLook = 0; ///< Number of the last look that was answered.
    std::uint64_t strayStoppedAt = 0; ///< Number of the last order that was sent when a stop of a stray run was answered.
    TimePoint lastAnswer;
    bool saidGoodbye = false; ///< It has said that it ends.
    bool isReplaced = false; ///< Another life has answered in its place.
    std::optional<TimePoint> replacedAt; ///< When that was found.
    TimePoint avoidUntil; ///< Nothing is placed there until then.
    std::uint64_t lastSequence = 0; ///< Number of the newest report.
    std::optional<TimePoint> leavesAt; ///< Earliest end of a worker that drains.
    std::map<TaskRef, RunView> runs;
    Resources used; ///< Room of all runs.
    std::int64_t spareCpuRequested = 0; ///< Processors that tasks in spare room ask for.
    std::vector<StrayRun> strayRuns; ///< Runs that the log does not place here; stopped before the worker is used.
    std::vector<DoubtfulStart> doubtfulStarts;
    std::set<IncarnationNumber> earlierLives; ///< Lives that this one follows and whose ends are not in the log yet.
    std::set<TaskRef> inheritedEnds; ///< Ends listed here of runs that the log places on an earlier life, on their way to the log.
    bool earlierEndsProposed = false;
    bool endProposed = false; ///< The end of this life is being written to the log.
    TimePoint paceChecked; ///< When the pace was last looked at.
    bool hasNewTails = false; ///< A look has come since then.
    SpareCpuShares sharesInUse; ///< Processors in use by images in spare room, as the last look showed.
    unsigned consecutiveFailures = 0; ///< Failed runs since the last one that was done.
    WorkerSlowness endedSlowness; ///< What runs that are done have shown of its speed; counts less with time.
    std::int64_t slownessClockMs = 0; ///< Worker's clock when that was last weighted down.
    bool isRoomStale = true; ///< What placements know of it is older than its runs.
    bool isTouched = false; ///< Something has happened since the last tick that may make an order due.
};

/** Returns the time that a lease of this length may last on our clock, since a worker's clock may be slow. */
constexpr Duration longestOnOurClock(Duration lease)
{
    return lease * 100 / SlowestClockPercent;
}

/** Returns the fence of the next order: it rises with the term of the leader, with each life of the worker, and with the contact's epoch. */
std::uint64_t fenceOf(std::uint64_t term, const WorkerContact &contact);

/** Returns the least that the worker's clock can show now; nothing while its clock is not known. */
std::optional<std::int64_t> leastClock(const WorkerContact &contact, TimePoint now);

/** Returns whether a start is under way whose answer would tell which life has carried it out, or one without an answer may still arrive. */
bool hasOpenStarts(const WorkerContact &contact, TimePoint now);

/** Notes the worker's clock. */
void noteClock(WorkerContact &contact, std::int64_t workerMs, TimePoint now);

/** Returns a time on the worker's clock that lies at most a lease after now; nothing while its clock is not known. */
std::optional<std::int64_t> leaseEndAfter(const WorkerContact &contact, Duration lease, TimePoint now);

/** Returns from when on the worker has surely stopped everything that it ran, if no further lease is given. */
TimePoint certainLapse(const WorkerContact &contact);

/** Adds a run to stop, unless it is there already. */
void addStrayRun(WorkerContact &contact, const TaskName &task, std::uint32_t run, TimePoint now);

/** Notes that a start has no answer. */
void addDoubtfulStart(WorkerContact &contact, const TaskName &task, std::uint32_t run, TimePoint now);

/** Adds a run and takes its room. */
void addRun(WorkerContact &contact, const TaskRef &task, RunView run);

/** Removes a run and frees its room. */
void removeRun(WorkerContact &contact, const TaskRef &task);

} // namespace Filbertlanding
