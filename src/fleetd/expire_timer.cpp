/** @file expire_timer.cpp Timer that ends what has waited for too long. */

#include "fleetd/expire_timer.h"

#include <chrono>
#include <utility>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds ExpireInterval{50};

} // namespace

ExpireTimer::ExpireTimer(boost::asio::io_context &loop, std::function<void()> onExpire)
    : timer(loop)
    , expire(std::move(onExpire))
{
}

void ExpireTimer::arm()
{
    if (this->isArmed) {
        return;
    }
    this->isArmed = true;
    this->timer.expires_after(ExpireInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        this->isArmed = false;
        if (!error) {
            this->expire();
        }
    });
}

} // namespace Filbertlanding
