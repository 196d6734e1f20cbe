/** @file retry_decision.cpp Decides whether a failed attempt of a request may be sent again. */

#include "request/retry_decision.h"

#include <cmath>

namespace Filbertlanding {

namespace {

    /** Returns whether the attempt certainly did not run the request. */
    bool certainlyNotRun(const FailedAttempt &attempt)
    {
        return !attempt.byteSent || attempt.refusedBeforeExecution;
    }

    /** Returns what the caller is told. A refusal is only told when the request was not run. */
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
