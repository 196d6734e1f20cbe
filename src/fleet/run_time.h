/**
 * @file run_time.h Run times of tasks, learned from runs.
 *
 * The logarithm of a step's run time is modelled as a line in the logarithm of the time that its caller states, fitted for each queue, plus an
 * offset for each image. What runs of the step itself have shown counts more than that: tasks of one step differ little.
 */

#pragma once

#include "core/clock_type.h"
#include "fleet/fleet_type.h"

#include <map>
#include <string>

namespace Filbertlanding {

/** Belief about the run time of one task at full speed, near its data: normal in the logarithm of milliseconds. */
struct RunTimeEstimate {
    double mean = 0;
    double variance = 0;
};

/** Steps whose run times are learned together. */
struct RunTimeKey {
    std::string host; ///< Of the queue.
    std::string pathPrefix; ///< Of the queue.

    auto operator<=>(const RunTimeKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->host, this->pathPrefix);
    }
};

/** Offset of an image from the line of its queue. */
struct ImageOffset {
    double weight = 0;
    double sum = 0; ///< Weighted sum of what is left over by the line.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->weight, this->sum);
    }
};

/** Weighted sums over the tasks of one queue; x is the stated and y the true time, both as logarithms. */
struct RunTimeSums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double errorWeight = 0;
    double squaredErrors = 0; ///< Of predictions that were made before the step had run.
    std::map<std::string, ImageOffset> images;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->weight, this->x, this->y, this->xx, this->xy, this->errorWeight, this->squaredErrors, this->images);
    }
};

/** Run times of all queues. */
struct RunTimeModel {
    std::map<RunTimeKey, RunTimeSums> queues;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->queues);
    }
};

/** What runs of one step show of its run time: sums weighted by the inverse of the variance. */
struct RunTimeEvidence {
    double weight = 0;
    double sum = 0;
};

/** Takes the true run time of a task that is done. The weight is 1 for a step of one task, less for one of many, since these are alike. */
void learnRunTime(RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step, Duration taken, double weight);

/** Returns what to expect of a step of which nothing has run. */
RunTimeEstimate expectedRunTime(const RunTimeModel &model, const RunTimeKey &queue, const StepSpec &step);

/** Returns what one run shows that has gained so many percent. */
RunTimeEvidence makeEvidence(double shownMs, double gainedPercent);

/** Returns the belief about a task of a step, given what other runs of the step show. */
RunTimeEstimate updateEstimate(const RunTimeEstimate &prior, const RunTimeEvidence &evidence);

/** Returns the time that a task takes with the given distance from the mean, in standard deviations. */
Duration runTimeAt(const RunTimeEstimate &runTimeEstimate, double deviations);

} // namespace Filbertlanding
