/** @file account_report.cpp Metrics of client accounts, and log lines of changes of their keys and limits. */

#include "fleetd/account_report.h"

#include "account/account_check.h"
#include "account/api_key.h"
#include "runtime/log_func.h"

#include <algorithm>
#include <functional>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxNamedAccounts = 64; ///< Keeps the metrics page small in installations with many accounts.
    constexpr std::string_view OtherAccounts = "other"; ///< Name under which the metrics of further accounts are summed up.

    void add(RefusalCounts &sum, const RefusalCounts &counts)
    {
        std::transform(sum.begin(), sum.end(), counts.begin(), sum.begin(), std::plus<>());
    }

    void add(AccountFigures &sum, const AccountFigures &figures)
    {
        sum.waitingJobs += figures.waitingJobs;
        sum.runningTasks += figures.runningTasks;
        sum.cpuMillis += figures.cpuMillis;
        sum.cpuLimitMillis += figures.cpuLimitMillis;
        sum.dominantShare += figures.dominantShare;
        sum.longestWait = std::max(sum.longestWait, figures.longestWait);
        add(sum.refusals, figures.refusals);
    }

    std::uint64_t countRunningTasks(const FleetJob &job)
    {
        std::uint64_t tasks = 0;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const StepRecord &step : occurrence.steps) {
                tasks += step.activeCount;
            }
        }
        return tasks;
    }

    void collectStandings(const FleetState &state, const FleetScheduler &scheduler, AccountFigureMap &figures)
    {
        for (const auto &[account, standing] : scheduler.accounts) {
            AccountFigures &own = figures[account];
            own.waitingJobs = standing.waitingJobs;
            own.cpuMillis = standing.used.cpuMillis;
            own.cpuLimitMillis = standing.terms.limit.cpuMillis;
            own.dominantShare = standing.dominantShare;
            own.longestWait = standing.longestWait;
        }
        for (const auto &[number, view] : scheduler.jobs) {
            const auto job = state.jobs.find(number);
            if (job != state.jobs.end() && !job->second.account.name.empty()) {
                figures[job->second.account.name].runningTasks += countRunningTasks(job->second);
            }
        }
    }

    /** Escapes a label value of the Prometheus text format. */
    std::string escapeLabel(std::string_view value)
    {
        std::string escaped;
        for (const char c : value) {
            if (c == '\n') {
                escaped += "\\n";
                continue;
            }
            if (c == '\\' || c == '"') {
                escaped += '\\';
            }
            escaped += c;
        }
        return escaped;
    }

    void appendFigures(std::string &text, std::string_view account, const AccountFigures &figures)
    {
        const std::string label = "account=\"" + escapeLabel(account) + "\"";
        const auto append = [&text, &label](std::string_view name, const std::string &value) {
            text.append("filbertlanding_account_").append(name).append("{").append(label).append("} ").append(value).append("\n");
        };
        append("jobs_waiting", std::to_string(figures.waitingJobs));
        append("tasks_running", std::to_string(figures.runningTasks));
        append("cpu_used_millicores", std::to_string(figures.cpuMillis));
        append("cpu_limit_millicores", std::to_string(figures.cpuLimitMillis));
        append("dominant_share", std::to_string(figures.dominantShare));
        append("longest_wait_ms", std::to_string(figures.longestWait.ms));
        for (const auto &row : AccountRefusalNames.rows) {
            text.append("filbertlanding_account_jobs_refused_total{").append(label).append(",reason=\"").append(row.name).append("\"} ");
            text.append(std::to_string(figures.refusals[static_cast<std::size_t>(row.value)])).append("\n");
        }
    }

    void logTermsChange(const AccountTerms &before, const AccountTerms &after, std::string_view change)
    {
        logLine(LogArea::Intent,
                LogLevel::Info,
                "account_limit_changed",
                {{"account", after.name},
                 {"change", change},
                 {"oldWeight", before.weight},
                 {"newWeight", after.weight},
                 {"oldCpu", before.limit.cpuMillis},
                 {"newCpu", after.limit.cpuMillis},
                 {"oldMemoryMb", before.limit.memoryMb},
                 {"newMemoryMb", after.limit.memoryMb},
                 {"oldAccelerators", before.limit.accelerators},
                 {"newAccelerators", after.limit.accelerators}});
    }

} // namespace

void countRefusal(AccountRefusals &refusals, const AccountName &account, AccountRefusalReason reason)
{
    ++refusals.byAccount[account][static_cast<std::size_t>(reason)];
}

void keepRefusalsOf(AccountRefusals &refusals, const std::vector<ClientAccount> &accounts)
{
    std::erase_if(refusals.byAccount, [&refusals, &accounts](const auto &item) {
        const bool isRemoved = findAccount(accounts, item.first) == nullptr;
        if (isRemoved) {
            add(refusals.ofRemoved, item.second);
        }
        return isRemoved;
    });
}

AccountFigureMap collectAccountFigures(const FleetState &state, const FleetScheduler *scheduler, const AccountRefusals &refusals)
{
    AccountFigureMap figures;
    for (const ClientAccount &account : state.manifest.accounts) {
        figures[account.terms.name].cpuLimitMillis = account.terms.limit.cpuMillis;
    }
    if (scheduler != nullptr) {
        collectStandings(state, *scheduler, figures);
    }
    for (const auto &[account, counts] : refusals.byAccount) {
        figures[account].refusals = counts;
    }
    if (refusals.ofRemoved != RefusalCounts{}) {
        add(figures[AccountName(OtherAccounts)].refusals, refusals.ofRemoved);
    }
    return figures;
}

void appendAccountMetrics(std::string &text, const AccountFigureMap &figures)
{
    std::size_t named = 0;
    std::optional<AccountFigures> others;
    for (const auto &[account, own] : figures) {
        // An account of that name must not have the same series as the sum.
        if (account != OtherAccounts && named < MaxNamedAccounts) {
            appendFigures(text, account, own);
            ++named;
            continue;
        }
        add(others ? *others : others.emplace(), own);
    }
    if (others) {
        appendFigures(text, OtherAccounts, *others);
    }
}

void logAccountChanges(const std::vector<ClientAccount> &before, const std::vector<ClientAccount> &after)
{
    for (const KeyChange &change : compareKeys(before, after)) {
        logLine(LogArea::Intent,
                LogLevel::Info,
                "account_key_changed",
                {{"account", change.account}, {"key", shortDigest(change.digest)}, {"change", change.isAdded ? "added" : "removed"}});
    }
    for (const ClientAccount &account : after) {
        const ClientAccount *old = findAccount(before, account.terms.name);
        if (old == nullptr || old->terms != account.terms) {
            logTermsChange(old == nullptr ? AccountTerms() : old->terms, account.terms, old == nullptr ? "added" : "changed");
        }
    }
    for (const ClientAccount &account : before) {
        if (findAccount(after, account.terms.name) == nullptr) {
            AccountTerms removed;
            removed.name = account.terms.name;
            logTermsChange(account.terms, removed, "removed");
        }
    }
}

} // namespace Filbertlanding
