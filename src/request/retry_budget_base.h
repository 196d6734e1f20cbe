/** @file retry_budget_base.h Retry budget of one service. */

#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace Filbertlanding {

/** Settings of a retry budget. */
struct RetryBudgetSettings {
    double ratio = 0.1; ///< Retries as a share of first sends.
    std::uint32_t minPerSecond = 10; ///< Retries that are always allowed in a second.
};

/** Counts of the last second in steps of 100 ms. Eleven steps cover at least one whole second. */
struct RetryBudgetState {
    static constexpr std::size_t BucketCount = 11; ///< Number of steps.
    static constexpr std::int64_t BucketMs = 100; ///< Length of a step.
    std::array<std::uint32_t, BucketCount> requests{}; ///< First sends in each step.
    std::array<std::uint32_t, BucketCount> retries{}; ///< Retries in each step.
    std::int64_t newestBucket = 0; ///< Number of the newest step.
};

/** Counts a first send. */
void countRequest(RetryBudgetState &state, TimePoint now);

/** Takes one retry from the budget. @return Whether there was one. */
bool tryAcquireRetry(RetryBudgetState &state, const RetryBudgetSettings &settings, TimePoint now);

/** The budget shared by the request threads. */
class RetryBudget
{
public:
    RetryBudget() = default;

    explicit RetryBudget(const RetryBudgetSettings &given)
        : settings(given)
    {
    }

    /** Counts a first send. */
    void countRequest(TimePoint now);

    /** Takes one retry. @return Whether there was one. */
    bool tryAcquireRetry(TimePoint now);

private:
    RetryBudgetSettings settings; ///< Settings.
    RetryBudgetState state; ///< Counts.
    std::mutex mutex; ///< Guards the counts.
};

} // namespace Filbertlanding
