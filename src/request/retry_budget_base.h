/** @file retry_budget_base.h Retry budget of one service. */

#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Filbertlanding {

/** Configuration of a retry budget. */
struct RetryBudgetSettings {
    double ratio = 0.1; ///< Maximum number of retries relative to the number of first attempts.
    std::uint32_t minPerSecond = 10; ///< Number of retries that are always allowed within a second.
};

/** Sliding window over the last second in buckets of 100 ms. Eleven buckets always cover at least one full second. */
struct RetryBudgetState {
    static constexpr std::size_t BucketCount = 11;
    static constexpr std::int64_t BucketMs = 100; ///< Length of a bucket in milliseconds.
    std::array<std::uint32_t, BucketCount> requests{}; ///< First attempts in each bucket.
    std::array<std::uint32_t, BucketCount> retries{}; ///< Retries in each bucket.
    std::int64_t newestBucket = 0; ///< Number of the newest bucket, counted from time 0.
};

/** Counts the first attempt of a request. */
void countRequest(RetryBudgetState &state, TimePoint now);

/** Takes one retry from the budget. @return Whether the budget allowed it. */
bool tryAcquireRetry(RetryBudgetState &state, const RetryBudgetSettings &settings, TimePoint now);

/** Thread-safe retry budget for the request threads. */
class RetryBudget
{
public:
    RetryBudget() = default;

    explicit RetryBudget(const RetryBudgetSettings &given)
        : settings(given)
    {
    }

    /** Counts the first attempt of a request. */
    void countRequest(TimePoint now);

    /** Takes one retry from the budget. @return Whether the budget allowed it. */
    bool tryAcquireRetry(TimePoint now);

private:
    RetryBudgetSettings settings;
    RetryBudgetState state;
    std::mutex mutex; ///< Guards the state.
};

} // namespace Filbertlanding
