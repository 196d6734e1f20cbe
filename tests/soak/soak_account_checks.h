/** @file soak_account_checks.h Checks what calls with and without keys may do, and that the tasks of accounts stay within their limits. */

#pragma once

#include "soak/soak_accounts.h"
#include "soak/soak_checks.h"
#include "soak/soak_workers.h"

#include <filesystem>

namespace Filbertlanding {

/** Compares the answers to calls and the starts of tasks with the ledger of the accounts. */
class SoakAccountChecks
{
public:
    SoakAccountChecks(SoakAccounts &soakAccounts, const SoakWorkers &soakWorkers, SoakChecks &soakChecks);

    /** A call has been answered with an HTTP status, or 0 if it got no answer. */
    void onAnswered(const SoakCall &call, unsigned status);

    /** A caller of a job has got an answer to its submission. */
    void onSubmissionAnswered(const SoakJob &job, const SoakCall &call, unsigned status);

    /** A call that may not reach a job, although its key may be valid, has been answered. */
    void onForeignAnswered(const JobId &id, const SoakCall &call, unsigned status);

    /** A worker has started a task. With isDelayed, the fault injection has delayed the order. */
    void onStarted(const TaskName &task, bool isDelayed);

    /** Returns whether a job may have to wait for the limit of its account, the given time after the last fault. */
    bool mayBeHeld(const SoakJob &job, Duration calmTime) const;

    /** Reports each key that the daemons have written to their logs. */
    void searchLogs(const std::filesystem::path &folder);

    SoakAccounts &accounts;
    std::uint64_t calls = 0;
    std::uint64_t refusedCalls = 0; ///< With HTTP status 401.
    std::uint64_t refusedForLimit = 0; ///< With HTTP status 422.
    std::uint64_t refusedForLoad = 0; ///< With HTTP status 429.
    std::uint64_t foreignRefused = 0; ///< Calls to a job of another account that were answered with HTTP status 409 or 410.
    std::uint64_t acceptedRemoved = 0; ///< Calls with a removed key that succeeded within the time limit.
    std::uint64_t checkedStarts = 0; ///< Starts of tasks whose account has a limit.

private:
    /** Usage of an account, and its largest task. */
    struct Usage {
        Resources total;
        Resources largest;
    };

    void checkAllowed(const SoakCall &call, const SoakKey *key, unsigned status);
    void checkWorks(const SoakCall &call, const SoakKey &key);
    Usage usageOf(const std::string &account) const;

    const SoakWorkers &workers;
    SoakChecks &checks;
};

} // namespace Filbertlanding
