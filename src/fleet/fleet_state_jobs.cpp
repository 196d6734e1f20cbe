/** @file fleet_state_jobs.cpp Applies the commands on jobs: submission, cancellation and occurrences. */

#include "account/account_check.h"
#include "fleet/fleet_state_detail.h"
#include "fleet/state_memory.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr JobNumber CleanupInterval = 64; ///< Number of submissions between two removals by the time of day.

    void openOccurrence(FleetJob &job, std::uint32_t number, TimePoint at)
    {
        TaskRecord idleTask;
        idleTask.idleSince = at;
        Occurrence &occurrence = job.occurrences[number];
        for (const StepSpec &spec : job.spec.steps) {
            occurrence.steps.emplace_back().tasks.resize(spec.taskCount, idleTask);
        }
    }

    /** Returns the account of a submission if it still has its key. An earlier manifest of the log may have removed it since the call was checked. */
    const ClientAccount *findSubmitter(const FleetManifest &manifest, const SubmitFleetJob &command)
    {
        const ClientAccount *account = findAccount(manifest.accounts, command.account);
        return account != nullptr && hasKey(*account, command.keyDigest) ? account : nullptr;
    }

    /**
     * Returns whether a caller of an account may cancel a job. The leader has checked the call, but if it did not know the job yet, the log may have it
     * as a job of another account before the cancellation. On a public queue anyone may cancel.
     */
    bool mayCancel(const FleetManifest &manifest, const FleetJob &job, const AccountName &account)
    {
        return !manifest.hasAccounts || job.account.name.empty() || job.account.name == account || job.queue.isPublic;
    }

    /** Records a cancellation for the caller's account only, so that it cannot cancel a later job of another one. */
    void recordEarlyCancellation(FleetState &state, const CancelFleetJob &command)
    {
        const auto [entry, isNew] = state.cancelledBeforeSubmission.try_emplace(command.id);
        EarlyCancellation &cancellation = entry->second;
        state.memory.cancellations -= isNew ? 0 : estimateCancellationMemory(command.id, cancellation);
        cancellation.at = command.at;
        cancellation.onClock = state.retentionClock;
        auto &accounts = cancellation.accounts;
        if (std::find(accounts.begin(), accounts.end(), command.account) == accounts.end()) {
            accounts.push_back(command.account);
        }
        state.memory.cancellations += estimateCancellationMemory(command.id, cancellation);
    }

    /** Removes the cancellation that arrived before a submission. Returns whether the account of the submission had cancelled the job. */
    bool takeEarlyCancellation(FleetState &state, const SubmitFleetJob &command)
    {
        const auto found = state.cancelledBeforeSubmission.find(command.id);
        if (found == state.cancelledBeforeSubmission.end()) {
            return false;
        }
        const auto &accounts = found->second.accounts;
        const bool counts = !state.manifest.hasAccounts || std::find(accounts.begin(), accounts.end(), command.account) != accounts.end();
        state.memory.cancellations -= estimateCancellationMemory(command.id, found->second);
        state.cancelledBeforeSubmission.erase(found);
        return counts;
    }

} // namespace

void endJob(FleetJob &job, FleetJobState state, WallTime at, FleetChange &change)
{
    job.state = state;
    job.endedAt = at;
    change.endedJobs.push_back(job.number);
}

const QueueConfig *findQueueByRoute(const FleetManifest &manifest, const std::string &host, const std::string &prefix)
{
    for (const QueueConfig &queue : manifest.queues) {
        if (queue.host == host && queue.pathPrefix == prefix) {
            return &queue;
        }
    }
    return nullptr;
}

FleetChange apply(FleetState &state, const SubmitFleetJob &command)
{
    FleetChange change;
    const auto known = state.jobNumbers.find(command.id);
    if (known != state.jobNumbers.end()) {
        change.job = known->second;
        return change;
    }
    const QueueConfig *queue = findQueueByRoute(state.manifest, command.host, command.pathPrefix);
    if (queue == nullptr) {
        return change;
    }
    const ClientAccount *account = findSubmitter(state.manifest, command);
    if (account == nullptr && state.manifest.hasAccounts && !queue->isPublic) {
        return change;
    }
    change.isApplied = true;
    change.job = ++state.lastJobNumber;
    FleetJob &job = state.jobs[change.job];
    job.number = change.job;
    job.id = command.id;
    job.host = command.host;
    job.pathPrefix = command.pathPrefix;
    job.queue = *queue;
    job.spec = command.spec;
    job.acceptedAt = command.at;
    if (account != nullptr) {
        job.account = account->terms;
    }
    state.jobNumbers[command.id] = change.job;
    if (job.spec.repeatCount == 0) {
        openOccurrence(job, 0, state.appliedAt);
    }
    updateJobMemory(state, job);
    if (takeEarlyCancellation(state, command)) {
        endJob(job, FleetJobState::Cancelled, command.at, change);
    }
    if (command.removesByWallTime && state.lastJobNumber % CleanupInterval == 0) {
        removeJobsByWallTime(state, command.at);
    }
    return change;
}

FleetChange apply(FleetState &state, const CancelFleetJob &command)
{
    FleetChange change;
    const auto known = state.jobNumbers.find(command.id);
    if (known == state.jobNumbers.end()) {
        recordEarlyCancellation(state, command);
        return change;
    }
    change.job = known->second;
    const auto open = state.jobs.find(known->second);
    if (open == state.jobs.end()) {
        return change;
    }
    FleetJob &job = open->second;
    if (!hasEnded(job.state) && mayCancel(state.manifest, job, command.account)) {
        change.isApplied = true;
        endJob(job, FleetJobState::Cancelled, command.at, change);
    }
    return change;
}

FleetChange apply(FleetState &state, const OpenOccurrence &command)
{
    FleetChange change;
    const auto found = state.jobs.find(command.job);
    if (found == state.jobs.end() || hasEnded(found->second.state)) {
        return change;
    }
    FleetJob &job = found->second;
    // Occurrences are opened in their order. Complete ones are no longer held, so that their number alone tells that they have been opened.
    if (command.occurrence >= job.spec.repeatCount || command.occurrence != countOpenedOccurrences(job)) {
        return change;
    }
    openOccurrence(job, command.occurrence, state.appliedAt);
    updateJobMemory(state, job);
    change.isApplied = true;
    change.job = command.job;
    return change;
}

} // namespace Filbertlanding
