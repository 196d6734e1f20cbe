/** @file eviction_budget.h Limit on the evictions of each service in a sliding time window. */

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
    std::uint32_t perWindow = 6; ///< Evictions allowed per service and window.
    Duration window{60'000}; ///< Length of the sliding window.
};

/** Recent evictions and limits, by service. */
struct EvictionBudget {
    EvictionBudgetSettings settings;
    std::vector<std::optional<std::uint32_t>> limits; ///< Limits that override settings.perWindow, by service.
    std::vector<std::deque<TimePoint>> evictions; ///< Times of evictions, oldest first, by service.
};

/** Overrides the default limit for a service. */
void setEvictionLimit(EvictionBudget &budget, ServiceIndex service, std::uint32_t perWindow);

/** Returns whether another job of the service may be evicted now. */
bool hasEvictionBudget(EvictionBudget &budget, ServiceIndex service, TimePoint now);

void recordEviction(EvictionBudget &budget, ServiceIndex service, TimePoint now);

} // namespace Filbertlanding
