/** @file latency_estimate.cpp Exponentially weighted estimate of a latency quantile. */

#include "request/latency_estimate.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr float DeviationWeight = 0.05F; ///< Weight of a sample in the mean distance.
    constexpr float StepRatio = 0.2F; ///< Step of the estimate as a share of the mean distance.
    constexpr float MinEstimateMs = 0.001F; ///< Keeps the estimate above 0, which stands for unknown.

    struct Estimate {
        float quantile = 0; ///< Estimate in milliseconds.
        float meanDeviation = 0; ///< Mean distance of samples from it in milliseconds.
    };

    Estimate unpack(std::uint64_t packed)
    {
        return {std::bit_cast<float>(static_cast<std::uint32_t>(packed >> 32)), std::bit_cast<float>(static_cast<std::uint32_t>(packed))};
    }

    std::uint64_t pack(Estimate estimate)
    {
        return std::uint64_t{std::bit_cast<std::uint32_t>(estimate.quantile)} << 32 | std::bit_cast<std::uint32_t>(estimate.meanDeviation);
    }

    /** Moves the estimate up by p steps or down by 1 - p steps, so that it rests where a share p of the samples lies below. */
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
