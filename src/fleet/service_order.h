/** @file service_order.h Order in which ready steps are placed when capacity is short. */

#pragma once

#include "account/fair_share.h"
#include "core/name_table.h"
#include "fleet/fleet_state_base.h"
#include "fleet/place_run.h"

#include <vector>

namespace Filbertlanding {

constexpr std::int64_t MaxLateFactor = 3; ///< A result has some value up to this multiple of its latency objective.

/** A step whose dependencies are complete, with tasks to start. */
struct ReadyStep {
    JobNumber job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t pendingTasks = 0; ///< Number of tasks without an active run.
    std::int64_t priority = 0; ///< Priority of the queue; 0 is the highest.
    bool isLongRunning = false;
    bool usesSpareCapacity = false;
    bool isStarved = false; ///< Its job has had nothing running for too long.
    Duration waitedFor; ///< Longest time for which a task of a long-running step has had no run.
    std::int64_t requestedCpuMillis = 0; ///< CPU requested for each task, in thousandths of a core.
    TimePoint acceptedAt;
    TimePoint objectiveDeadline; ///< Completion time by which the job meets its latency objective.
    Duration remainingCriticalPath; ///< Critical path from this step to the end of the job.
    double startedShare = 0; ///< Share of the work of its occurrence that is done or under way, from 0 to 1.
    double valueDensity = 0; ///< Value of the job per CPU second that it still needs.
    ShareClass shareClass = ShareClass::Within; ///< How much the account of the job uses, compared to its share.
    bool isHeldByAccountLimit = false; ///< None of its tasks may start now, because of the limit of the account.
};

/** Status of a step relative to its latency objective. */
enum class DeadlineStatus : std::uint8_t {
    OnTime, ///< Can still meet the objective.
    Late, ///< Will miss the objective, at a reduced value of the result.
    Expired, ///< The result has no value for the caller any more, but the job was accepted and must run.
};

constexpr auto DeadlineStatusNames = makeNameTable<DeadlineStatus>({
    {DeadlineStatus::OnTime, "on_time"},
    {DeadlineStatus::Late, "late"},
    {DeadlineStatus::Expired, "expired"},
});

/**
 * Returns the value of a job per CPU second that it still needs, from its work and the part of it that is done or under way, in CPU seconds. The value
 * grows with the work, but more slowly. So of two jobs that have not begun the smaller comes first, and large ones that have begun are completed.
 */
double valueDensity(double total, double started);

/** Returns the status that a step reaches if it starts now. */
DeadlineStatus deadlineStatus(const ReadyStep &step, TimePoint now);

/** Returns the time by which a step must start for its job to meet the latency objective. */
TimePoint latestStart(const ReadyStep &step);

/** Returns whether a short step is served with the jobs on time: it is on time itself, or has begun and is likely to be of use. */
bool hasOnTimeRank(const ReadyStep &step, TimePoint now);

/** Returns whether a step has little slack left to wait for a better worker, and its result still has some value. */
bool isDeadlineNear(const ReadyStep &step, TimePoint now);

/**
 * Returns how much harm the tasks of a step may do. After its deadline a step gives way to others, but not where the service has room for all.
 */
HarmTolerance toleratedHarm(const ReadyStep &step, bool isServiceIdle, TimePoint now);

/** Returns whether a step gets one task whatever the harm if its tasks find no worker otherwise. */
bool getsTaskAtAnyHarm(const ReadyStep &step, bool isServiceIdle);

/** Returns whether workers may be held for a step that finds none: it has waited for long, and others may take small amounts of capacity before it. */
bool mayHoldWorkers(const ReadyStep &step);

/** Sorts steps into the order in which they are placed. */
void sortByServiceOrder(std::vector<ReadyStep> &steps, TimePoint now);

/** Moves a step whose place in the sorted order has become a later one to this place. Returns whether it has moved. */
bool moveBack(std::vector<ReadyStep> &steps, std::size_t index, TimePoint now);

} // namespace Filbertlanding
