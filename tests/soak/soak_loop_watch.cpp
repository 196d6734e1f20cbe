/** @file soak_loop_watch.cpp Measures how long the soak's own event loop stands still. */

#include "soak/soak_loop_watch.h"

#include "core/clock_func.h"

#include <ctime>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds Interval{10};
    constexpr Duration MinStandstill{50}; ///< Shorter ones are not recorded.
    constexpr std::size_t MaxStandstills = 10'000;

    std::int64_t processorTimeMs()
    {
        constexpr std::clock_t MsPerSecond = 1'000;
        return std::clock() / (CLOCKS_PER_SEC / MsPerSecond);
    }

} // namespace

SoakLoopWatch::SoakLoopWatch(boost::asio::io_context &loop)
    : timer(loop)
{
}

void SoakLoopWatch::start()
{
    this->lastRun = steadyNow();
    this->lastProcessorMs = processorTimeMs();
    this->arm();
}

void SoakLoopWatch::arm()
{
    this->timer.expires_after(Interval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const TimePoint now = steadyNow();
        const std::int64_t processorMs = processorTimeMs();
        if (now - this->lastRun >= MinStandstill) {
            this->standstills.push_back({this->lastRun, now, processorMs - this->lastProcessorMs});
        }
        if (this->standstills.size() > MaxStandstills) {
            this->standstills.pop_front();
        }
        this->lastRun = now;
        this->lastProcessorMs = processorMs;
        this->arm();
    });
}

LoopStandstill SoakLoopWatch::longestSince(TimePoint time) const
{
    LoopStandstill longest{this->lastRun, steadyNow(), processorTimeMs() - this->lastProcessorMs};
    for (auto standstill = this->standstills.rbegin(); standstill != this->standstills.rend() && standstill->until > time; ++standstill) {
        if (standstill->until - standstill->from > longest.until - longest.from) {
            longest = *standstill;
        }
    }
    return longest;
}

std::string SoakLoopWatch::describeSince(TimePoint time) const
{
    const LoopStandstill longest = this->longestSince(time);
    return "longest standstill of the soak's event loop since then " + std::to_string((longest.until - longest.from).ms) + " ms, with "
        + std::to_string(longest.processorMs) + " ms of its processor time, until " + std::to_string((steadyNow() - longest.until).ms) + " ms ago";
}

} // namespace Filbertlanding
