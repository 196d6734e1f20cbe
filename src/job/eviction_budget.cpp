/** @file eviction_budget.cpp Limit on the evictions of each service in a sliding time window. */

#include "job/eviction_budget.h"

namespace Filbertlanding {

namespace {

    std::uint32_t limitOf(const EvictionBudget &budget, ServiceIndex service)
    {
        const bool hasOwn = service < budget.limits.size() && budget.limits[service];
        return hasOwn ? *budget.limits[service] : budget.settings.perWindow;
    }

} // namespace

void setEvictionLimit(EvictionBudget &budget, ServiceIndex service, std::uint32_t perWindow)
{
    if (service >= budget.limits.size()) {
        budget.limits.resize(service + 1U);
    }
    budget.limits[service] = perWindow;
}

bool hasEvictionBudget(EvictionBudget &budget, ServiceIndex service, TimePoint now)
{
    if (!budget.settings.enabled) {
        return true;
    }
    const std::uint32_t limit = limitOf(budget, service);
    if (service >= budget.evictions.size()) {
        return limit > 0;
    }
    auto &times = budget.evictions[service];
    while (!times.empty() && times.front() + budget.settings.window <= now) {
        times.pop_front();
    }
    return times.size() < limit;
}

void recordEviction(EvictionBudget &budget, ServiceIndex service, TimePoint now)
{
    if (service >= budget.evictions.size()) {
        budget.evictions.resize(service + 1U);
    }
    budget.evictions[service].push_back(now);
}

} // namespace Filbertlanding
