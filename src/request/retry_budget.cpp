/** @file retry_budget.cpp Retry budget of one service. */

#include "request/retry_budget_base.h"

#include <algorithm>
#include <numeric>

namespace Filbertlanding {

namespace {

    std::size_t bucketIndex(std::int64_t step)
    {
        return static_cast<std::size_t>(step) % RetryBudgetState::BucketCount;
    }

    /** Advances the window to the current time and clears the buckets that are reused. */
    void advance(RetryBudgetState &state, TimePoint now)
    {
        const std::int64_t step = now.ms / RetryBudgetState::BucketMs;
        const std::int64_t oldest = step - static_cast<std::int64_t>(RetryBudgetState::BucketCount) + 1;
        for (std::int64_t i = std::max(state.newestBucket + 1, oldest); i <= step; ++i) {
            state.requests[bucketIndex(i)] = 0;
            state.retries[bucketIndex(i)] = 0;
        }
        state.newestBucket = std::max(state.newestBucket, step);
    }

} // namespace

void countRequest(RetryBudgetState &state, TimePoint now)
{
    advance(state, now);
    ++state.requests[bucketIndex(state.newestBucket)];
}

bool tryAcquireRetry(RetryBudgetState &state, const RetryBudgetSettings &settings, TimePoint now)
{
    advance(state, now);
    const auto requests = std::accumulate(state.requests.begin(), state.requests.end(), std::uint64_t{0});
    const auto retries = std::accumulate(state.retries.begin(), state.retries.end(), std::uint64_t{0});
    const double allowed = std::max<double>(settings.minPerSecond, settings.ratio * static_cast<double>(requests));
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++state.retries[bucketIndex(state.newestBucket)];
    return true;
}

void RetryBudget::countRequest(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    Filbertlanding::countRequest(this->state, now);
}

bool RetryBudget::tryAcquireRetry(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::tryAcquireRetry(this->state, this->settings, now);
}

} // namespace Filbertlanding
