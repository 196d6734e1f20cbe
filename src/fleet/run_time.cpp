/**
 * @file run_time.cpp Fit of run times.
 *
 * Load: callers whose stated run times are right within some tenths, and callers whose stated times say next to nothing. With the former the
 * line stays near the stated time, with the latter it turns towards the mean of the queue, and its error tells which of them it is.
 */

#include "fleet/run_time.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double PriorWeight = 3.0; ///< Weight of the stated time being right, in steps.
    constexpr double PriorSpread = 1.0; ///< Weight of the slope 1, as a sum of squared distances of stated times from their mean.
    constexpr double PriorVariance = 0.2; ///< Of the logarithm of a true time against the stated one, before anything was seen.
    constexpr double SiblingVariance = 0.04; ///< Between the tasks of one step.
    constexpr double PercentError = 1.0; ///< Progress comes in whole percents.
    constexpr double LargestError = 2.5; ///< In standard deviations; errors beyond are cut, since a bad worker says nothing of the step.
    constexpr double MostWeight = 200.0; ///< Steps beyond push the older ones out.
    constexpr std::size_t MostImages = 256; ///< Of one queue; images beyond have no offset of their own.
    constexpr std::size_t MostQueues = 4096; ///< Queues beyond are not learned.

    double logOf(Duration time)
    {
        return std::log(static_cast<double>(std::max<std::int64_t>(1, time.ms)));
    }

    /** Returns the mean of the stated times. */
    double meanStated(const RunTimeSums &sums)
    {
        return sums.weight > 0 ? sums.x / sums.weight : 0.0;
    }

    /** Returns the expectation of the line alone. */
    double lineAt(const RunTimeSums &sums, double x)
    {
        const double center = meanStated(sums);
        const double spread = sums.xx - sums.x * center;
        const double joint = sums.xy - sums.y * center;
        const double slope = std::clamp((joint + PriorSpread) / (spread + PriorSpread), 0.0, 2.0);
        const double offset = (sums.y - sums.x) / (sums.weight + PriorWeight);
        return center + offset + slope * (x - center);
    }

    double offsetOf(const RunTimeSums &sums, const std::string &image)
    {
        const auto found = sums.images.find(image);
        return found == sums.images.end() ? 0.0 : found->second.sum / (found->second.weight + PriorWeight);
    }

    double varianceOf(const RunTimeSums &sums)
    {
        return (sums.squaredErrors + PriorVariance * PriorWeight) / (sums.errorWeight + PriorWeight);
    }

    /** Returns the stated time as a logarithm; the mean of the others if there is none. */
    double statedTime(const RunTimeSums &sums, const StepSpec &step)
    {
        return step.estimate.ms > 0 || sums.weight <= 0 ? logOf(step.estimate) : meanStated(sums);
    }

    RunTimeEstimate beliefOf(const RunTimeSums &sums, const StepSpec &step)
    {
        return {lineAt(sums, statedTime(sums, step)) + offsetOf(sums, step.image), varianceOf(sums)};
    }

    /** Lets older steps count less once there are many. */
    void limitWeight(RunTimeSums &sums)
    {
        if (sums.weight <= MostWeight) {
            return;
        }
        const double factor = MostWeight / sums.weight;
        for (double *sum : {&sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy, &sums.errorWeight, &sums.squaredErrors}) {
            *sum *= factor;
        }
        for (auto &[image, offset] : sums.images) {
            offset.weight *= factor;
            offset.sum *= factor;
        }
    }

} // namespace

void learnRunTime(RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step, Duration taken, double weight)
{
    if (model.queues.size() >= MostQueues && !model.queues.contains(queue)) {
        return;
    }
    RunTimeSums &sums = model.queues[queue];
    const RunTimeEstimate before = beliefOf(sums, step);
    const double x = statedTime(sums, step);
    const double limit = LargestError * std::sqrt(before.variance);
    const double error = std::clamp(logOf(taken) - before.mean, -limit, limit);
    const double y = before.mean + error;
    sums.errorWeight += weight;
    sums.squaredErrors += weight * error * error;
    sums.weight += weight;
    sums.x += weight * x;
    sums.y += weight * y;
    sums.xx += weight * x * x;
    sums.xy += weight * x * y;
    if (sums.images.contains(step.image) || sums.images.size() < MostImages) {
        ImageOffset &offset = sums.images[step.image];
        offset.weight += weight;
        offset.sum += weight * (y - lineAt(sums, x));
    }
    limitWeight(sums);
}

RunTimeEstimate expectedRunTime(const RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step)
{
    const auto found = model.queues.find(queue);
    return beliefOf(found == model.queues.end() ? RunTimeSums() : found->second, step);
}

RunTimeEvidence makeEvidence(double shownMs, double gainedPercent)
{
    const double error = PercentError / std::max(PercentError, gainedPercent);
    const double weight = 1.0 / (SiblingVariance + error * error);
    return {weight, weight * std::log(std::max(1.0, shownMs))};
}

RunTimeEstimate updateEstimate(const RunTimeEstimate &prior, const RunTimeEvidence &evidence)
{
    const double precision = 1.0 / prior.variance + evidence.weight;
    const double mean = (prior.mean / prior.variance + evidence.sum) / precision;
    // The mean of the step is known better with each run, the single task differs from it all the same.
    return {mean, evidence.weight > 0 ? 1.0 / precision + SiblingVariance : prior.variance};
}

Duration runTimeAt(const RunTimeEstimate &runTimeEstimate, double deviations)
{
    constexpr double LongestLog = 20.0; // More than five days; keeps the number in range.
    return {static_cast<std::int64_t>(std::exp(std::min(LongestLog, runTimeEstimate.mean + deviations * std::sqrt(runTimeEstimate.variance))))};
}

} // namespace Filbertlanding
