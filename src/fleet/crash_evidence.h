/**
 * @file crash_evidence.h Tells a task that crashes its workers from sound tasks that happen to run beside it.
 *
 * A crash says little about one task: all tasks on the worker were there. The one that had started last is the first suspect, since most faulty
 * tasks crash their worker at once; it runs next on a worker of its own. The others are spread over different workers, so that at the next crash
 * only one of the tasks there has been through one before. Workers also crash for other causes, several at once or again and again. So each crash
 * weighs as much as it is improbable that one of another cause hits a run so soon after its start, given how often workers crash at present.
 */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** How strongly earlier crashes point to a task. */
enum class CrashSuspicion : std::uint8_t {
    None, ///< No worker has crashed under the task.
    Possible, ///< One worker has, as under all other tasks that it ran.
    Strong, ///< Several workers have, or one just after the task had started.
};

/** Crashes of workers while a task ran there. */
struct CrashHistory {
    std::uint32_t crashes = 0; ///< Crashes since a run of the task has outlasted all that had ended in a crash.
    std::uint32_t singledOut = 0; ///< Those of them in which no task of another job on the worker had as many, or had started later.
    std::uint32_t weight = 0; ///< Sum of their weights; see crashWeight().
    bool wasYoungest = false; ///< No run on the worker had started later than that of the task at the latest crash.
    Duration longestRun; ///< Longest time that the task may have run before one of these crashes.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->crashes, this->singledOut, this->weight, this->wasYoungest, this->longestRun);
    }
};

/** A task that ran on a worker when it crashed. */
struct CrashWitness {
    CrashHistory *history = nullptr;
    std::uint64_t job = 0; ///< Job of the task. A crash need not tell the tasks of one job apart, since they are given up together.
    bool isStartKnown = false; ///< The time of the start is known.
    Duration ranAtLeast; ///< Time from the start until the worker responded for the last time.
    Duration ranAtMost; ///< Time from the start until an order to the worker failed.
    std::uint32_t weight = 0; ///< Weight of the crash for the task; 0 unless the start is known.
};

/** How often workers crash at present, beside the one that is weighed. */
struct CrashRate {
    std::size_t crashes = 0; ///< Crashes in the period.
    Duration period;
    std::size_t latestCrashes = 0; ///< Those in the latest part of it, since crashes come in series.
    Duration latestPart;
    std::size_t workers = 0;
};

/**
 * Returns the weight of a crash for a task that had run for a time: the negative logarithm of the probability that a crash of another cause hits a
 * run so soon, in thousandths.
 */
std::uint32_t crashWeight(const CrashRate &rate, Duration ranAtMost);

/** Returns whether workers crash again and again all over the fleet, so that a crash says nothing about the tasks that were there. */
bool areCrashesCommon(const CrashRate &rate);

/** Counts the crash of a worker in the histories of all tasks that ran there. */
void recordCrash(const std::vector<CrashWitness> &witnesses);

/** Returns whether a task must not be started again, because it crashes its workers. */
bool isCrashCause(const CrashHistory &history);

/** Returns how strongly earlier crashes point to a task. */
CrashSuspicion suspicionOf(const CrashHistory &history);

/** Returns the time for which a new run of a task should be kept apart from others, until it has passed the point at which its earlier runs ended. */
Duration watchTimeOf(const CrashHistory &history);

/**
 * Returns the time for which no other run may join a new one of a task on its worker; 0 if crashes of other causes are too likely to have hit its earlier runs.
 * Where many workers crash, most tasks have been the youngest of one, and a worker for each of them would leave none to the others.
 */
Duration isolationTimeOf(const CrashHistory &history);

/** Returns whether crashes of other causes are so rare that a worker may be kept free for the tasks that may have crashed it. */
bool areCrashesTelling(const CrashRate &rate);

} // namespace Filbertlanding
