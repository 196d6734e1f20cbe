/** @file held_tasks.h Finds steps whose tasks have waited for long, and what holds each worker back from them. */

#pragma once

#include "fleet/fleet_scheduler_base.h"

#include <array>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Filbertlanding {

/** Numbers of workers by what holds them back from one step. */
struct HoldCounts {
    using ByReason = std::array<std::uint32_t, HoldReasonNames.rows.size()>; ///< In the order of HoldReason.

    ByReason byReason{};
    ByReason withRoom{}; ///< Those of them with enough unreserved CPU; and, unless they are held by memory, with enough of everything else.
    std::uint32_t willing = 0; ///< Workers that would take one of its tasks.
    std::int64_t largestFreeCpuMillis = 0; ///< Most unreserved CPU of a worker that is held by nothing but its CPU.
};

/** A task without a run. */
struct IdleTask {
    std::uint32_t index = 0;
    Duration idleFor; ///< Time since its last run has ended, or since its job was accepted.
    bool isHeldSuspect = false; ///< It waits until it is known whether it has crashed its worker.
};

/** A step that has waited for long, with what holds the workers back from its first waiting task. */
struct HeldStep {
    TaskRef task; ///< The first task of the step that waits.
    std::uint32_t pendingTasks = 0;
    Duration waitedFor; ///< Time for which no check has seen fewer waiting tasks; of a long-running step the longest time without a run.
    std::vector<IdleTask> idleTasks; ///< Of a long-running step all tasks without a run, of another step the suspects that are held.
    std::size_t place = 0; ///< Place in the order of service, from 1 on.
    std::size_t readySteps = 0; ///< Number of steps in the order of service.
    HarmTolerance harmTolerance = HarmTolerance::None; ///< The most harm that the task may do now.
    HoldCounts workers;
};

/** A ready step between two checks. */
struct WaitingStep {
    std::uint32_t pendingTasks = 0; ///< Smallest number seen since the wait began.
    TimePoint since; ///< Start of the wait.
    TimePoint nextReport; ///< Earliest time at which the step is reported.
};

/** Ready steps as of the last check. Kept by the leader beside its scheduler. */
struct WaitingSteps {
    std::map<std::tuple<JobNumber, std::uint32_t, std::uint32_t>, WaitingStep> steps; ///< By job, occurrence and step.
    TimePoint nextCheck;
    std::size_t heldJobs = 0; ///< Number of jobs with a step that has waited for too long.
    std::size_t heldSuspects = 0; ///< Number of tasks that wait until it is known whether they have crashed their worker.
    std::size_t idleLongRunningTasks = 0; ///< Number of long-running tasks without a run.
    Duration longestIdle; ///< Longest time for which one of them has had none.
};

/** Counts the workers that would take one more task of a query's step, and the others by what holds them back. */
HoldCounts countHoldReasons(const FleetScheduler &scheduler, const FleetState &state, const WorkerQuery &query, TimePoint now);

/**
 * Updates the waiting steps if a check is due, and returns those to report: steps that have waited for too long, each at most every few seconds, and
 * a bounded number at once, the longest unreported first.
 */
std::vector<HeldStep> checkWaitingSteps(WaitingSteps &waiting, FleetScheduler &scheduler, const FleetState &state, TimePoint now);

/** Returns the counts that are not zero as text, for example "draining 2, interference 40". */
std::string formatHoldCounts(const HoldCounts::ByReason &counts);

/** Returns tasks as text with their index and the milliseconds without a run, for example "3: 2510, 4: 900 held". */
std::string formatIdleTasks(const std::vector<IdleTask> &tasks);

} // namespace Filbertlanding
