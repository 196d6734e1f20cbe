/** @file size_estimate.h Learned task sizes: a high quantile of the measured usage of each class. */

#pragma once

#include "core/names_type.h"

#include <array>
#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Parameters of the size estimate. */
struct SizeSettings {
    double priorFactor = 4.0; ///< Factor on the declared size of classes without enough samples; declared sizes are up to 4 times too small.
    double quantile = 0.95; ///< Quantile of the peak usage of past tasks.
    double margin = 1.1; ///< Safety factor on the quantile.
    double minSamples = 8; ///< Total weight of samples below which priorFactor applies.
    double decayFactor = 0.98; ///< Factor on the weight of old samples with each new sample; the effective number of samples is about 50.
};

constexpr std::size_t SizeBins = 48; ///< Bins with a width of a factor of 2^(1/4), from 1/64 to 64 times the declared size.

/** Histogram of the ratio of used to declared size, for one class and one resource. */
struct SizeHistogram {
    std::array<float, SizeBins> weight{}; ///< Decayed count of samples in each bin.
    float total = 0; ///< Sum of the weights.
};

/** Size estimate of one class. */
struct SizeEstimate {
    SizeHistogram cpu;
    SizeHistogram memory;
};

/** Adds the peak usage of a task that ran unthrottled. Resources with a declared size of 0 are ignored. */
void learnSize(SizeEstimate &estimate, const Resources &declared, const Resources &peak, const SizeSettings &settings);

/**
 * Returns the size to charge for a new task of the class.
 * Accelerators are charged as declared, since a task cannot use an accelerator that it was not given.
 */
Resources learnedSize(const SizeEstimate &estimate, const Resources &declared, const SizeSettings &settings);

} // namespace Filbertlanding
