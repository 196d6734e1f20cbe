/** @file fair_share.cpp Weighted shares of accounts that compete for full workers. */

#include "account/fair_share.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr double FarAboveFactor = 2.0; ///< Separates accounts that use most of what others lack from those that are slightly above their share.
    constexpr double RoundingTolerance = 1e-9; ///< Without it, accounts with equal weight and usage could be classified as above their share.

    double partOf(std::int64_t amount, std::int64_t capacity)
    {
        return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0.0;
    }

} // namespace

double dominantShare(const Resources &used, const Resources &capacity)
{
    return std::max({partOf(used.cpuMillis, capacity.cpuMillis), partOf(used.memoryMb, capacity.memoryMb), partOf(used.accelerators, capacity.accelerators)});
}

double shareWeight(std::int64_t weight)
{
    return static_cast<double>(std::max<std::int64_t>(1, weight));
}

ShareClass classifyShare(double share, double fairShare)
{
    const double mostWithin = fairShare * (1.0 + RoundingTolerance);
    if (share <= mostWithin) {
        return ShareClass::Within;
    }
    return share <= FarAboveFactor * mostWithin ? ShareClass::Above : ShareClass::FarAbove;
}

std::map<AccountName, ShareClass> classifyShares(const std::vector<AccountDemand> &demands, const Resources &capacity)
{
    double totalWeight = 0;
    double totalShare = 0;
    for (const AccountDemand &demand : demands) {
        totalWeight += shareWeight(demand.weight);
        totalShare += dominantShare(demand.used, capacity);
    }
    std::map<AccountName, ShareClass> classes;
    for (const AccountDemand &demand : demands) {
        const double fairShare = totalShare * shareWeight(demand.weight) / totalWeight;
        classes[demand.account] = classifyShare(dominantShare(demand.used, capacity), fairShare);
    }
    return classes;
}

} // namespace Filbertlanding
