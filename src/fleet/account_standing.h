/** @file account_standing.h What each account uses and waits for, as placement and admission see it. */

#pragma once

#include "account/account_type.h"
#include "account/fair_share.h"
#include "core/clock_type.h"

#include <cstdint>
#include <map>

namespace Filbertlanding {

/** An account with open jobs or active runs. */
struct AccountStanding {
    AccountTerms terms;
    Resources used; ///< Requests of all runs that may exist, including proposed ones.
    ShareClass shareClass = ShareClass::Within;
    double dominantShare = 0; ///< Largest share of any resource of the workers that it uses.
    double waitingCpuSeconds = 0; ///< Expected work of its short jobs that has not started.
    std::uint32_t waitingJobs = 0; ///< Open jobs with tasks that wait.
    std::uint32_t heldSteps = 0; ///< Ready steps of which no task may start because of the limit.
    Duration longestWait; ///< Longest time since the acceptance of a job that has not started, or without a run of a long-running task.
};

/** Standings by account. Empty in a deployment without accounts. */
using AccountStandings = std::map<AccountName, AccountStanding>;

} // namespace Filbertlanding
