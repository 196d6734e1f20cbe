/**
 * @file fair_share.h Weighted shares of accounts that compete for full workers.
 *
 * Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types", NSDI 2011.
 */

#pragma once

#include "account/account_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** An account that uses workers or has work waiting for them. */
struct AccountDemand {
    AccountName account;
    std::int64_t weight = 0; ///< 0 counts as 1.
    Resources used;
};

/** Returns the largest share of any resource of the workers that an amount takes; above 1 if it counts runs on workers that the capacity leaves out. */
double dominantShare(const Resources &used, const Resources &capacity);

/** How much an account uses, compared to its weighted share. */
enum class ShareClass : std::uint8_t {
    Within, ///< At most its share, or its work has no account.
    Above, ///< More than its share.
    FarAbove, ///< More than twice its share.
};

constexpr ShareClass lastEnumerator(ShareClass)
{
    return ShareClass::FarAbove;
}

/** Returns the weight of an account for shares, in which 0 counts as 1. */
double shareWeight(std::int64_t weight);

/** Returns the class of an account from its dominant share and its fair one. */
ShareClass classifyShare(double share, double fairShare);

/**
 * Returns the class of each account. The share of an account is its part of all weights in the sum of all dominant shares, so that classes compare
 * accounts with each other whatever part of the workers they use.
 */
std::map<AccountName, ShareClass> classifyShares(const std::vector<AccountDemand> &demands, const Resources &capacity);

} // namespace Filbertlanding
