/** @file eviction_budget.cpp Bound on the evictions of each service in a time window. */

#include "job/eviction_budget.h"

namespace Filbertlanding {

bool hasEvictionBudget(EvictionBudget &budget, ServiceIndex service, TimePoint now)
{
    if (!budget.settings.enabled || service >= budget.evictions.size()) {
        return !budget.settings.enabled || budget.settings.perWindow > 0;
    }
    auto &times = budget.evictions[service];
    while (!times.empty() && times.front() + budget.settings.window <= now) {
        times.pop_front();
    }
    return times.size() < budget.settings.perWindow;
}

void spendEviction(EvictionBudget &budget, ServiceIndex service, TimePoint now)
{
    if (service >= budget.evictions.size()) {
        budget.evictions.resize(service + 1U);
    }
    budget.evictions[service].push_back(now);
}

} // namespace Filbertlanding
