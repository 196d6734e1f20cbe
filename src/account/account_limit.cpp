/** @file account_limit.cpp Limits on what the tasks of an account may use together. */

#include "account/account_limit.h"

namespace Filbertlanding {

namespace {

    bool isWithin(std::int64_t amount, std::int64_t limit)
    {
        return limit == 0 || amount <= limit;
    }

    bool isBelowHalf(std::int64_t amount, std::int64_t limit)
    {
        return limit == 0 || amount < limit - amount;
    }

    bool isBelowHalf(const Resources &amount, const Resources &limit)
    {
        return isBelowHalf(amount.cpuMillis, limit.cpuMillis) && isBelowHalf(amount.memoryMb, limit.memoryMb)
            && isBelowHalf(amount.accelerators, limit.accelerators);
    }

} // namespace

bool isWithinLimit(const Resources &amount, const Resources &limit)
{
    return isWithin(amount.cpuMillis, limit.cpuMillis) && isWithin(amount.memoryMb, limit.memoryMb) && isWithin(amount.accelerators, limit.accelerators);
}

bool mayStartTask(const Resources &limit, const Resources &used, const Resources &request)
{
    return isWithinLimit(used + request, limit) || isBelowHalf(used, limit);
}

bool mayStartGang(const Resources &limit, const Resources &used, const Resources &request, std::uint32_t tasks)
{
    return isWithinLimit(used + request * tasks, limit);
}

void addUsage(AccountUsage &usage, const AccountName &account, const Resources &request)
{
    // A request of nothing adds no entry: the end of another run would remove it on this replica, but not on one that counts again.
    if (!account.empty() && request != Resources()) {
        Resources &used = usage[account];
        used = used + request;
    }
}

void subtractUsage(AccountUsage &usage, const AccountName &account, const Resources &request)
{
    const auto found = usage.find(account);
    if (found == usage.end()) {
        return;
    }
    found->second = found->second - request;
    if (found->second == Resources()) {
        usage.erase(found);
    }
}

Resources usageOf(const AccountUsage &usage, const AccountName &account)
{
    const auto found = usage.find(account);
    return found == usage.end() ? Resources() : found->second;
}

} // namespace Filbertlanding
