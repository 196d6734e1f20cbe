/** @file soak_timers.h Delayed actions of a generator of faults, and those that revert the faults that last. */

#pragma once

#include "core/clock_type.h"
#include "core/random.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>

namespace Filbertlanding {

/** Draws a duration between two bounds, both included. */
Duration drawDuration(Random &random, Duration lowest, Duration highest);

/** Runs actions later. The event loop must not run after the end of the owner. */
class SoakTimers
{
public:
    explicit SoakTimers(boost::asio::io_context &loop);

    /** Runs an action after a delay, unless stop() is called before. */
    void runAfter(Duration delay, std::function<void()> action);

    /** Runs an action after a delay, also after stop(). */
    void runAlwaysAfter(Duration delay, std::function<void()> action);

    /** Runs an action that reverts a fault after a delay, or in stop(). */
    void revertAfter(Duration delay, std::function<void()> action);

    /** Reverts the faults that last, in the order in which they began. */
    void stop();

    /** Returns whether a fault lasts. */
    bool hasReverts() const;

    bool hasStopped = false;

private:
    boost::asio::io_context &io;
    std::map<std::uint64_t, std::function<void()>> pendingReverts; ///< Actions that revert the faults that last, by number.
    std::uint64_t lastRevert = 0;
};

} // namespace Filbertlanding
