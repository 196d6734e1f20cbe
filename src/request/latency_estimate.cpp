/** @file latency_estimate.cpp Exponentially weighted estimate of a latency quantile. */

#include "request/latency_estimate.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr float DeviationWeight = 0.05F; ///< Weight of a sample in the mean deviation.
    constexpr float StepRatio = 0.2F; ///< Step size of the estimate relative to the mean deviation.
    constexpr float MinEstimateMs = 0.001F; ///< Keeps the estimate above 0, which means that there are no samples.

    struct Estimate {
        float quantile = 0; ///< Estimate in milliseconds; 0 if there are no samples.
        float meanDeviation = 0; ///< Mean absolute deviation of the samples from the estimate, in milliseconds.
    };

    Estimate unpack(std::uint64_t packed)
    {
        return {std::bit_cast<float>(static_cast<std::uint32_t>(packed >> 32)), std::bit_cast<float>(static_cast<std::uint32_t>(packed))};
    }

    std::uint64_t pack(Estimate estimate)
    {
        return std::uint64_t{std::bit_cast<std::uint32_t>(estimate.quantile)} << 32 | std::bit_cast<std::uint32_t>(estimate.meanDeviation);
    }

    /**
     * Moves the estimate up by p steps if the sample is above it, otherwise down by 1 - p steps.
     * It converges to the value below which a fraction p of the samples lies.
     */
    Estimate applySample(Estimate estimate, float sample)
    {
        if (estimate.quantile == 0) {
            return {sample, sample / 2};
        }
        const float meanDeviation = estimate.meanDeviation + DeviationWeight * (std::abs(sample - estimate.quantile) - estimate.meanDeviation);
        const float step = StepRatio * meanDeviation;
        const bool above = sample > estimate.quantile;
        const float move = above ? step * static_cast<float>(EstimatedQuantile) : -step * static_cast<float>(1 - EstimatedQuantile);
        return {std::max(estimate.quantile + move, MinEstimateMs), meanDeviation};
    }

} // namespace

void LatencyEstimate::add(double sampleMs)
{
    const float sample = std::max(static_cast<float>(sampleMs), MinEstimateMs);
    std::uint64_t before = this->packed.load(std::memory_order_relaxed);
    while (!this->packed.compare_exchange_weak(before, pack(applySample(unpack(before), sample)), std::memory_order_relaxed)) {
    }
}

double LatencyEstimate::quantileMs() const
{
    const Estimate estimate = unpack(this->packed.load(std::memory_order_relaxed));
    return estimate.quantile == 0 ? 1.0 : estimate.quantile;
}

bool LatencyEstimate::hasSamples() const
{
    return this->packed.load(std::memory_order_relaxed) != 0;
}

} // namespace Filbertlanding
