/** @file pair_interference.cpp Least-squares fit of interference between pairs of images. */

#include "fleet/pair_interference.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double PriorBase = 0.45; ///< Tail ratio without interference, before any sample.
    constexpr double PriorSlope = 1.0; ///< Between the slopes of a pair without interference and of one with it.
    constexpr double PriorWeight = 0.15; ///< Weight of the prior slope, in samples with all of the CPU used.
    constexpr double PriorBaseWeight = 2.0; ///< Weight of the prior constant, in samples.
    constexpr double PriorVariance = 0.03; ///< Variance of tail ratios around their expectation, before any sample.
    constexpr double PriorVarianceWeight = 20.0; ///< Weight of the prior variance, in samples.
    constexpr double MaxTailRatio = 3.0; ///< Higher tail ratios are clamped: the tail latency of an overloaded task says nothing about the slope.
    constexpr Duration FitInterval{500};
    constexpr Duration HalfLife{20'000}; ///< Interference changes with the load of both images.
    constexpr int FitSweeps = 12; ///< Coordinate descent starts from the previous fit, so a few sweeps suffice.
    constexpr std::size_t MaxImages = 64; ///< Maximum number of spare images per model; further ones are treated as unknown.

    std::size_t findOrAddInput(TailLatencyModel &model, const std::string &image)
    {
        const auto found = std::find(model.images.begin(), model.images.end(), image);
        if (found != model.images.end()) {
            return static_cast<std::size_t>(found - model.images.begin()) + 1;
        }
        model.images.push_back(image);
        for (auto &row : model.products) {
            row.push_back(0);
        }
        model.products.emplace_back(model.images.size() + 1, 0.0);
        model.targets.push_back(0);
        model.slopes.push_back(PriorSlope);
        return model.images.size();
    }

    TailLatencyModel &findOrAddModel(PairInterference &model, const std::string &image)
    {
        const auto [place, isNew] = model.models.try_emplace(image);
        if (isNew) {
            place->second.products = {{0.0}};
            place->second.targets = {0.0};
            place->second.slopes = {PriorBase};
        }
        return place->second;
    }

    void decay(TailLatencyModel &model, double factor)
    {
        for (auto &row : model.products) {
            for (double &value : row) {
                value *= factor;
            }
        }
        for (double &value : model.targets) {
            value *= factor;
        }
        model.errorWeight *= factor;
        model.squaredErrors *= factor;
    }

    /** Minimises the weighted squared error plus the prior by coordinate descent, with all slopes kept non-negative. */
    void fit(TailLatencyModel &model)
    {
        for (int sweep = 0; sweep < FitSweeps; ++sweep) {
            for (std::size_t i = 0; i < model.slopes.size(); ++i) {
                const double prior = i == 0 ? PriorBase : PriorSlope;
                const double weight = i == 0 ? PriorBaseWeight : PriorWeight;
                double rest = model.targets[i] + weight * prior;
                for (std::size_t j = 0; j < model.slopes.size(); ++j) {
                    rest -= j == i ? 0.0 : model.products[i][j] * model.slopes[j];
                }
                model.slopes[i] = std::max(0.0, rest / (model.products[i][i] + weight));
            }
        }
    }

} // namespace

void addTailSample(PairInterference &model, const std::string &longRunningImage, double tailRatio, const SpareCpuShares &shares)
{
    TailLatencyModel &tails = findOrAddModel(model, longRunningImage);
    std::vector<std::pair<std::size_t, double>> inputs{{0, 1.0}};
    for (const auto &[image, share] : shares) {
        if (share > 0 && (tails.images.size() < MaxImages || std::find(tails.images.begin(), tails.images.end(), image) != tails.images.end())) {
            inputs.emplace_back(findOrAddInput(tails, image), share);
            model.spareImages.insert(image);
        }
    }
    const double tail = std::min(tailRatio, MaxTailRatio);
    double error = tail;
    for (const auto &[i, input] : inputs) {
        error -= tails.slopes[i] * input;
    }
    tails.errorWeight += 1.0;
    tails.squaredErrors += error * error;
    for (const auto &[i, left] : inputs) {
        tails.targets[i] += left * tail;
        for (const auto &[j, right] : inputs) {
            tails.products[i][j] += left * right;
        }
    }
}

void refitInterference(PairInterference &model, TimePoint now)
{
    if (now - model.fittedAt < FitInterval) {
        return;
    }
    const Duration passed = std::min(now - model.fittedAt, HalfLife);
    model.fittedAt = now;
    const double factor = std::exp2(-static_cast<double>(passed.ms) / static_cast<double>(HalfLife.ms));
    for (auto &[image, tails] : model.models) {
        decay(tails, factor);
        fit(tails);
    }
}

double interferenceSlope(const PairInterference &model, const std::string &longRunningImage, const std::string &spareImage)
{
    const auto found = model.models.find(longRunningImage);
    if (found == model.models.end()) {
        return PriorSlope;
    }
    const TailLatencyModel &tails = found->second;
    const auto image = std::find(tails.images.begin(), tails.images.end(), spareImage);
    return image == tails.images.end() ? PriorSlope : tails.slopes[static_cast<std::size_t>(image - tails.images.begin()) + 1];
}

double expectedTailRatio(const PairInterference &model, const std::string &longRunningImage, const SpareCpuShares &shares)
{
    const auto found = model.models.find(longRunningImage);
    double tail = found == model.models.end() ? PriorBase : found->second.slopes.front();
    for (const auto &[image, share] : shares) {
        tail += interferenceSlope(model, longRunningImage, image) * share;
    }
    return tail;
}

double tailDeviation(const PairInterference &model, const std::string &longRunningImage)
{
    const auto found = model.models.find(longRunningImage);
    const double weight = found == model.models.end() ? 0.0 : found->second.errorWeight;
    const double errors = found == model.models.end() ? 0.0 : found->second.squaredErrors;
    return std::sqrt((errors + PriorVariance * PriorVarianceWeight) / (weight + PriorVarianceWeight));
}

double probabilityOverTarget(double expectedRatio, double deviation)
{
    return 0.5 * std::erfc((1.0 - expectedRatio) / (std::sqrt(2.0) * deviation));
}

} // namespace Filbertlanding
