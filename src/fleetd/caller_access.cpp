/** @file caller_access.cpp Decides which calls are allowed, for which account, and which jobs a caller may see and cancel. */

#include "fleetd/caller_access.h"

#include "fleet/service_order.h"

#include <algorithm>
#include <vector>

namespace Filbertlanding {

namespace {

    constexpr double MaxUsefulMs = 1e15; ///< Keeps the product of a long estimate and a large stretch within the range of a duration.
    constexpr double PerMille = 1000.0;

    /** Returns the longest chain of declared run times. */
    double declaredCriticalPathMs(const JobSpec &spec)
    {
        std::vector<double> untilEnd(spec.steps.size(), 0.0);
        double longest = 0;
        for (std::size_t i = 0; i < spec.steps.size(); ++i) {
            const StepSpec &step = spec.steps[i];
            for (const std::uint32_t earlier : step.dependsOn) {
                untilEnd[i] = std::max(untilEnd[i], untilEnd[earlier]);
            }
            untilEnd[i] += static_cast<double>(step.estimate.ms);
            longest = std::max(longest, untilEnd[i]);
        }
        return longest;
    }

    /** Returns the declared CPU seconds of a job; 0 if it is repeated or has a long-running step. */
    double declaredCpuSeconds(const JobSpec &spec)
    {
        constexpr double MillisPerUnit = 1000.0; // Thousandths of a core in a core, and milliseconds in a second.
        const bool isLongRunning = std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &step) {
            return step.isLongRunning;
        });
        if (isLongRunning || spec.repeatCount > 0) {
            return 0;
        }
        double seconds = 0;
        for (const StepSpec &step : spec.steps) {
            const double taskSeconds = static_cast<double>(step.request.cpuMillis) / MillisPerUnit * static_cast<double>(step.estimate.ms) / MillisPerUnit;
            seconds += taskSeconds * step.taskCount;
        }
        return seconds;
    }

} // namespace

CallerAccess authorizeCall(const FleetManifest &manifest, const KeyIndex &keys, const QueueConfig &queue, std::string_view apiKey)
{
    CallerAccess access;
    if (!manifest.hasAccounts) {
        access.seesAllJobs = true;
        return access;
    }
    if (!apiKey.empty()) {
        const KeyDigest digest = digestOfKey(apiKey);
        if (const AccountName *account = keys.findAccount(digest)) {
            access.account = *account;
            access.keyDigest = digest;
            return access;
        }
    }
    access.code = queue.isPublic ? ResultCode::Ok : ResultCode::KeyUnknown;
    return access;
}

bool maySeeJob(const CallerAccess &access, const QueueConfig &queue, const JobOrigin &origin)
{
    if (access.seesAllJobs || origin.account.empty() || origin.account == access.account) {
        return true;
    }
    return queue.isPublic && origin.host == queue.host && origin.pathPrefix == queue.pathPrefix;
}

AccountJob makeAccountJob(const JobSpec &spec, const QueueConfig &queue)
{
    AccountJob job;
    for (const StepSpec &step : spec.steps) {
        const std::int64_t tasks = step.isGang ? step.taskCount : 1;
        job.largestStart.cpuMillis = std::max(job.largestStart.cpuMillis, step.request.cpuMillis * tasks);
        job.largestStart.memoryMb = std::max(job.largestStart.memoryMb, step.request.memoryMb * tasks);
        job.largestStart.accelerators = std::max(job.largestStart.accelerators, step.request.accelerators * tasks);
    }
    job.cpuSeconds = declaredCpuSeconds(spec);
    const double stretch = static_cast<double>(queue.stretchPerMille) / PerMille;
    const double criticalPathMs = declaredCriticalPathMs(spec);
    const double objectiveMs = criticalPathMs * stretch + static_cast<double>(queue.latencyAllowance.ms);
    job.slack = {static_cast<std::int64_t>(std::min(objectiveMs - criticalPathMs, MaxUsefulMs))};
    job.usefulTime = {static_cast<std::int64_t>(std::min(static_cast<double>(MaxLateFactor) * objectiveMs, MaxUsefulMs))};
    return job;
}

std::string accountRefusalMessage(AccountRefusalReason reason)
{
    std::string text = "the job was not accepted and nothing ran (" + std::string(AccountRefusalNames.nameOf(reason)) + "): ";
    switch (reason) {
    case AccountRefusalReason::Rate:
        return text + "the account submits more jobs than its weight allows";
    case AccountRefusalReason::Limit:
        return text + "a task or gang of the job is larger than the limit of the account";
    case AccountRefusalReason::Backlog:
        return text + "earlier work of the account takes longer at its CPU limit than the result would be useful";
    }
    return text;
}

} // namespace Filbertlanding
