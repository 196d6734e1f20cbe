/** @file soak_loop_watch.h Measures how long the soak's own event loop stands still, so that a late answer can be told from one that was read late. */

#pragma once

#include "core/clock_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <string>

namespace Filbertlanding {

/** A time in which the event loop ran no handler of its timer. */
struct LoopStandstill {
    TimePoint from;
    TimePoint until;
    std::int64_t processorMs = 0; ///< Processor time that the soak used meanwhile.
};

/** Runs a timer at short intervals, and records each standstill. */
class SoakLoopWatch
{
public:
    explicit SoakLoopWatch(boost::asio::io_context &loop);

    void start();

    /** Returns the longest standstill since a time, also one that lasts. */
    LoopStandstill longestSince(TimePoint time) const;

    /** Returns the longest standstill since a time as text for a violation. */
    std::string describeSince(TimePoint time) const;

private:
    void arm();

    boost::asio::steady_timer timer;
    TimePoint lastRun;
    std::int64_t lastProcessorMs = 0;
    std::deque<LoopStandstill> standstills; ///< The latest ones.
};

} // namespace Filbertlanding
