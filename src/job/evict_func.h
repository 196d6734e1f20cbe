/** @file evict_func.h Selection of the task to throttle or evict. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>

namespace Filbertlanding {

/** Settings of victim selection. */
struct EvictSettings {
    bool limitEvictionsPerJob = true; ///< False for the baseline without a cooldown and without a limit of evictions per job.
    std::uint32_t maxEvictions = 3; ///< Evictions of one job in favour of requests; after that it runs to completion.
    Duration evictionCooldown{60'000}; ///< Minimum run time of an attempt after an eviction of its job before the next one; doubles with each eviction.
};

/** Candidate for throttling or eviction. */
struct Victim {
    std::uint32_t evictions = 0; ///< Earlier evictions of its job.
    bool urgent = false; ///< Urgent tasks are not chosen.
    bool isReported = true; ///< Whether the worker has reported it; its progress is unknown before.
    TimePoint startedAt; ///< Start of this attempt.
    Duration workLost; ///< Work that an eviction would lose, estimated as the run time of this attempt.
    double loadReduction = 0; ///< Load that its end would remove from the worker, in the overloaded resource; tasks with 0 are not chosen.
};

/** Returns whether the task may be evicted now in favour of requests or urgent tasks. */
bool mayEvict(const Victim &victim, const EvictSettings &settings, TimePoint now);

/**
 * Chooses the cheapest victim: the least work lost per load reduction. The cost doubles with each earlier eviction.
 * @return Index of the victim, or -1 if none may be evicted.
 */
std::int32_t chooseVictim(std::span<const Victim> victims, const EvictSettings &settings, TimePoint now);

/** Chooses the task to throttle: the one with the greatest load reduction. @return Its index, or -1 if none can be throttled. */
std::int32_t chooseThrottleTarget(std::span<const Victim> victims);

} // namespace Filbertlanding
