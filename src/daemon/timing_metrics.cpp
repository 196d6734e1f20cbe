/** @file timing_metrics.cpp Durations of steps that an operator watches. */

#include "daemon/timing_metrics.h"

#include "core/clock_func.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <mutex>

namespace Filbertlanding {

namespace acc = boost::accumulators;

namespace {

    using Durations = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::p_square_quantile>>;

    constexpr double WatchedQuantile = 0.99;

    /** One step with its lock; steps are recorded by different threads. */
    struct Step {
        mutable std::mutex mutex;
        Durations durations{acc::quantile_probability = WatchedQuantile};
    };

    std::uint64_t toMicroseconds(double value)
    {
        return value > 0 ? static_cast<std::uint64_t>(value) : 0;
    }

} // namespace

struct TimingMetrics::Impl {
    std::array<Step, TimedStepNames.rows.size()> steps;
};

TimingMetrics::TimingMetrics()
    : impl(std::make_unique<Impl>())
{
}

TimingMetrics::~TimingMetrics() = default;

void TimingMetrics::record(TimedStep step, std::int64_t microseconds)
{
    Step &target = this->impl->steps[static_cast<std::size_t>(step)];
    const std::lock_guard lock(target.mutex);
    target.durations(static_cast<double>(microseconds));
}

TimingSummary TimingMetrics::summary(TimedStep step) const
{
    const Step &source = this->impl->steps[static_cast<std::size_t>(step)];
    const std::lock_guard lock(source.mutex);
    const auto count = acc::count(source.durations);
    if (count == 0) {
        return {};
    }
    return {count,
            toMicroseconds(acc::mean(source.durations)),
            toMicroseconds(acc::p_square_quantile(source.durations)),
            toMicroseconds(acc::max(source.durations))};
}

StepTimer::StepTimer(TimingMetrics &target, TimedStep timedStep)
    : metrics(target)
    , step(timedStep)
    , startedUs(steadyMicroseconds())
{
}

StepTimer::~StepTimer()
{
    this->metrics.record(this->step, steadyMicroseconds() - this->startedUs);
}

} // namespace Filbertlanding
