/** @file load_monitor.h Periodic measurement of the event loop's delay and of the connections of a daemon. */

#pragma once

#include "core/clock_type.h"
#include "core/handler_memory.h"
#include "fleetd/loop_time.h"
#include "network/descriptor_pool.h"
#include "network/network_counters.h"
#include "runtime/histogram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Filbertlanding {

/** Measures how late handlers run on an event loop, and logs this and the connections at a fixed interval. Runs on that loop. */
class LoadMonitor
{
public:
    LoadMonitor(boost::asio::io_context &loop, const NetworkCounters &networkCounters, const DescriptorPool &descriptorPool);

    /** Begins to measure and to log. */
    void start();

    /** Ends both, so that nothing keeps the loop running. */
    void stop();

    /** Returns the times of the parts of the daemon's work, to be added to by their timers. */
    LoopTimes &loopTimes();

    std::function<void()> sampled; ///< Called on the event loop with each measurement, ten times a second.

    /** Appends the metrics in Prometheus text format. */
    void appendMetrics(std::string &text) const;

private:
    void armTimer();
    void onTimer();
    void logLoad();
    void logLoopTimes();

    const NetworkCounters &counters;
    const DescriptorPool &descriptors;
    boost::asio::steady_timer timer;
    std::shared_ptr<HandlerMemory> timerMemory = std::make_shared<HandlerMemory>();
    TimePoint expectedAt; ///< Time at which the timer is due.
    TimePoint nextLine;
    Duration maxDelay; ///< Maximum delay since the last line.
    std::uint64_t acceptedAtLastLine = 0;
    LoopTimes times{};
    LoopTimes timesAtLastLine{};
    Histogram loopDelay;
};

} // namespace Filbertlanding
