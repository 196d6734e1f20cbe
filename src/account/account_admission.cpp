/**
 * @file account_admission.cpp Refuses jobs that the account's own rate, limit or backlog would delay beyond their useful time.
 *
 * One account submits more than its limit lets run. To queue its jobs all the same would only delay its later jobs. Other accounts are not concerned.
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
        // The job's own work does not count, so a job without preceding work is never refused for the backlog.
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
