/** @file throttle_state.cpp Decides when batch tasks of a worker are throttled, evicted or unthrottled. */

#include "job/throttle_state.h"

namespace Filbertlanding {

namespace {

    bool hasSpareCapacity(const WorkerPressure &pressure, const ThrottleSettings &settings)
    {
        return pressure.latency < settings.lowLatencyRatio && pressure.cpu < settings.lowUtilization && pressure.memory < settings.lowUtilization;
    }

    void countReport(ThrottleState &state, const WorkerPressure &pressure, const ThrottleSettings &settings)
    {
        if (isOverloaded(pressure, settings)) {
            state.consecutiveOver += state.consecutiveOver < settings.minReportsOver ? 1 : 0;
            state.consecutiveUnder = 0;
            return;
        }
        state.consecutiveOver = 0;
        if (!hasSpareCapacity(pressure, settings)) {
            state.consecutiveUnder = 0;
            return;
        }
        state.consecutiveUnder += state.consecutiveUnder < settings.minReportsUnder ? 1 : 0;
    }

} // namespace

bool isOverloaded(const WorkerPressure &pressure, const ThrottleSettings &settings)
{
    return pressure.latency > 1.0 || pressure.cpu > settings.highUtilization || pressure.memory > settings.highUtilization;
}

ThrottleAction
nextThrottleAction(ThrottleState &state, const WorkerPressure &pressure, bool throttled, bool canThrottle, const ThrottleSettings &settings, TimePoint now)
{
    if (state.settling && now - state.lastStep < settings.settlingTime) {
        return ThrottleAction::None;
    }
    state.settling = false;
    countReport(state, pressure, settings);
    if (state.consecutiveOver >= settings.minReportsOver) {
        // Throttling releases processor time but no memory.
        const bool helps = canThrottle && pressure.memory <= settings.highUtilization;
        return helps ? ThrottleAction::Throttle : ThrottleAction::Evict;
    }
    if (state.consecutiveUnder >= settings.minReportsUnder && throttled) {
        return ThrottleAction::Unthrottle;
    }
    return ThrottleAction::None;
}

void recordThrottleStep(ThrottleState &state, TimePoint now)
{
    state.consecutiveOver = 0;
    state.consecutiveUnder = 0;
    state.settling = true;
    state.lastStep = now;
}

} // namespace Filbertlanding
