/** @file soak_timers.cpp Delayed actions of a generator of faults. */

#include "soak/soak_timers.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace Filbertlanding {

Duration drawDuration(Random &random, Duration lowest, Duration highest)
{
    return lowest + Duration{static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>((highest - lowest).ms) + 1))};
}

SoakTimers::SoakTimers(boost::asio::io_context &loop)
    : io(loop)
{
}

void SoakTimers::runAfter(Duration delay, std::function<void()> action)
{
    this->runAlwaysAfter(delay, [this, action = std::move(action)] {
        if (!this->hasStopped) {
            action();
        }
    });
}

void SoakTimers::runAlwaysAfter(Duration delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->io, std::chrono::milliseconds(delay.ms));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
        action();
    });
}

void SoakTimers::revertAfter(Duration delay, std::function<void()> action)
{
    const std::uint64_t number = ++this->lastRevert;
    this->pendingReverts.emplace(number, std::move(action));
    this->runAlwaysAfter(delay, [this, number] {
        const auto pending = this->pendingReverts.extract(number);
        if (pending) {
            pending.mapped()();
        }
    });
}

void SoakTimers::stop()
{
    this->hasStopped = true;
    const auto pending = std::exchange(this->pendingReverts, {});
    for (const auto &[number, revert] : pending) {
        revert();
    }
}

bool SoakTimers::hasReverts() const
{
    return !this->pendingReverts.empty();
}

} // namespace Filbertlanding
