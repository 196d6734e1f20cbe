/** @file evict_func.cpp Selection of the task to throttle or evict. */

#include "job/evict_func.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double FixedEvictionCostMs = 2000; ///< Cost of an eviction besides the lost work: checkpoint, log entry and restart.
    constexpr std::uint32_t MaxDoublings = 6; ///< Limit on the doublings of cost and cooldown.

    double evictionCostFactor(std::uint32_t evictions)
    {
        return std::exp2(std::min(evictions, MaxDoublings));
    }

} // namespace

bool mayEvict(const Victim &victim, const EvictSettings &settings, TimePoint now)
{
    if (victim.urgent || !victim.isReported) {
        return false;
    }
    if (!settings.limitEvictionsPerJob || victim.evictions == 0) {
        return true;
    }
    if (victim.evictions >= settings.maxEvictions) {
        return false;
    }
    const auto factor = static_cast<std::int64_t>(evictionCostFactor(victim.evictions - 1));
    return victim.startedAt + settings.evictionCooldown * factor <= now;
}

std::int32_t chooseVictim(std::span<const Victim> victims, const EvictSettings &settings, TimePoint now)
{
    std::int32_t best = -1;
    double bestCost = 0;
    for (std::size_t i = 0; i < victims.size(); ++i) {
        const Victim &victim = victims[i];
        if (victim.loadReduction <= 0 || !mayEvict(victim, settings, now)) {
            continue;
        }
        const double cost = (static_cast<double>(victim.workLost.ms) + FixedEvictionCostMs) * evictionCostFactor(victim.evictions) / victim.loadReduction;
        if (best < 0 || cost < bestCost) {
            best = static_cast<std::int32_t>(i);
            bestCost = cost;
        }
    }
    return best;
}

std::int32_t chooseThrottleTarget(std::span<const Victim> victims)
{
    std::int32_t best = -1;
    for (std::size_t i = 0; i < victims.size(); ++i) {
        const Victim &victim = victims[i];
        if (victim.urgent || !victim.isReported || victim.loadReduction <= 0) {
            continue;
        }
        if (best < 0 || victim.loadReduction > victims[static_cast<std::size_t>(best)].loadReduction) {
            best = static_cast<std::int32_t>(i);
        }
    }
    return best;
}

} // namespace Filbertlanding
