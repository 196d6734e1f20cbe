/** @file evict_func.h Chooses the task that is throttled or evicted. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>

namespace Filbertlanding {

/** Settings of the choice of a victim. */
struct EvictSettings {
    bool limitEvictionsPerJob = true; ///< False for the baseline that may evict the same job again and again.
    std::uint32_t maxEvictions = 3; ///< Evictions of one job for the sake of requests; after that it stays until it is done.
    Duration evictionCooldown{60'000}; ///< Time after an eviction in which a job is not evicted again; doubles with each eviction.
};

/** A task that could be throttled or evicted. */
struct Victim {
    std::uint32_t evictions = 0; ///< How often its job was evicted.
    bool urgent = false; ///< Urgent tasks are not evicted.
    bool isReported = true; ///< Whether the worker has reported it; its work is unknown before.
    TimePoint startedAt; ///< Start of this attempt.
    Duration workLost; ///< Work that would be lost: time since its last checkpoint.
    double loadReduction = 0; ///< What its end would take off the worker, in the measure that is over; 0 takes nothing off.
};

/** Returns whether the job may be evicted now for the sake of requests. */
bool mayEvict(const Victim &victim, const EvictSettings &settings, TimePoint now);

/**
 * Chooses the cheapest victim: least work lost for the relief it brings, dearer with each earlier eviction.
 * @return Index of the victim, or -1 when none may be evicted.
 */
std::int32_t chooseVictim(std::span<const Victim> victims, const EvictSettings &settings, TimePoint now);

/** Chooses the task to throttle: the one with the greatest relief. @return Its index, or -1. */
std::int32_t chooseThrottleTarget(std::span<const Victim> victims);

} // namespace Filbertlanding
