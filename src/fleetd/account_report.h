/** @file account_report.h Metrics of client accounts, and log lines of changes of their keys and limits. */

#pragma once

#include "account/account_admission.h"
#include "fleet/fleet_scheduler_base.h"
#include "fleet/fleet_state_base.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Numbers of refused jobs by reason. */
using RefusalCounts = std::array<std::uint64_t, AccountRefusalNames.rows.size()>;

/** Refused jobs of the accounts of the present manifest. */
struct AccountRefusals {
    std::map<AccountName, RefusalCounts> byAccount;
    RefusalCounts ofRemoved{}; ///< Of accounts that are no longer in the manifest.
};

/** Counts a refused job. */
void countRefusal(AccountRefusals &refusals, const AccountName &account, AccountRefusalReason reason);

/** Sums up the counts of accounts that a new manifest does not contain, so that the memory stays bounded by the manifest. */
void keepRefusalsOf(AccountRefusals &refusals, const std::vector<ClientAccount> &accounts);

/** Metrics of an account. */
struct AccountFigures {
    std::uint64_t waitingJobs = 0;
    std::uint64_t runningTasks = 0;
    std::int64_t cpuMillis = 0; ///< CPU requests of all runs that may exist, in thousandths of a core.
    std::int64_t cpuLimitMillis = 0; ///< 0 for no limit.
    double dominantShare = 0;
    Duration longestWait;
    RefusalCounts refusals{};
};

/** Metrics by account. */
using AccountFigureMap = std::map<AccountName, AccountFigures>;

/** Returns the metrics of all accounts. Without a scheduler, on daemons that do not lead, only limits and refused jobs are known. */
AccountFigureMap collectAccountFigures(const FleetState &state, const FleetScheduler *scheduler, const AccountRefusals &refusals);

/** Appends the metrics of the first accounts in the order of their names; those of all others are summed up as the account "other". */
void appendAccountMetrics(std::string &text, const AccountFigureMap &figures);

/** Logs which keys, weights and limits a new manifest has changed. */
void logAccountChanges(const std::vector<ClientAccount> &before, const std::vector<ClientAccount> &after);

} // namespace Filbertlanding
