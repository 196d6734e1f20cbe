/** @file latency_estimate.h Lock-free, exponentially weighted estimate of a latency quantile. */

#pragma once

#include <atomic>
#include <cstdint>

namespace Filbertlanding {

/** The estimated quantile. Routing minimizes tail latency, but the 99th percentile would need more samples than a worker gets in a minute. */
constexpr double EstimatedQuantile = 0.9;

/** Running estimate of a latency quantile in milliseconds. May be updated and read by several threads. */
class LatencyEstimate
{
public:
    /** Adds a sample in milliseconds. The weight of earlier samples halves roughly every 14 samples. */
    void add(double sampleMs);

    /** Returns the estimate in milliseconds, or 1 ms if there are no samples. */
    double quantileMs() const;

    bool hasSamples() const;

private:
    std::atomic<std::uint64_t> packed{0}; ///< Two floats: the estimate (high half) and the mean absolute deviation of samples from it (low half).
};

} // namespace Filbertlanding
