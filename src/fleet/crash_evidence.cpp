/** @file crash_evidence.cpp Counts crashes of workers for each task, and decides which task causes them. */

#include "fleet/crash_evidence.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr std::uint32_t MinCrashes = 2; ///< The first crash never singles a task out.
    /** Two crashes of other causes weigh as much in one of 20,000 cases, and so do more with what each of them adds. */
    constexpr std::uint32_t MinWeight = 12'500;
    constexpr std::uint32_t MinAddedWeight = 2'200;
    constexpr std::uint32_t MaxWeight = 6'500; ///< One crash alone proves nothing, however rare crashes have been.
    constexpr std::uint32_t MaxCrashes = 5; ///< No further worker is risked for a task.
    constexpr std::int64_t RunTimeFactor = 3; ///< A task crashes its workers at about the same point of each run; ...
    constexpr Duration RunTimeTolerance{500}; ///< ... start and crash are only known within this time.
    constexpr Duration StartTolerance{50}; ///< Runs whose starts are closer than this may have reached their worker in any order.
    constexpr Duration MinRunTime{20}; ///< Shorter run times cannot be told apart.
    /** After a longer run a crash says nothing about the task, and it has proved to be sound before. */
    constexpr Duration MaxRunTime{600'000};
    constexpr Duration MaxWatchTime{5'000}; ///< Keeping workers free for longer costs sound tasks more than another crash does.
    constexpr Duration MaxIsolationTime{1'000}; ///< Other tasks may wait for the worker meanwhile.
    constexpr Duration MaxRepeatedIsolationTime{2'000};
    constexpr std::uint32_t MinIsolationWeight = 4'000; ///< For each crash: one of another cause hits one of 50 runs so soon.
    constexpr std::uint32_t ManyCrashes = 3; ///< Few sound tasks go through as many.

    double perMillisecond(std::size_t count, Duration period)
    {
        return static_cast<double>(count) / static_cast<double>(std::max<std::int64_t>(1, period.ms));
    }

    /** Returns the run time after which a task has certainly passed the point at which its earlier runs had ended in a crash. */
    Duration timeToOutlastCrashes(const CrashHistory &history)
    {
        return history.longestRun * RunTimeFactor + RunTimeTolerance;
    }

    bool hasOutlasted(const CrashHistory &history, Duration ranAtLeast)
    {
        return history.crashes > 0 && ranAtLeast > timeToOutlastCrashes(history);
    }

    /**
     * Returns whether the witnesses with the most earlier crashes belong to one job, and no task of another job had started after them: that may crash
     * a worker for the first time.
     */
    bool isOneJobSingledOut(const std::vector<CrashWitness> &witnesses, std::uint32_t mostCrashes)
    {
        const auto suspect = std::find_if(witnesses.begin(), witnesses.end(), [mostCrashes](const CrashWitness &witness) {
            return witness.history->crashes == mostCrashes;
        });
        return std::none_of(witnesses.begin(), witnesses.end(), [&suspect, mostCrashes](const CrashWitness &witness) {
            const bool hasStartedLater = witness.isStartKnown && witness.ranAtMost + StartTolerance < suspect->ranAtMost;
            return witness.job != suspect->job && (witness.history->crashes == mostCrashes || hasStartedLater);
        });
    }

    /** Returns the shortest run time of the witnesses whose start is known; nothing of use if there is none. */
    Duration shortestRunOf(const std::vector<CrashWitness> &witnesses)
    {
        Duration shortest = MaxRunTime;
        for (const CrashWitness &witness : witnesses) {
            shortest = witness.isStartKnown ? std::min(shortest, witness.ranAtMost) : shortest;
        }
        return shortest;
    }

} // namespace

std::uint32_t crashWeight(const CrashRate &rate, Duration ranAtMost)
{
    constexpr double Thousandths = 1000;
    // One more crash than was seen in the whole period is assumed, since few say little about the rate.
    const double perMs = std::max(perMillisecond(rate.crashes + 1, rate.period), perMillisecond(rate.latestCrashes, rate.latestPart));
    const double perWorker = perMs / static_cast<double>(std::max<std::size_t>(1, rate.workers));
    const double probability = 1 - std::exp(-perWorker * static_cast<double>(std::max(ranAtMost, MinRunTime).ms));
    // The logarithm of 0 is infinite and no integer.
    return static_cast<std::uint32_t>(std::min(static_cast<double>(MaxWeight), -std::log(probability) * Thousandths));
}

bool areCrashesCommon(const CrashRate &rate)
{
    constexpr std::size_t CrashesPerWorker = 2;
    return rate.crashes > CrashesPerWorker * rate.workers;
}

void recordCrash(const std::vector<CrashWitness> &witnesses)
{
    std::uint32_t most = 0;
    for (const CrashWitness &witness : witnesses) {
        if (witness.ranAtLeast >= MaxRunTime || hasOutlasted(*witness.history, witness.ranAtLeast)) {
            *witness.history = CrashHistory();
        }
        most = std::max(most, witness.history->crashes);
    }
    const auto isMostSuspect = [most](const CrashWitness &witness) {
        return witness.history->crashes == most;
    };
    const bool isSingledOut = most > 0 && isOneJobSingledOut(witnesses, most);
    const Duration shortest = shortestRunOf(witnesses);
    for (const CrashWitness &witness : witnesses) {
        if (witness.ranAtLeast >= MaxRunTime) {
            continue;
        }
        CrashHistory &history = *witness.history;
        history.singledOut += isSingledOut && isMostSuspect(witness) ? 1 : 0;
        history.weight += witness.weight;
        history.wasYoungest = witness.isStartKnown && witness.ranAtMost <= shortest + StartTolerance;
        history.longestRun = std::max(history.longestRun, witness.ranAtMost);
        ++history.crashes;
    }
}

bool isCrashCause(const CrashHistory &history)
{
    if (history.crashes < MinCrashes) {
        return false;
    }
    const std::uint32_t minWeight = MinWeight + (history.crashes - MinCrashes) * MinAddedWeight;
    return (history.singledOut > 0 && history.weight >= minWeight) || history.crashes >= MaxCrashes;
}

CrashSuspicion suspicionOf(const CrashHistory &history)
{
    if (history.crashes == 0) {
        return CrashSuspicion::None;
    }
    return history.crashes > 1 || history.wasYoungest ? CrashSuspicion::Strong : CrashSuspicion::Possible;
}

Duration watchTimeOf(const CrashHistory &history)
{
    return history.crashes == 0 ? Duration{} : std::min(timeToOutlastCrashes(history), MaxWatchTime);
}

Duration isolationTimeOf(const CrashHistory &history)
{
    if (suspicionOf(history) != CrashSuspicion::Strong) {
        return {};
    }
    // Where no start is known, nothing says that the crashes are of another cause.
    const bool isWeighed = history.weight > 0 || history.crashes < MinCrashes;
    if (history.crashes >= ManyCrashes || !isWeighed) {
        return std::min(timeToOutlastCrashes(history), MaxRepeatedIsolationTime);
    }
    const bool isImprobable = history.weight >= MinIsolationWeight * history.crashes;
    return isImprobable ? std::min(timeToOutlastCrashes(history), MaxIsolationTime) : Duration{};
}

bool areCrashesTelling(const CrashRate &rate)
{
    constexpr Duration TypicalRunTime{500}; // Of runs that crash their worker, most end sooner.
    constexpr std::uint32_t MinTellingWeight = 3'000; // One of another cause hits one of 20 runs so soon.
    return crashWeight(rate, TypicalRunTime) >= MinTellingWeight;
}

} // namespace Filbertlanding
