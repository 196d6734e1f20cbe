/** @file retry_decision.h Decides whether a request may be retried after a failed attempt. */

#pragma once

#include "core/clock_type.h"
#include "core/result_code.h"

#include <cstdint>

namespace Filbertlanding {

/** Description of a failed attempt. */
struct FailedAttempt {
    ResultCode code = ResultCode::Internal; ///< Outcome of the attempt.
    bool byteSent = false; ///< Some data of the request may have reached the target.
    bool refusedBeforeExecution = false; ///< The target reported that it did not run the request, for example because of an old owner epoch.
    bool repeatable = false; ///< The caller marked the request as repeatable.
    std::uint32_t attempts = 1; ///< Attempts so far.
    TimePoint deadline; ///< Deadline of the request.
    double expectedMs = 0; ///< Expected duration of another attempt, in milliseconds.
};

/** Result of decideRetry(). */
struct RetryDecision {
    bool mayRetry = false; ///< The request may be sent again if the retry budget allows it.
    ResultCode code = ResultCode::Internal; ///< Result code for the caller if the request is not sent again.
};

constexpr std::uint32_t MaxAttempts = 3; ///< Maximum number of attempts per request. After three failures, another target rarely succeeds.

/**
 * Decides whether a request may be retried, without regard to the retry budget.
 * The caller takes from the budget only if mayRetry is set, so that retries that cannot succeed do not consume it.
 */
RetryDecision decideRetry(const FailedAttempt &attempt, TimePoint now);

} // namespace Filbertlanding
