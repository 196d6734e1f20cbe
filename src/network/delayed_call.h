/** @file delayed_call.h Calls a function on an event loop of Asio after a delay. */

#pragma once

#include "network/chrono_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Filbertlanding {

/** Calls a function once after a delay, unless the loop ends before. */
inline void callAfter(boost::asio::io_context &context, Duration delay, std::function<void()> function)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, chronoOf(delay));
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &error) {
        if (!error) {
            function();
        }
    });
}

} // namespace Filbertlanding
