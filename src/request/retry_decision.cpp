/** @file retry_decision.cpp Decides whether a request may be retried after a failed attempt. */

#include "request/retry_decision.h"

#include <cmath>

namespace Filbertlanding {

namespace {

    /** Returns whether the request was certainly not run by this attempt. */
    bool certainlyNotRun(const FailedAttempt &attempt)
    {
        return !attempt.byteSent || attempt.refusedBeforeExecution;
    }

    /** Returns the result code for the caller. It is a refusal only if the request was certainly not run. */
    ResultCode finalCode(const FailedAttempt &attempt)
    {
        if (certainlyNotRun(attempt)) {
            return isRefusal(attempt.code) ? attempt.code : ResultCode::ConnectFailed;
        }
        return attempt.code == ResultCode::WorkerFailed ? ResultCode::WorkerFailed : ResultCode::OutcomeUnknown;
    }

} // namespace

RetryDecision decideRetry(const FailedAttempt &attempt, TimePoint now)
{
    RetryDecision decision;
    decision.code = finalCode(attempt);
    if (!certainlyNotRun(attempt) && !attempt.repeatable) {
        return decision;
    }
    if (attempt.attempts >= MaxAttempts) {
        return decision;
    }
    const Duration expected{static_cast<std::int64_t>(std::ceil(attempt.expectedMs))};
    decision.mayRetry = now + expected < attempt.deadline;
    return decision;
}

} // namespace Filbertlanding
