/** @file throttle_state.cpp Decides when a worker's batch tasks are throttled, evicted or released. */

#include "job/throttle_state.h"

namespace Filbertlanding {

namespace {

    bool isUnder(const WorkerPressure &pressure, const ThrottleSettings &settings)
    {
        return pressure.latency < settings.lowLatency && pressure.cpu < settings.lowUse && pressure.memory < settings.lowUse;
    }

    void countReport(ThrottleState &state, const WorkerPressure &pressure, const ThrottleSettings &settings)
    {
        if (isOver(pressure, settings)) {
            state.over += state.over < settings.reportsOver ? 1 : 0;
            state.under = 0;
            return;
        }
        state.over = 0;
        if (!isUnder(pressure, settings)) {
            state.under = 0;
            return;
        }
        state.under += state.under < settings.reportsUnder ? 1 : 0;
    }

} // namespace

bool isOver(const WorkerPressure &pressure, const ThrottleSettings &settings)
{
    return pressure.latency > 1.0 || pressure.cpu > settings.highUse || pressure.memory > settings.highUse;
}

ThrottleAction
nextThrottleAction(ThrottleState &state, const WorkerPressure &pressure, bool throttled, bool canThrottle, const ThrottleSettings &settings, TimePoint now)
{
    if (state.settling && now - state.lastStep < settings.settle) {
        return ThrottleAction::None;
    }
    state.settling = false;
    countReport(state, pressure, settings);
    if (state.over >= settings.reportsOver) {
        // Throttling frees processor time but no memory.
        const bool helps = canThrottle && pressure.memory <= settings.highUse;
        return helps ? ThrottleAction::Throttle : ThrottleAction::Evict;
    }
    if (state.under >= settings.reportsUnder && throttled) {
        return ThrottleAction::Unthrottle;
    }
    return ThrottleAction::None;
}

void noteThrottleStep(ThrottleState &state, TimePoint now)
{
    state.over = 0;
    state.under = 0;
    state.settling = true;
    state.lastStep = now;
}

} // namespace Filbertlanding
