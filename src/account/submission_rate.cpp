/** @file submission_rate.cpp Rate limit of the jobs that an account submits. */

#include "account/submission_rate.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double MsPerSecond = 1000.0;
    constexpr Duration Burst{5'000}; ///< Time whose worth of submissions may come at once.

    double tokensIn(const AccountTerms &terms, Duration time)
    {
        return static_cast<double>(terms.weight) * static_cast<double>(time.ms) / MsPerSecond;
    }

} // namespace

std::optional<Duration> takeSubmissionToken(SubmissionBuckets &buckets, const AccountTerms &terms, TimePoint now)
{
    if (terms.weight == 0) {
        return std::nullopt;
    }
    const double mostTokens = tokensIn(terms, Burst);
    const auto [entry, isNew] = buckets.try_emplace(terms.name, SubmissionBucket{mostTokens, now});
    SubmissionBucket &bucket = entry->second;
    bucket.tokens = std::min(mostTokens, bucket.tokens + tokensIn(terms, now - bucket.filledAt));
    bucket.filledAt = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return std::nullopt;
    }
    const double missingMs = (1 - bucket.tokens) / static_cast<double>(terms.weight) * MsPerSecond;
    return Duration{static_cast<std::int64_t>(std::ceil(missingMs))};
}

} // namespace Filbertlanding
