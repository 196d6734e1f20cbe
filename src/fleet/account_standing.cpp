/** @file account_standing.cpp What each account uses and waits for. */

#include "fleet/account_standing.h"

#include "account/account_check.h"
#include "account/account_limit.h"
#include "fleet/scheduler_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns the standing of an account that has runs, which is added if all of its jobs have ended. */
    AccountStanding &standingWithRuns(AccountStandings &standings, const AccountStandings &previous, const FleetState &state, const AccountName &account)
    {
        const auto [entry, isNew] = standings.try_emplace(account);
        AccountStanding &standing = entry->second;
        if (!isNew) {
            return standing;
        }
        standing.terms.name = account;
        const auto known = previous.find(account);
        if (known != previous.end()) {
            standing.terms = known->second.terms;
        } else if (const ClientAccount *configured = findAccount(state.manifest.accounts, account)) {
            standing.terms = configured->terms;
        }
        return standing;
    }

    void addRequest(AccountStanding &standing, const Resources &request)
    {
        standing.used = standing.used + request;
    }

} // namespace

void addWaitingWork(AccountStandings &standings, const AccountTerms &account, const WaitingWork &work)
{
    if (account.name.empty()) {
        return;
    }
    const auto [entry, isNew] = standings.try_emplace(account.name);
    AccountStanding &standing = entry->second;
    if (isNew) {
        standing.terms = account;
    }
    standing.usedByLongRunning = standing.usedByLongRunning + work.usedByLongRunning;
    if (work.shortJob) {
        standing.shortJobs.push_back(*work.shortJob);
    }
    standing.waitingJobs += work.hasWaitingTasks ? 1 : 0;
    standing.longestWait = std::max(standing.longestWait, work.longestWait);
}

void setUsage(AccountStandings &standings, const AccountStandings &previous, const FleetScheduler &scheduler, const FleetState &state)
{
    for (const auto &[account, used] : state.accountUsage) {
        addRequest(standingWithRuns(standings, previous, state, account), used);
    }
    if (standings.empty()) {
        return;
    }
    for (const auto &[task, incarnation] : scheduler.proposedStarts) {
        const auto job = state.jobs.find(task.job);
        if (job != state.jobs.end() && !job->second.account.name.empty()) {
            addRequest(standingWithRuns(standings, previous, state, job->second.account.name), job->second.spec.steps[task.step].request);
        }
    }
}

ShareTotals setShares(AccountStandings &standings, const Resources &capacity)
{
    ShareTotals totals{.capacity = capacity};
    std::vector<AccountDemand> demands;
    for (auto &[account, standing] : standings) {
        standing.dominantShare = dominantShare(standing.used, capacity);
        if (standing.waitingJobs > 0 || standing.used != Resources()) {
            demands.push_back({account, standing.terms.weight, standing.used});
            totals.shares += standing.dominantShare;
            totals.weights += shareWeight(standing.terms.weight);
        }
    }
    for (const auto &[account, shareClass] : classifyShares(demands, capacity)) {
        standings.at(account).shareClass = shareClass;
    }
    return totals;
}

void markHeldSteps(FleetScheduler &scheduler, const FleetState &state, std::vector<ReadyStep> &ready)
{
    if (scheduler.accounts.empty()) {
        return;
    }
    for (ReadyStep &step : ready) {
        const FleetJob &job = state.jobs.at(step.job);
        if (countPendingTasks(scheduler, job, step.occurrence, step.step) == 0) {
            continue;
        }
        step.isHeldByAccountLimit = step.isHeldByAccountLimit || !mayStartStep(scheduler, state, job, step.step);
        if (step.isHeldByAccountLimit) {
            ++scheduler.accounts.at(job.account.name).heldSteps;
        }
    }
}

void markShareClasses(const AccountStandings &standings, const FleetState &state, std::vector<ReadyStep> &ready)
{
    if (standings.empty()) {
        return;
    }
    for (ReadyStep &step : ready) {
        const auto standing = standings.find(state.jobs.at(step.job).account.name);
        step.shareClass = standing == standings.end() ? ShareClass::Within : standing->second.shareClass;
    }
}

void addProposedStart(AccountStandings &standings, ShareTotals &totals, const FleetJob &job, std::uint32_t step)
{
    const auto found = standings.find(job.account.name);
    if (found == standings.end()) {
        return;
    }
    AccountStanding &standing = found->second;
    addRequest(standing, job.spec.steps[step].request);
    const double share = dominantShare(standing.used, totals.capacity);
    totals.shares += share - standing.dominantShare;
    standing.dominantShare = share;
    standing.shareClass = classifyShare(share, totals.shares * shareWeight(standing.terms.weight) / totals.weights);
}

bool reservesLimit(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    const auto standing = scheduler.accounts.find(job.account.name);
    if (spec.isGang || spec.isLongRunning || standing == scheduler.accounts.end()) {
        return false;
    }
    return mayStartTask(job.account.limit, standing->second.usedByLongRunning, spec.request);
}

double precedingCpuSeconds(const AccountStanding &standing, TimePoint latestStart)
{
    double cpuSeconds = 0;
    for (const WaitingShortJob &job : standing.shortJobs) {
        cpuSeconds += job.latestStart <= latestStart ? job.cpuSeconds : 0.0;
    }
    return cpuSeconds;
}

Resources usedBy(const FleetScheduler &scheduler, const FleetState &state, const AccountName &account)
{
    const auto standing = scheduler.accounts.find(account);
    // A new leader has no standings before its first placement pass.
    return standing == scheduler.accounts.end() ? usageOf(state.accountUsage, account) : standing->second.used;
}

bool mayStartStep(const FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, std::uint32_t step, std::uint32_t planned)
{
    if (job.account.name.empty()) {
        return true;
    }
    const StepSpec &spec = job.spec.steps[step];
    Resources used = usedBy(scheduler, state, job.account.name);
    if (spec.isGang) {
        return mayStartGang(job.account.limit, used, spec.request, spec.taskCount);
    }
    for (std::uint32_t i = 0; i < planned; ++i) {
        used = used + spec.request;
    }
    return mayStartTask(job.account.limit, used, spec.request);
}

bool mayRestartTask(const FleetScheduler &scheduler, const FleetState &state, const FleetJob &job, std::uint32_t step)
{
    if (job.account.name.empty()) {
        return true;
    }
    const Resources &request = job.spec.steps[step].request;
    const Resources used = usedBy(scheduler, state, job.account.name) - request;
    return mayStartTask(job.account.limit, used, request);
}

} // namespace Filbertlanding
