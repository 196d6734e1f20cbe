/** @file run_progress.h Tells from the progress of a run whether its worker is at fault. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <optional>

namespace Filbertlanding {

/** Progress of one run as looks show it. */
struct RunProgress {
    std::optional<TimePoint> firstAt; ///< First look that listed it.
    std::int64_t firstPercent = 0;
    TimePoint changedAt; ///< Last look that showed more progress than the one before.
    std::int64_t percent = 0;
};

/** Notes what a look shows. */
void noteProgress(RunProgress &progress, std::int64_t percent, TimePoint now);

/** What matters for the judgement of a run. */
struct ProgressInput {
    RunProgress progress;
    Duration expected; ///< Time that the whole task should take where it runs.
    bool isPaced = false; ///< It does not run at full speed by our own order.
    double usedShare = 1.0; ///< Processors that it gets, as a share of what it asks for.
    Duration moveCost; ///< Time until it would run again elsewhere.
};

/** Judgement on a run. */
enum class ProgressVerdict : std::uint8_t {
    Fine,
    Standing, ///< It does not move at all.
    Slow, ///< It would be done sooner if it began anew elsewhere.
};

ProgressVerdict judgeProgress(const ProgressInput &input, TimePoint now);

} // namespace Filbertlanding
