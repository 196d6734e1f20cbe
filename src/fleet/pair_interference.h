/**
 * @file pair_interference.h Model of the interference of spare-capacity tasks with long-running tasks, learned for each pair of images.
 *
 * The tail latency of a long-running task, relative to its target, is modelled as a constant plus, for each spare image on the same worker, a
 * slope times the share of the worker's CPU that this image uses. The slopes are fitted by regularised non-negative least squares over samples
 * with exponentially decaying weights.
 */

#pragma once

#include "core/clock_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Share of a worker's CPU used by spare-capacity tasks, by image. */
using SpareCpuShares = std::map<std::string, double>;

/** Model of one long-running image. */
struct TailLatencyModel {
    std::vector<std::string> images; ///< Spare images with samples; image i belongs to input and slope i + 1.
    std::vector<std::vector<double>> products; ///< Decayed sums of products of inputs; input 0 is the constant 1.
    std::vector<double> targets; ///< Decayed sums of inputs times tail ratios.
    std::vector<double> slopes; ///< Constant, followed by a slope for each spare image.
    double errorWeight = 0; ///< Decayed number of samples.
    double squaredErrors = 0; ///< Decayed sum of squared prediction errors.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->images, this->products, this->targets, this->slopes, this->errorWeight, this->squaredErrors);
    }
};

/** Models of all long-running images. */
struct PairInterference {
    std::map<std::string, TailLatencyModel> models;
    std::set<std::string> spareImages; ///< All spare images with samples.
    TimePoint fittedAt; ///< Time of the latest fit.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->models); // spareImages is rebuilt from the models, and fittedAt is meaningless on another daemon's clock.
    }
};

/** Adds a sample: the tail latency of a long-running task relative to its target, and the spare-capacity tasks on the same worker. */
void addTailSample(PairInterference &model, const std::string &longRunningImage, double tailRatio, const SpareCpuShares &shares);

/** Decays old samples and refits the slopes, at most once per fit interval. */
void refitInterference(PairInterference &model, TimePoint now);

/** Returns the expected tail latency of a long-running image relative to its target. */
double expectedTailRatio(const PairInterference &model, const std::string &longRunningImage, const SpareCpuShares &shares);

/** Returns the standard deviation of the tail ratios of a long-running image around their expectation. */
double tailDeviation(const PairInterference &model, const std::string &longRunningImage);

/** Returns the probability that a tail latency exceeds its target, given its expected ratio to the target and the deviation around it. */
double probabilityOverTarget(double expectedRatio, double deviation);

/** Returns the rise of the expected tail ratio per share of the worker's CPU that a spare image uses. */
double interferenceSlope(const PairInterference &model, const std::string &longRunningImage, const std::string &spareImage);

} // namespace Filbertlanding
