/**
 * @file account_admission.cpp Refuses jobs of an account that its own rate, limit or backlog does not let succeed in time.
 *
 * One account submits more than its limit lets run. What waits longer than its result is useful only lengthens the wait of the account's later jobs, so
 * it is refused while the caller can still do something else. Other accounts are not concerned.
 */

#include "account/account_admission.h"

#include "account/account_limit.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double MillisPerUnit = 1000.0; ///< Thousandths of a core in a core, and milliseconds in a second.
    constexpr double LongestWaitMs = 1e15; ///< Longer waits count as this one, since not every one can be converted to milliseconds.

    /** Returns the time that the tasks of an account need for an amount of work at its CPU limit. */
    Duration timeAtLimit(const AccountTerms &terms, double cpuSeconds)
    {
        const double cores = static_cast<double>(terms.limit.cpuMillis) / MillisPerUnit;
        return Duration{static_cast<std::int64_t>(std::ceil(std::min(LongestWaitMs, cpuSeconds / cores * MillisPerUnit)))};
    }

} // namespace

std::optional<AccountRefusal>
findAccountRefusal(SubmissionBuckets &buckets, const AccountTerms &terms, double precedingCpuSeconds, const AccountJob &job, TimePoint now)
{
    if (!isWithinLimit(job.largestStart, terms.limit)) {
        return AccountRefusal{AccountRefusalReason::Limit, {}};
    }
    if (terms.limit.cpuMillis > 0 && job.cpuSeconds > 0) {
        // The job's own work is left out: alone it would be admitted whatever its size.
        const Duration wait = timeAtLimit(terms, precedingCpuSeconds);
        if (wait > job.usefulTime) {
            return AccountRefusal{AccountRefusalReason::Backlog, wait - job.usefulTime};
        }
    }
    if (const auto wait = takeSubmissionToken(buckets, terms, now)) {
        return AccountRefusal{AccountRefusalReason::Rate, *wait};
    }
    return std::nullopt;
}

} // namespace Filbertlanding
