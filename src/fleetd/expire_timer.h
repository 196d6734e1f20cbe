/** @file expire_timer.h Timer that ends what has waited for too long. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Filbertlanding {

/** Looks after calls that wait, in short intervals while there are any. Runs on the event loop. */
class ExpireTimer
{
public:
    /** @param onExpire Ends the calls whose time is over, and arms the timer again if others wait. */
    ExpireTimer(boost::asio::io_context &loop, std::function<void()> onExpire);
    ExpireTimer(const ExpireTimer &) = delete;
    ExpireTimer &operator=(const ExpireTimer &) = delete;

    /** Makes the function run after an interval, unless that is due already. */
    void arm();

private:
    boost::asio::steady_timer timer;
    std::function<void()> expire;
    bool isArmed = false;
};

} // namespace Filbertlanding
