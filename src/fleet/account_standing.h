/** @file account_standing.h What each account uses and waits for, as placement and admission see it. */

#pragma once

#include "account/account_type.h"
#include "account/fair_share.h"
#include "core/clock_type.h"
#include "fleet/fleet_state_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Filbertlanding {

struct FleetScheduler;
struct ReadyStep;

/** A short job with tasks that wait, and that can still be of use. */
struct WaitingShortJob {
    TimePoint latestStart; ///< Time by which a waiting task must start for the job to meet its objective.
    double cpuSeconds = 0; ///< Expected work that has not started.
};

/** An account with open jobs or active runs. */
struct AccountStanding {
    AccountTerms terms;
    Resources used; ///< Requests of all runs that may exist, including proposed ones.
    Resources usedByLongRunning; ///< Requests of the long-running tasks among them that the log records as started.
    ShareClass shareClass = ShareClass::Within;
    double dominantShare = 0; ///< Largest share of any resource of the workers that it uses.
    std::vector<WaitingShortJob> shortJobs; ///< Jobs that precede its later ones if their latest start is earlier.
    std::uint32_t waitingJobs = 0; ///< Open jobs with tasks that wait.
    std::uint32_t heldSteps = 0; ///< Ready steps of which no task may start because of the limit.
    Duration longestWait; ///< Longest time since the acceptance of a job that has not started, or without a run of a long-running task.
};

/** Standings by account. Empty in a deployment without accounts. */
using AccountStandings = std::map<AccountName, AccountStanding>;

/** Sums over the accounts that use workers or wait for them. */
struct ShareTotals {
    Resources capacity; ///< Capacity of the usable workers.
    double shares = 0; ///< Sum of the dominant shares.
    double weights = 0;
};

/** What one job waits for, and what it uses for long. */
struct WaitingWork {
    Resources usedByLongRunning; ///< Requests of its long-running tasks that run.
    std::optional<WaitingShortJob> shortJob; ///< Nothing for long-running and repeated jobs, whose work has no end, and for jobs too late to be of use.
    bool hasWaitingTasks = false;
    Duration longestWait;
};

/** Adds a job that is open, with what it waits for, to its account. Does nothing for a job without an account. */
void addWaitingWork(AccountStandings &standings, const AccountTerms &account, const WaitingWork &work);

/**
 * Sets the usage of each account: the runs of the replicated state and the proposed starts. Terms of accounts whose jobs have all ended are taken from
 * the standings of the previous pass, or else from the manifest.
 */
void setUsage(AccountStandings &standings, const AccountStandings &previous, const FleetScheduler &scheduler, const FleetState &state);

/** Sets the share and the share class of each account that uses workers or waits for them, from the capacity of the usable workers. */
ShareTotals setShares(AccountStandings &standings, const Resources &capacity);

/** Sets the share class of each ready step. */
void markShareClasses(const AccountStandings &standings, const FleetState &state, std::vector<ReadyStep> &ready);

/** Marks the ready steps of which no task may start because of the limit of the account, beside those that are marked, and counts them by account. */
void markHeldSteps(FleetScheduler &scheduler, const FleetState &state, std::vector<ReadyStep> &ready);

/**
 * Adds a start that is proposed now to the usage of its account, and updates the share of this account. Otherwise one account would get all capacity that
 * is free in a pass.
 */
void addProposedStart(AccountStandings &standings, ShareTotals &totals, const FleetJob &job, std::uint32_t step);

/** Returns the expected work, in CPU seconds, that precedes a new short job of the account in the order of service. */
double precedingCpuSeconds(const AccountStanding &standing, TimePoint latestStart);

/** Returns what an account uses, with the starts that are proposed. */
Resources usedBy(const FleetScheduler &scheduler, const FleetState &state, const AccountName &account);

/**
 * Returns whether the limit of its account lets a task of a step start beside a number of others of the step for which room is planned, or all tasks
 * together if the step is a gang.
 */
bool mayStartStep(const FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, std::uint32_t step, std::uint32_t planned = 0);

/**
 * Returns whether a step that the limit of its account holds keeps room for itself: later steps of the account wait until its runs have made room for a
 * task. Otherwise small tasks would take what becomes free, and a large one would never start. Gangs don't keep room, since the account would use less
 * than half of its limit meanwhile, nor do long-running steps, for which short ones would wait for as long as they do.
 */
bool reservesLimit(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step);

/** Returns whether the limit of its account would let a task start again if its run was stopped. */
bool mayRestartTask(const FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, std::uint32_t step);

} // namespace Filbertlanding
