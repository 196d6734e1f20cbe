/**
 * @file run_progress.cpp Standing and slow runs.
 *
 * Load: workers on which every task stands still or runs several times slower for seconds, while they answer and report as always.
 * A short job that waits for one such task misses its objective, so the task is begun anew elsewhere as soon as that is sooner.
 */

#include "fleet/run_progress.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration LeastWatched{300}; ///< Progress comes in whole percents and looks come at odd times; a shorter span says little.
    constexpr Duration StandingTime{800}; ///< No progress for so long, with processors to use, means that the task stands.
    constexpr double SlowFactor = 2.5; ///< Declared run times are off by some tenths; so much more is the worker's doing.

} // namespace

void noteProgress(RunProgress &progress, std::int64_t percent, TimePoint now)
{
    if (!progress.firstAt) {
        progress = {now, percent, now, percent};
        return;
    }
    if (percent > progress.percent) {
        progress.changedAt = now;
        progress.percent = percent;
    }
}

ProgressVerdict judgeProgress(const ProgressInput &input, TimePoint now)
{
    const RunProgress &progress = input.progress;
    if (!progress.firstAt || input.isPaced || now - *progress.firstAt < LeastWatched) {
        return ProgressVerdict::Fine;
    }
    // A long task shows no new percent for a while at full speed.
    const Duration onePercent{input.expected.ms / 50};
    if (now - progress.changedAt >= std::max(StandingTime, onePercent)) {
        return ProgressVerdict::Standing;
    }
    const auto watched = static_cast<double>((now - *progress.firstAt).ms);
    const double gained = std::max(0.5, static_cast<double>(progress.percent - progress.firstPercent));
    const double whole = watched * 100.0 / gained * std::max(0.05, input.usedShare);
    const double left = watched * static_cast<double>(100 - progress.percent) / gained;
    const auto expected = static_cast<double>(input.expected.ms);
    const bool isSlow = whole > SlowFactor * expected && left > expected + static_cast<double>(input.moveCost.ms);
    return isSlow ? ProgressVerdict::Slow : ProgressVerdict::Fine;
}

} // namespace Filbertlanding
