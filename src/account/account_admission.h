/** @file account_admission.h Which jobs of an account are refused because of its own rate, limit and backlog. */

#pragma once

#include "account/account_type.h"
#include "account/submission_rate.h"
#include "core/clock_type.h"
#include "core/name_table.h"

#include <optional>

namespace Filbertlanding {

/** Why a job of an account is refused. */
enum class AccountRefusalReason : std::uint8_t {
    Rate, ///< The account submits more jobs than its weight allows.
    Limit, ///< A task or a gang of the job exceeds the limit of the account.
    Backlog, ///< Work of the account that precedes the job takes longer than the result of the job would be useful.
};

constexpr auto AccountRefusalNames = makeNameTable<AccountRefusalReason>({
    {AccountRefusalReason::Rate, "rate"},
    {AccountRefusalReason::Limit, "limit"},
    {AccountRefusalReason::Backlog, "account_backlog"},
});

/** A refusal. */
struct AccountRefusal {
    AccountRefusalReason reason = AccountRefusalReason::Rate;
    Duration retryAfter; ///< Time after which the reason no longer holds, as far as known; 0 if retrying is useless.
};

/** A job as admission sees it. */
struct AccountJob {
    Resources largestStart; ///< Largest request, of each resource, that starts as a whole: a task, or all tasks of a gang.
    double cpuSeconds = 0; ///< Expected work; 0 for long-running jobs, which are not refused because of the backlog.
    Duration usefulTime; ///< Time after which the result has no value.
    Duration slack; ///< Time for which its first task may wait without the job missing its objective; negative if it cannot meet it.
};

/**
 * Returns why a job is refused, or nothing. Takes a token from the bucket of the account only if no other reason holds.
 * @param precedingCpuSeconds Work of the account that waits and comes before the job in the order of service.
 */
std::optional<AccountRefusal>
findAccountRefusal(SubmissionBuckets &buckets, const AccountTerms &terms, double precedingCpuSeconds, const AccountJob &job, TimePoint now);

} // namespace Filbertlanding
