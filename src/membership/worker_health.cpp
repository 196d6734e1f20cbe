/** @file worker_health.cpp Quarantine and probation of workers on which several different jobs have failed. */

#include "membership/worker_health.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Records a failure. An earlier failure of the same job is replaced. */
    void addFailure(WorkerHealth &health, const QuarantineSettings &settings, const JobId &job, TimePoint now)
    {
        std::erase_if(health.failures, [&](const JobFailure &failure) {
            return failure.job == job || now - failure.at > settings.window;
        });
        health.failures.push_back({job, now});
        if (health.failures.size() > settings.distinctFailedJobs) {
            health.failures.erase(health.failures.begin());
        }
    }

} // namespace

bool recordTaskOutcome(WorkerHealth &health, const QuarantineSettings &settings, const JobId &job, bool succeeded, TimePoint now)
{
    if (succeeded) {
        health.failures.clear();
        if (health.probation) {
            health.probation = false;
            health.quarantineCount = 0;
        }
        return false;
    }
    addFailure(health, settings, job, now);
    if (health.quarantined) {
        return false;
    }
    return health.probation || health.failures.size() >= settings.distinctFailedJobs;
}

void startQuarantine(WorkerHealth &health, const QuarantineSettings &settings, TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 20;
    const std::int64_t factor = std::int64_t{1} << std::min(health.quarantineCount, MaxDoublings);
    const Duration length = std::min(settings.baseQuarantineTime * factor, settings.maxQuarantineTime);
    health.quarantinedUntil = now + length;
    ++health.quarantineCount;
    health.quarantined = true;
    health.probation = false;
    health.failures.clear();
}

bool endQuarantineIfDue(WorkerHealth &health, TimePoint now)
{
    if (!health.quarantined || now < health.quarantinedUntil) {
        return false;
    }
    health.quarantined = false;
    health.probation = true;
    return true;
}

std::uint32_t allowedTasks(const WorkerHealth &health)
{
    if (health.quarantined) {
        return 0;
    }
    return health.probation ? 1 : UINT32_MAX;
}

} // namespace Filbertlanding
