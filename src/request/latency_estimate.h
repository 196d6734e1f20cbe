/** @file latency_estimate.h Exponentially weighted estimate of a latency quantile, updated by several threads. */

#pragma once

#include <atomic>
#include <cstdint>

namespace Filbertlanding {

/** Quantile that is estimated. Tail latency is the goal, and the 99th percentile needs more samples than a worker gets in a minute. */
constexpr double EstimatedQuantile = 0.9;

/** Running estimate of a quantile in milliseconds. Lock-free. */
class LatencyEstimate
{
public:
    /** Adds a sample in milliseconds. The weight of earlier samples halves about every 14 samples. */
    void add(double sampleMs);

    /** Returns the estimate in milliseconds, or a default of 1 ms while there is no sample. */
    double quantileMs() const;

    /** Returns whether there has been a sample. */
    bool hasSamples() const;

private:
    std::atomic<std::uint64_t> packed{0}; ///< Two floats: estimate (high half) and mean distance of samples from it (low half).
};

} // namespace Filbertlanding
