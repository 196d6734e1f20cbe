/** @file submission_rate.cpp Rate limit of the jobs that an account submits. */

#include "account/submission_rate.h"

#include <algorithm>
#include <set>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t PartsPerToken = 1'000; ///< A weight of 1 adds one part each millisecond, so bucket contents are exact.
    constexpr Duration Burst{5'000}; ///< Time whose worth of submissions may come at once.
    constexpr std::int64_t MaxWeight = 1'000'000'000'000; ///< Larger weights count as this one, so that no product overflows.

} // namespace

std::optional<Duration> takeSubmissionToken(SubmissionBuckets &buckets, const AccountTerms &terms, TimePoint now)
{
    if (terms.weight == 0) {
        return std::nullopt;
    }
    const std::int64_t weight = std::min(terms.weight, MaxWeight);
    const std::int64_t mostParts = weight * Burst.ms;
    const auto [entry, isNew] = buckets.try_emplace(terms.name, SubmissionBucket{mostParts, now});
    SubmissionBucket &bucket = entry->second;
    if (now > bucket.filledAt) {
        const Duration elapsed = std::min(now - bucket.filledAt, Burst);
        bucket.tokenParts += weight * elapsed.ms;
        bucket.filledAt = now;
    }
    bucket.tokenParts = std::min(mostParts, bucket.tokenParts);
    if (bucket.tokenParts >= PartsPerToken) {
        bucket.tokenParts -= PartsPerToken;
        return std::nullopt;
    }
    const std::int64_t missing = PartsPerToken - bucket.tokenParts;
    // The bucket fills again from the latest time that it has seen.
    return (bucket.filledAt - now) + Duration{(missing + weight - 1) / weight};
}

void keepBucketsOf(SubmissionBuckets &buckets, const std::vector<ClientAccount> &accounts)
{
    std::set<AccountName> names;
    for (const ClientAccount &account : accounts) {
        names.insert(account.terms.name);
    }
    std::erase_if(buckets, [&names](const auto &item) {
        return !names.contains(item.first);
    });
}

} // namespace Filbertlanding
