/**
 * @file pair_interference.h How much tasks in spare room press on lasting tasks, learned for each pair of images.
 *
 * The tail of a lasting task, as a share of its target, is modelled as a base and, for each image in spare room beside it, a slope times
 * the share of the worker's processors that this image uses. Slopes are fitted by regularised least squares without negative slopes, over
 * samples whose weight decays.
 */

#pragma once

#include "core/clock_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Share of a worker's processors by image of the tasks in spare room. */
using SpareCpuShares = std::map<std::string, double>;

/** What is known of one image of lasting tasks. */
struct TailLatencyModel {
    std::vector<std::string> images; ///< Images in spare room that were seen beside it; the order of the slopes.
    std::vector<std::vector<double>> products; ///< Decayed sums of products of the inputs; input 0 is the constant 1.
    std::vector<double> targets; ///< Decayed sums of inputs times tails.
    std::vector<double> slopes; ///< Base, then a slope for each image.
    double errorWeight = 0; ///< Decayed weight of the observations.
    double squaredErrors = 0; ///< Decayed sum of squared errors of what was expected of them.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->images, this->products, this->targets, this->slopes, this->errorWeight, this->squaredErrors);
    }
};

/** The model of all lasting images. */
struct PairInterference {
    std::map<std::string, TailLatencyModel> models;
    std::set<std::string> spareImages; ///< All images in spare room that were seen.
    TimePoint fittedAt;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->models); // The images are in the models; points in time say nothing on another daemon's clock.
    }
};

/** Takes one observation: the tail of a lasting task as a share of its target, beside tasks in spare room. */
void addTailSample(PairInterference &model, const std::string &longRunningImage, double tailRatio, const SpareCpuShares &shares);

/** Lets old observations count less and fits the slopes anew, if it is time. */
void refitInterference(PairInterference &model, TimePoint now);

/** Returns the expected tail of a lasting image as a share of its target. */
double expectedTailRatio(const PairInterference &model, const std::string &longRunningImage, const SpareCpuShares &shares);

/** Returns the chance that a lasting image is over its target at an expected tail, as its load swings around the mean. */
double probabilityOverTarget(const PairInterference &model, const std::string &longRunningImage, double expectedRatio);

/** Returns how much the expected tail rises for each share of the processors that an image uses. */
double interferenceSlope(const PairInterference &model, const std::string &longRunningImage, const std::string &spareImage);

} // namespace Filbertlanding
