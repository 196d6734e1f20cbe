/** @file held_calls.h Calls that wait a short time until a leader is known. */

#pragma once

#include "core/clock_type.h"
#include "fleetd/expire_timer.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>

namespace Filbertlanding {

/** Keeps calls for a fraction of a second. Runs on the event loop. */
class HeldCalls
{
public:
    explicit HeldCalls(boost::asio::io_context &loop);
    HeldCalls(const HeldCalls &) = delete;
    HeldCalls &operator=(const HeldCalls &) = delete;

    /**
     * Keeps a call. Returns false if too many are kept already.
     * @param resume Called once, by release() or after a time limit.
     */
    bool hold(std::function<void()> resume);

    /** Resumes all calls. */
    void release();

private:
    struct Call {
        std::function<void()> resume;
        TimePoint deadline;
    };

    void expire();

    ExpireTimer timer;
    std::deque<Call> calls; ///< In the order of their deadlines.
};

} // namespace Filbertlanding
