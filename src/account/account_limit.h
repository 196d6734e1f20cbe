/** @file account_limit.h Limits on what the tasks of an account may use together. */

#pragma once

#include "account/account_type.h"

namespace Filbertlanding {

/** Returns whether an amount stays within a limit, in each limited resource. */
bool isWithinLimit(const Resources &amount, const Resources &limit);

/**
 * Returns whether a task may start: its account stays within the limit, or uses less than half of it in each limited resource. Otherwise a task that
 * needs more than half of the limit would wait for ever behind the small tasks of its own account.
 */
bool mayStartTask(const Resources &limit, const Resources &used, const Resources &request);

/** Returns whether all tasks of a gang may start together: the account stays within the limit. */
bool mayStartGang(const Resources &limit, const Resources &used, const Resources &request, std::uint32_t tasks);

/** Adds a request to the usage of an account; does nothing without an account. */
void addUsage(AccountUsage &usage, const AccountName &account, const Resources &request);

/** Subtracts a request from the usage of an account; does nothing without an account. */
void subtractUsage(AccountUsage &usage, const AccountName &account, const Resources &request);

/** Returns the usage of an account. */
Resources usageOf(const AccountUsage &usage, const AccountName &account);

} // namespace Filbertlanding
