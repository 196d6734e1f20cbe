/**
 * @file run_progress.cpp Detection of stalled and slow runs.
 *
 * On a faulty worker all tasks stall or run several times slower for seconds, while the worker answers and reports as usual. A short job that
 * waits for one task on such a worker misses its objective, so the task is restarted elsewhere as soon as that makes it complete earlier. On a
 * healthy worker a task may also take several times as long as declared; it is left alone, since it would take as long elsewhere.
 */

#include "fleet/run_progress.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t MinObservationMs = 300; ///< Progress is reported in whole percents and polled at irregular times, so a shorter span is inconclusive.
    constexpr std::int64_t StallTimeoutMs = 800; ///< Minimum time without progress, although CPU was available, after which a run counts as stalled.
    constexpr double StallPercents = 4.0; ///< Progress that the run would have made meanwhile at its expected speed.
    constexpr double MinSpeedShare = 0.05; ///< Lower bound of the speed share, so that the work time of a run without any CPU still grows.
    constexpr double MinGainPercent = 1.0; ///< A run without progress is treated as if it were about to report its first percent.
    constexpr double SlowFactor = 2.0; ///< Tasks of one step and speeds of healthy workers differ by less.
    constexpr double SlowDeviations = 3.0; ///< Deviation from the expected run time that is significant.
    constexpr double CautiousDeviations = 1.0; ///< A restart must pay off even if the task takes this many standard deviations longer elsewhere.
    constexpr double MaxEndUncertainty = 0.25; ///< Maximum uncertainty of the end time, as a share of the run time.

    double slownessOf(const WorkerSlowness &worker)
    {
        return worker.weight > 0 ? worker.sum / worker.weight : 0.0;
    }

    bool isWorkerSlow(const WorkerSlowness &worker)
    {
        return slownessOf(worker) > std::log(SlowFactor) && slownessOf(worker) * std::sqrt(worker.weight) > SlowDeviations;
    }

    bool isStalled(const ProgressInput &input)
    {
        const RunProgress &progress = input.progress;
        const double observedPercentMs =
            progress.percent > progress.firstPercent ? progress.workMs / static_cast<double>(progress.percent - progress.firstPercent) : 0.0;
        const double expectedPercentMs = static_cast<double>(runTimeAt(input.runTimeEstimate, CautiousDeviations).ms) / 100.0;
        const double limit = std::max(static_cast<double>(StallTimeoutMs), StallPercents * std::max(observedPercentMs, expectedPercentMs));
        return static_cast<double>(progress.lastClockMs - progress.changedClockMs) >= limit;
    }

    /** Returns whether the task would complete earlier if restarted on another worker. */
    bool isRestartFaster(const ProgressInput &input, const ObservedRunTime &observed)
    {
        const double doneShare = static_cast<double>(input.progress.percent) / 100.0;
        const double remainingTime = observed.ms * (1.0 - doneShare);
        const double wholeTime = static_cast<double>(runTimeAt(input.runTimeEstimate, CautiousDeviations).ms);
        const double restartedTime = wholeTime * (input.isCheckpointed ? 1.0 - doneShare : 1.0) + static_cast<double>(input.restartDelay.ms);
        return remainingTime > restartedTime;
    }

} // namespace

void updateProgress(RunProgress &progress, std::int64_t percent, std::int64_t clockMs, double speedShare)
{
    if (!progress.firstClockMs) {
        progress = {clockMs, percent, clockMs, clockMs, percent, 0.0};
        return;
    }
    if (clockMs <= progress.lastClockMs) {
        // An outdated report that was overtaken by a newer one.
        return;
    }
    progress.workMs += static_cast<double>(clockMs - progress.lastClockMs) * std::clamp(speedShare, MinSpeedShare, 1.0);
    progress.lastClockMs = clockMs;
    if (percent > progress.percent) {
        progress.changedClockMs = clockMs;
        progress.percent = percent;
    }
}

std::optional<ObservedRunTime> observedRunTime(const RunProgress &progress)
{
    if (!progress.firstClockMs || progress.lastClockMs - *progress.firstClockMs < MinObservationMs) {
        return std::nullopt;
    }
    const double gained = std::max(MinGainPercent, static_cast<double>(progress.percent - progress.firstPercent));
    return ObservedRunTime{progress.workMs * 100.0 / gained, gained};
}

std::optional<Duration> measuredRunTime(const RunProgress &progress, std::int64_t endClockMs)
{
    if (!progress.firstClockMs || progress.firstPercent >= 50) {
        return std::nullopt;
    }
    const double unseen = static_cast<double>(endClockMs - progress.lastClockMs);
    const double gained = static_cast<double>(100 - progress.firstPercent) / 100.0;
    const double wholeTime = (progress.workMs + unseen / 2) / gained;
    const bool isKnown = unseen / 2 <= MaxEndUncertainty * wholeTime;
    if (isKnown) {
        return Duration{static_cast<std::int64_t>((progress.workMs + unseen) / gained)};
    }
    const auto observed = observedRunTime(progress);
    return observed && observed->gainedPercent >= 30 ? std::optional<Duration>(Duration{static_cast<std::int64_t>(observed->ms)}) : std::nullopt;
}

void addSlownessSample(WorkerSlowness &slowness, const ObservedRunTime &observed, const RunTimeEstimate &runTimeEstimate)
{
    const double error = MinGainPercent / observed.gainedPercent;
    const double weight = 1.0 / (runTimeEstimate.variance + error * error);
    slowness.weight += weight;
    slowness.sum += weight * (std::log(std::max(1.0, observed.ms)) - runTimeEstimate.mean);
}

ProgressVerdict assessProgress(const ProgressInput &input)
{
    const auto observed = observedRunTime(input.progress);
    if (!observed || input.isThrottled) {
        return ProgressVerdict::Normal;
    }
    if (isStalled(input)) {
        return ProgressVerdict::Stalled;
    }
    WorkerSlowness own;
    addSlownessSample(own, *observed, input.runTimeEstimate);
    const bool isWorkerAtFault = isWorkerSlow(input.worker) || isWorkerSlow(own);
    return isWorkerAtFault && isRestartFaster(input, *observed) ? ProgressVerdict::Slow : ProgressVerdict::Normal;
}

} // namespace Filbertlanding
