/** @file retry_budget.cpp Retry budget of one service. */

#include "request/retry_budget_base.h"

#include <algorithm>
#include <numeric>

namespace Filbertlanding {

namespace {

    std::size_t placeOf(std::int64_t step)
    {
        return static_cast<std::size_t>(step) % RetryBudgetState::StepCount;
    }

    /** Clears the steps that have fallen out of the window. */
    void advance(RetryBudgetState &state, TimePoint now)
    {
        const std::int64_t step = now.ms / RetryBudgetState::StepMs;
        const std::int64_t oldest = step - static_cast<std::int64_t>(RetryBudgetState::StepCount) + 1;
        for (std::int64_t i = std::max(state.newestStep + 1, oldest); i <= step; ++i) {
            state.requests[placeOf(i)] = 0;
            state.retries[placeOf(i)] = 0;
        }
        state.newestStep = std::max(state.newestStep, step);
    }

} // namespace

void countRequest(RetryBudgetState &state, TimePoint now)
{
    advance(state, now);
    ++state.requests[placeOf(state.newestStep)];
}

bool takeRetry(RetryBudgetState &state, const RetryBudgetSettings &settings, TimePoint now)
{
    advance(state, now);
    const auto requests = std::accumulate(state.requests.begin(), state.requests.end(), std::uint64_t{0});
    const auto retries = std::accumulate(state.retries.begin(), state.retries.end(), std::uint64_t{0});
    const double allowed = std::max<double>(settings.minPerSecond, settings.share * static_cast<double>(requests));
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++state.retries[placeOf(state.newestStep)];
    return true;
}

void RetryBudget::countRequest(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    Filbertlanding::countRequest(this->state, now);
}

bool RetryBudget::takeRetry(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::takeRetry(this->state, this->settings, now);
}

} // namespace Filbertlanding
