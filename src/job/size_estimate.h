/** @file size_estimate.h Learned sizes of tasks: a high quantile of what the class really used. */

#pragma once

#include "core/names_type.h"

#include <array>
#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Constants of the size estimate. */
struct SizeSettings {
    double priorFactor = 4.0; ///< Unmeasured tasks count at this multiple of the declared size: declared sizes are up to 4 times too small.
    double quantile = 0.95; ///< Quantile of the peak use of past tasks.
    double margin = 1.1; ///< Factor on the quantile.
    double minSamples = 8; ///< Weight of samples below which the prior still counts.
    double decayFactor = 0.98; ///< Weight that old samples keep when a new one arrives; about 50 samples count.
};

constexpr std::size_t SizeBins = 48; ///< Bins of a factor 2^(1/4) each: from 1/64 to 64 times the declared size.

/** Histogram of used/declared of one class for one resource. */
struct SizeHistogram {
    std::array<float, SizeBins> weight{}; ///< Decayed count for each bin.
    float total = 0; ///< Sum of the weights.
};

/** Learned size of one class. */
struct SizeEstimate {
    SizeHistogram cpu; ///< Processor time.
    SizeHistogram memory; ///< Memory.
};

/** Adds the peak use of one task that ran unthrottled. Parts with a declared size of 0 are left out. */
void learnSize(SizeEstimate &estimate, const Resources &declared, const Resources &peak, const SizeSettings &settings);

/**
 * Size at which a new task of the class counts.
 * Accelerators count as declared, since a task cannot use one that it was not given.
 */
Resources learnedSize(const SizeEstimate &estimate, const Resources &declared, const SizeSettings &settings);

} // namespace Filbertlanding
