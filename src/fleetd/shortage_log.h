/** @file shortage_log.h Log lines about a listener that is short of connections or descriptors. */

#pragma once

#include "network/connection_shortage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace Filbertlanding {

/** Logs the begin of a shortage, a line for each interval that it lasts, and its end. Runs on the event loop. */
class ShortageLog
{
public:
    /** @param endpoint Name of the listener in the lines. */
    ShortageLog(boost::asio::io_context &loop, std::string endpoint);

    /** Sets the function that describes the connections of the listener in a line. */
    void setSummary(std::function<ConnectionSummary()> function);

    /** Takes an event. */
    void record(ShortageEvent event);

private:
    /** Events since the last line. */
    struct Counts {
        std::uint64_t displaced = 0;
        std::uint64_t refused = 0;
        std::uint64_t acceptsFailed = 0;

        bool operator==(const Counts &) const = default;
    };

    void armTimer();
    void onTimer();
    void logShortage();

    std::string listener;
    std::function<ConnectionSummary()> summary;
    boost::asio::steady_timer timer;
    Counts counts;
    bool isShort = false; ///< Whether there was an event in this interval or the one before.
};

} // namespace Filbertlanding
