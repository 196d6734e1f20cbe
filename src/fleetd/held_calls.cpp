/** @file held_calls.cpp Calls that wait a short time until a leader is known. */

#include "fleetd/held_calls.h"

#include "core/clock_func.h"

#include <utility>

namespace Filbertlanding {

namespace {

    constexpr Duration HoldTime{400}; ///< Covers a transfer of leadership; callers still have the time to try elsewhere.
    constexpr std::size_t MaxCalls = 2'000;

} // namespace

HeldCalls::HeldCalls(boost::asio::io_context &loop)
    : timer(loop, [this] {
        this->expire();
    })
{
}

bool HeldCalls::hold(std::function<void()> resume)
{
    if (this->calls.size() >= MaxCalls) {
        return false;
    }
    this->calls.push_back({std::move(resume), steadyNow() + HoldTime});
    this->timer.arm();
    return true;
}

void HeldCalls::release()
{
    const auto released = std::exchange(this->calls, {});
    for (const Call &call : released) {
        call.resume();
    }
}

void HeldCalls::expire()
{
    const TimePoint now = steadyNow();
    while (!this->calls.empty() && this->calls.front().deadline <= now) {
        const Call call = std::move(this->calls.front());
        this->calls.pop_front();
        call.resume();
    }
    if (!this->calls.empty()) {
        this->timer.arm();
    }
}

} // namespace Filbertlanding
