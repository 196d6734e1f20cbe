/** @file eviction_budget.h Bound on the evictions of each service in a time window. */

#pragma once

#include "core/clock_type.h"
#include "job/interference_estimate.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Filbertlanding {

/** Settings of the eviction budget. */
struct EvictionBudgetSettings {
    bool enabled = true; ///< False for the baseline without a budget.
    std::uint32_t perWindow = 6; ///< Evictions of jobs of one service in one window.
    Duration window{60'000}; ///< Length of the sliding window.
};

/** Evictions of the last window, by service. */
struct EvictionBudget {
    EvictionBudgetSettings settings; ///< Settings.
    std::vector<std::optional<std::uint32_t>> limits; ///< Limit of each service that has one of its own, by service.
    std::vector<std::deque<TimePoint>> evictions; ///< Times of the evictions, oldest first, by service.
};

/** Gives a service a limit of its own in place of the general one. */
void setEvictionLimit(EvictionBudget &budget, ServiceIndex service, std::uint32_t perWindow);

/** Returns whether the service may lose one more job now. */
bool hasEvictionBudget(EvictionBudget &budget, ServiceIndex service, TimePoint now);

/** Counts one eviction. */
void recordEviction(EvictionBudget &budget, ServiceIndex service, TimePoint now);

} // namespace Filbertlanding
