/** @file submission_rate.h Rate limit of the jobs that an account submits, as a token bucket for each account. */

#pragma once

#include "account/account_type.h"
#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Filbertlanding {

/** Tokens of one account. One token is a submission. */
struct SubmissionBucket {
    std::int64_t tokenParts = 0; ///< Thousandths of tokens.
    TimePoint filledAt; ///< Time up to which tokens have been added; an earlier time adds none.
};

/** Buckets of the accounts that have submitted jobs. A new leader starts with full ones. */
using SubmissionBuckets = std::map<AccountName, SubmissionBucket>;

/**
 * Takes a token for a submission. Returns nothing if there was one, otherwise the time after which there will be one if no other submission takes it.
 * An account may submit as many jobs each second as its weight says, and as many as in 5 s at once; a weight of 0 means no bound.
 */
std::optional<Duration> takeSubmissionToken(SubmissionBuckets &buckets, const AccountTerms &terms, TimePoint now);

/** Removes the buckets of accounts that are no longer configured, so that renamed accounts leave nothing behind. */
void keepBucketsOf(SubmissionBuckets &buckets, const std::vector<ClientAccount> &accounts);

} // namespace Filbertlanding
