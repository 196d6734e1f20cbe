/**
 * @file run_progress.cpp Standing and slow runs.
 *
 * Load: workers on which every task stands still or runs several times slower for seconds, while they answer and report as always; and sound
 * workers with tasks that take several times as long as their callers state. A short job that waits for one task on a bad worker misses its
 * objective, so the task is begun anew elsewhere as soon as that is sooner. A task that is merely longer than stated goes on: it would be as
 * long elsewhere.
 */

#include "fleet/run_progress.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t LeastWatchedMs = 300; ///< Progress comes in whole percents and looks come at odd times; a shorter span says little.
    constexpr std::int64_t StandingMs = 800; ///< No progress for so long, with processors to use, means that the task stands.
    constexpr double StandingPercents = 4.0; ///< At its expected speed it would have gained so much meanwhile.
    constexpr double LeastSpeedShare = 0.05; ///< A run that is given no processor at all would otherwise look endless.
    constexpr double LeastGain = 1.0; ///< Percent; a run without progress is taken for one that was about to show the first.
    constexpr double SlowFactor = 2.0; ///< Tasks of one step and speeds of sound workers differ by less.
    constexpr double SlowDeviations = 3.0; ///< Distance from the expected run time that is no accident.
    constexpr double CautiousDeviations = 1.0; ///< A move must pay also if the task takes so many standard deviations longer elsewhere.
    constexpr double EndUncertainty = 0.25; ///< Largest share of a run time by which the moment of an end may be unknown.

    double slownessOf(const WorkerSlowness &worker)
    {
        return worker.weight > 0 ? worker.sum / worker.weight : 0.0;
    }

    bool isWorkerSlow(const WorkerSlowness &worker)
    {
        return slownessOf(worker) > std::log(SlowFactor) && slownessOf(worker) * std::sqrt(worker.weight) > SlowDeviations;
    }

    bool isStanding(const ProgressInput &input)
    {
        const RunProgress &progress = input.progress;
        const double shownPercentMs =
            progress.percent > progress.firstPercent ? progress.workMs / static_cast<double>(progress.percent - progress.firstPercent) : 0.0;
        const double expectedPercentMs = static_cast<double>(runTimeAt(input.runTimeEstimate, CautiousDeviations).ms) / 100.0;
        const double limit = std::max(static_cast<double>(StandingMs), StandingPercents * std::max(shownPercentMs, expectedPercentMs));
        return static_cast<double>(progress.lastClockMs - progress.changedClockMs) >= limit;
    }

    /** Returns whether the task would be done sooner elsewhere. */
    bool wouldMovePay(const ProgressInput &input, const ObservedRunTime &shown)
    {
        const double doneShare = static_cast<double>(input.progress.percent) / 100.0;
        const double left = shown.ms * (1.0 - doneShare);
        const double whole = static_cast<double>(runTimeAt(input.runTimeEstimate, CautiousDeviations).ms);
        const double elsewhere = whole * (input.isCheckpointed ? 1.0 - doneShare : 1.0) + static_cast<double>(input.restartDelay.ms);
        return left > elsewhere;
    }

} // namespace

void updateProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs, double speedShare)
{
    if (!progress.firstClockMs) {
        progress = {clockMs, percent, clockMs, clockMs, percent, 0.0};
        return;
    }
    if (clockMs <= progress.lastClockMs) {
        // An older list that was overtaken.
        return;
    }
    progress.workMs += static_cast<double>(clockMs - progress.lastClockMs) * std::clamp(speedShare, LeastSpeedShare, 1.0);
    progress.lastClockMs = clockMs;
    if (percent > progress.percent) {
        progress.changedClockMs = clockMs;
        progress.percent = percent;
    }
}

std::optional<ObservedRunTime> observedRunTime(const RunProgress &progress)
{
    if (!progress.firstClockMs || progress.lastClockMs - *progress.firstClockMs < LeastWatchedMs) {
        return std::nullopt;
    }
    const double gained = std::max(LeastGain, static_cast<double>(progress.percent - progress.firstPercent));
    return ObservedRunTime{progress.workMs * 100.0 / gained, gained};
}

std::optional<Duration> measuredRunTime(const RunProgress &progress, std::int64_t endClockMs)
{
    if (!progress.firstClockMs || progress.firstPercent >= 50) {
        return std::nullopt;
    }
    const double unseen = static_cast<double>(endClockMs - progress.lastClockMs);
    const double gained = static_cast<double>(100 - progress.firstPercent) / 100.0;
    const double whole = (progress.workMs + unseen / 2) / gained;
    const bool isKnown = unseen / 2 <= EndUncertainty * whole;
    if (isKnown) {
        return Duration{static_cast<std::int64_t>((progress.workMs + unseen) / gained)};
    }
    const auto shown = observedRunTime(progress);
    return shown && shown->gainedPercent >= 30 ? std::optional<Duration>(Duration{static_cast<std::int64_t>(shown->ms)}) : std::nullopt;
}

void addSlownessSample(WorkerSlowness &slowness, const ObservedRunTime &shown, const RunTimeEstimate &runTimeEstimate)
{
    const double error = LeastGain / shown.gainedPercent;
    const double weight = 1.0 / (runTimeEstimate.variance + error * error);
    slowness.weight += weight;
    slowness.sum += weight * (std::log(std::max(1.0, shown.ms)) - runTimeEstimate.mean);
}

ProgressVerdict assessProgress(const ProgressInput &input)
{
    const auto shown = observedRunTime(input.progress);
    if (!shown || input.isThrottled) {
        return ProgressVerdict::Normal;
    }
    if (isStanding(input)) {
        return ProgressVerdict::Stalled;
    }
    WorkerSlowness own;
    addSlownessSample(own, *shown, input.runTimeEstimate);
    const bool isAtFault = isWorkerSlow(input.worker) || isWorkerSlow(own);
    return isAtFault && wouldMovePay(input, *shown) ? ProgressVerdict::Slow : ProgressVerdict::Normal;
}

} // namespace Filbertlanding
