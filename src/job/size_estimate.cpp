/** @file size_estimate.cpp Learned task sizes. */

#include "job/size_estimate.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double BinsPerDoubling = 4.0;
    constexpr double LowestBinLog = -6.0; ///< log2 of the lower edge of the first bin.

    std::size_t binOf(double ratio)
    {
        const double position = (std::log2(std::max(ratio, 1e-6)) - LowestBinLog) * BinsPerDoubling;
        return static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(SizeBins - 1)));
    }

    double upperEdge(std::size_t bin)
    {
        return std::exp2(LowestBinLog + static_cast<double>(bin + 1) / BinsPerDoubling);
    }

    void addSample(SizeHistogram &histogram, std::int64_t declared, std::int64_t peak, double decayFactor)
    {
        if (declared <= 0) {
            return;
        }
        for (float &weight : histogram.weight) {
            weight *= static_cast<float>(decayFactor);
        }
        histogram.weight[binOf(static_cast<double>(peak) / static_cast<double>(declared))] += 1.0F;
        histogram.total = histogram.total * static_cast<float>(decayFactor) + 1.0F;
    }

    double estimateRatio(const SizeHistogram &histogram, const SizeSettings &settings)
    {
        if (histogram.total < static_cast<float>(settings.minSamples)) {
            return settings.priorFactor;
        }
        double rest = histogram.total * (1.0 - settings.quantile);
        for (std::size_t bin = SizeBins; bin-- > 0;) {
            rest -= histogram.weight[bin];
            if (rest < 0) {
                return upperEdge(bin) * settings.margin;
            }
        }
        return settings.priorFactor;
    }

    std::int64_t scaled(std::int64_t amount, double factor)
    {
        return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
    }

} // namespace

void learnSize(SizeEstimate &estimate, const Resources &declared, const Resources &peak, const SizeSettings &settings)
{
    addSample(estimate.cpu, declared.cpuMillis, peak.cpuMillis, settings.decayFactor);
    addSample(estimate.memory, declared.memoryMb, peak.memoryMb, settings.decayFactor);
}

Resources learnedSize(const SizeEstimate &estimate, const Resources &declared, const SizeSettings &settings)
{
    return {scaled(declared.cpuMillis, estimateRatio(estimate.cpu, settings)),
            scaled(declared.memoryMb, estimateRatio(estimate.memory, settings)),
            declared.accelerators};
}

} // namespace Filbertlanding
