/** @file timing_metrics.h Durations of steps that an operator watches: number, mean, 99th percentile, greatest. */

#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <memory>

namespace Filbertlanding {

/** A step that is measured. */
enum class TimedStep : std::uint8_t {
    DiskSync, ///< Writing and syncing entries of the replicated log.
    WorkerReport, ///< Handling one worker report.
    Assignment, ///< One round of assignments by the leader.
    ViewPublication, ///< Publishing the view of the request threads, with the wait for its readers.
};

constexpr auto TimedStepNames = makeNameTable<TimedStep>({{TimedStep::DiskSync, "disk_sync"},
                                                          {TimedStep::WorkerReport, "worker_report"},
                                                          {TimedStep::Assignment, "assignment"},
                                                          {TimedStep::ViewPublication, "view_publication"}});

/** Summary of one step since the start of the process. */
struct TimingSummary {
    std::uint64_t count = 0; ///< Number of times.
    std::uint64_t meanUs = 0; ///< Mean in microseconds.
    std::uint64_t p99Us = 0; ///< Estimated 99th percentile in microseconds.
    std::uint64_t maxUs = 0; ///< Greatest in microseconds.
};

/** Collects durations. Thread-safe. */
class TimingMetrics
{
public:
    TimingMetrics();
    ~TimingMetrics();
    TimingMetrics(const TimingMetrics &) = delete;
    TimingMetrics &operator=(const TimingMetrics &) = delete;

    /** Adds one duration in microseconds. */
    void record(TimedStep step, std::int64_t microseconds);

    /** Returns the summary of a step. */
    TimingSummary summary(TimedStep step) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/** Records the time from its construction to its destruction. */
class StepTimer
{
public:
    StepTimer(TimingMetrics &target, TimedStep timedStep);
    ~StepTimer();
    StepTimer(const StepTimer &) = delete;
    StepTimer &operator=(const StepTimer &) = delete;

private:
    TimingMetrics &metrics;
    TimedStep step;
    std::int64_t startedUs;
};

} // namespace Filbertlanding
