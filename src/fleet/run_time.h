/**
 * @file run_time.h Model of task run times, learned from completed runs.
 *
 * The logarithm of a run time is modelled as a linear function of the logarithm of the run time declared by the caller, fitted for each queue,
 * plus an offset for each image. Runs of the same step are stronger evidence, since tasks of one step differ little.
 */

#pragma once

#include "core/clock_type.h"
#include "fleet/fleet_type.h"

#include <map>
#include <string>

namespace Filbertlanding {

/** Estimated run time of a task at full speed and near its data: a log-normal distribution of milliseconds. */
struct RunTimeEstimate {
    double mean = 0; ///< Mean of the logarithm.
    double variance = 0; ///< Variance of the logarithm.
};

/** Identifies the queue whose steps share a model. */
struct RunTimeKey {
    std::string host; ///< Host name of the queue.
    std::string pathPrefix; ///< Path prefix of the queue.

    auto operator<=>(const RunTimeKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->host, this->pathPrefix);
    }
};

/** Offset of an image from the regression line of its queue. */
struct ImageOffset {
    double weight = 0;
    double sum = 0; ///< Weighted sum of the residuals of the line.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->weight, this->sum);
    }
};

/** Weighted sums over the tasks of a queue; x is the logarithm of the declared run time, y that of the actual one. */
struct RunTimeSums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double errorWeight = 0;
    double squaredErrors = 0; ///< Squared errors of predictions made before any run of the step.
    std::map<std::string, ImageOffset> images;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->weight, this->x, this->y, this->xx, this->xy, this->errorWeight, this->squaredErrors, this->images);
    }
};

/** Run time models of all queues. */
struct RunTimeModel {
    std::map<RunTimeKey, RunTimeSums> queues;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->queues);
    }
};

/** Evidence of a step's run time from its own runs: sums weighted by the inverse variance. */
struct RunTimeEvidence {
    double weight = 0;
    double sum = 0;
};

/** Adds the run time of a completed task. The weight is 1 for a step with a single task and less for a step with many, since these are alike. */
void learnRunTime(RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step, Duration taken, double weight);

/** Returns the estimate for a step without any runs of its own. */
RunTimeEstimate expectedRunTime(const RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step);

/** Returns the evidence of a run, given the run time that it shows and the progress in percent that this rests on. */
RunTimeEvidence makeEvidence(double observedMs, double gainedPercent);

/** Returns the estimate for a task of a step, given the evidence of other runs of the step. */
RunTimeEstimate updateEstimate(const RunTimeEstimate &prior, const RunTimeEvidence &evidence);

/** Returns the run time at a distance from the mean, in standard deviations. */
Duration runTimeAt(const RunTimeEstimate &runTimeEstimate, double deviations);

} // namespace Filbertlanding
