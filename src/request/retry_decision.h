/** @file retry_decision.h Decides whether a failed attempt of a request may be sent again. */

#pragma once

#include "core/clock_type.h"
#include "core/result_code.h"

#include <cstdint>

namespace Filbertlanding {

/** What is known of a failed attempt. */
struct FailedAttempt {
    ResultCode code = ResultCode::Internal; ///< Outcome of the attempt.
    bool byteSent = false; ///< A byte of the request may have reached the target.
    bool refusedBeforeExecution = false; ///< The target said that it did not run the request (for example, old owner epoch).
    bool repeatable = false; ///< The caller marked the request as repeatable.
    std::uint32_t attempts = 1; ///< Attempts so far.
    TimePoint deadline; ///< Deadline of the request.
    double expectedMs = 0; ///< Expected time of another attempt, in milliseconds.
};

/** What to do with a failed attempt. */
struct RetryDecision {
    bool mayRetry = false; ///< The request may be sent again, if the retry budget has a retry left.
    ResultCode code = ResultCode::Internal; ///< What the caller is told when it is not sent again.
};

constexpr std::uint32_t MaxAttempts = 3; ///< Attempts of one request. A further target rarely succeeds where three failed.

/** Decides from the attempt alone. The budget is taken only when mayRetry is set, so a hopeless retry does not use it up. */
RetryDecision decideRetry(const FailedAttempt &attempt, TimePoint now);

} // namespace Filbertlanding
