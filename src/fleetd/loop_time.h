/** @file loop_time.h Time that the parts of a daemon's work take on its event loop. */

#pragma once

#include "core/clock_func.h"
#include "core/name_table.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Filbertlanding {

/** Work on the event loop that is measured. */
enum class LoopPart { SchedulerTick, AppliedEntries, OrderResponses, ControlRequests, CallerRequests, Snapshots };

constexpr auto LoopPartNames = makeNameTable<LoopPart>({
    {LoopPart::SchedulerTick, "scheduler_tick"},
    {LoopPart::AppliedEntries, "applied_entries"},
    {LoopPart::OrderResponses, "order_responses"},
    {LoopPart::ControlRequests, "control_requests"},
    {LoopPart::CallerRequests, "caller_requests"},
    {LoopPart::Snapshots, "snapshots"},
});

/** Time of each part since the start, in microseconds. A part that runs within another one counts for both. */
using LoopTimes = std::array<std::int64_t, LoopPartNames.rows.size()>;

/** Adds the time from its construction to its destruction to one part. */
class LoopTimer
{
public:
    LoopTimer(LoopTimes &loopTimes, LoopPart loopPart)
        : times(loopTimes)
        , part(loopPart)
    {
    }
    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;
    ~LoopTimer()
    {
        this->times[static_cast<std::size_t>(this->part)] += steadyMicroseconds() - this->startedUs;
    }

private:
    LoopTimes &times;
    LoopPart part;
    std::int64_t startedUs = steadyMicroseconds();
};

} // namespace Filbertlanding
