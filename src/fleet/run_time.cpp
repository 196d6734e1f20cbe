/**
 * @file run_time.cpp Regression of run times.
 *
 * Some callers declare run times within some tens of percent, others declare values that say next to nothing. For the former the regression line
 * stays near the declared run time, for the latter it turns towards the mean of the queue. The prediction error tells the two apart.
 */

#include "fleet/run_time.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double PriorWeight = 3.0; ///< Weight of the assumption that the declared run time is right, in steps.
    constexpr double PriorSpread = 1.0; ///< Weight of the slope 1, as a sum of squared deviations of declared run times from their mean.
    constexpr double PriorVariance = 0.2; ///< Variance of the logarithm of actual over declared run time, before any sample.
    constexpr double SameStepVariance = 0.04; ///< Variance between tasks of one step.
    constexpr double PercentError = 1.0; ///< Progress is reported in whole percents.
    constexpr double MaxErrorDeviations = 2.5; ///< Larger errors, in standard deviations, are clamped, since a faulty worker says nothing about the step.
    constexpr double MaxWeight = 200.0; ///< Maximum weight in steps; beyond it, older steps lose weight.
    constexpr std::size_t MaxImages = 256; ///< Maximum number of images per queue; further ones have no offset of their own.
    constexpr std::size_t MaxQueues = 4096; ///< Maximum number of queues; further ones are not learned.

    double logOf(Duration time)
    {
        return std::log(static_cast<double>(std::max<std::int64_t>(1, time.ms)));
    }

    /** Returns the mean logarithm of the declared run times. */
    double meanDeclared(const RunTimeSums &sums)
    {
        return sums.weight > 0 ? sums.x / sums.weight : 0.0;
    }

    /** Returns the value of the regression line, without the offset of the image. */
    double regressionAt(const RunTimeSums &sums, double x)
    {
        const double center = meanDeclared(sums);
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

    /** Returns the logarithm of the declared run time; the mean of the queue if none is declared. */
    double declaredTime(const RunTimeSums &sums, const StepSpec &step)
    {
        return step.estimate.ms > 0 || sums.weight <= 0 ? logOf(step.estimate) : meanDeclared(sums);
    }

    RunTimeEstimate estimateFor(const RunTimeSums &sums, const StepSpec &step)
    {
        return {regressionAt(sums, declaredTime(sums, step)) + offsetOf(sums, step.image), varianceOf(sums)};
    }

    /** Scales down all sums once their weight exceeds the limit. */
    void limitWeight(RunTimeSums &sums)
    {
        if (sums.weight <= MaxWeight) {
            return;
        }
        const double factor = MaxWeight / sums.weight;
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
    if (model.queues.size() >= MaxQueues && !model.queues.contains(queue)) {
        return;
    }
    RunTimeSums &sums = model.queues[queue];
    const RunTimeEstimate before = estimateFor(sums, step);
    const double x = declaredTime(sums, step);
    const double limit = MaxErrorDeviations * std::sqrt(before.variance);
    const double error = std::clamp(logOf(taken) - before.mean, -limit, limit);
    const double y = before.mean + error;
    sums.errorWeight += weight;
    sums.squaredErrors += weight * error * error;
    sums.weight += weight;
    sums.x += weight * x;
    sums.y += weight * y;
    sums.xx += weight * x * x;
    sums.xy += weight * x * y;
    if (sums.images.contains(step.image) || sums.images.size() < MaxImages) {
        ImageOffset &offset = sums.images[step.image];
        offset.weight += weight;
        offset.sum += weight * (y - regressionAt(sums, x));
    }
    limitWeight(sums);
}

RunTimeEstimate expectedRunTime(const RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step)
{
    const auto found = model.queues.find(queue);
    // A conditional expression would copy the sums with all images.
    if (found == model.queues.end()) {
        return estimateFor(RunTimeSums(), step);
    }
    return estimateFor(found->second, step);
}

RunTimeEvidence makeEvidence(double observedMs, double gainedPercent)
{
    const double error = PercentError / std::max(PercentError, gainedPercent);
    const double weight = 1.0 / (SameStepVariance + error * error);
    return {weight, weight * std::log(std::max(1.0, observedMs))};
}

RunTimeEstimate updateEstimate(const RunTimeEstimate &prior, const RunTimeEvidence &evidence)
{
    const double precision = 1.0 / prior.variance + evidence.weight;
    const double mean = (prior.mean / prior.variance + evidence.sum) / precision;
    // Each run narrows down the mean of the step, but a single task still deviates from that mean.
    return {mean, evidence.weight > 0 ? 1.0 / precision + SameStepVariance : prior.variance};
}

Duration runTimeAt(const RunTimeEstimate &runTimeEstimate, double deviations)
{
    constexpr double MaxLogarithm = 20.0; // Above five days; prevents an overflow.
    return {static_cast<std::int64_t>(std::exp(std::min(MaxLogarithm, runTimeEstimate.mean + deviations * std::sqrt(runTimeEstimate.variance))))};
}

} // namespace Filbertlanding
