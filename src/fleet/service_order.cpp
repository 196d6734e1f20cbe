/**
 * @file service_order.cpp Order of service under overload.
 *
 * Load: short urgent jobs and wide long ones share the workers, and bursts bring more than fits. Jobs that can still be served in time
 * go before lasting tasks, and these before jobs that will be late, since a late result is worth a fraction. Among jobs in time those with
 * less slack go first; of about the same slack the priority of the queue decides, then the smaller job, which earns more for a processor
 * second.
 */

#include "fleet/service_order.h"

#include <algorithm>
#include <tuple>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t LateFactor = 3; ///< A result is of some worth up to so many times its objective.

    /** Slack is compared in classes of this length, so that jobs of about the same slack are ordered by their worth. */
    constexpr std::int64_t SlackClassMs = 400;

    /** Rank of a step: lasting tasks earn less for a processor second than short jobs in time, and more than late ones. */
    int rankOf(const ReadyStep &step, DeadlineStatus prospect)
    {
        constexpr int LastingRank = 1;
        if (step.isLongRunning) {
            return LastingRank;
        }
        return prospect == DeadlineStatus::OnTime ? 0 : LastingRank + static_cast<int>(prospect);
    }

    std::tuple<int, std::int64_t, std::int64_t, double, std::int64_t, JobNumber, std::uint32_t> serviceKey(const ReadyStep &step, TimePoint now)
    {
        const DeadlineStatus prospect = deadlineStatus(step, now);
        const std::int64_t slack = (step.objectiveDeadline - now - step.remainingCriticalPath).ms;
        const std::int64_t slackClass = prospect == DeadlineStatus::OnTime && !step.isLongRunning ? slack / SlackClassMs : 0;
        return {rankOf(step, prospect), slackClass, step.priority, -step.valueDensity, step.acceptedAt.ms, step.job, step.step};
    }

} // namespace

DeadlineStatus deadlineStatus(const ReadyStep &step, TimePoint now)
{
    const TimePoint end = now + step.remainingCriticalPath;
    if (step.isLongRunning || end <= step.objectiveDeadline) {
        return DeadlineStatus::OnTime;
    }
    const Duration objective = step.objectiveDeadline - step.acceptedAt;
    return end <= step.acceptedAt + objective * LateFactor ? DeadlineStatus::Late : DeadlineStatus::Expired;
}

bool isDeadlineNear(const ReadyStep &step, TimePoint now)
{
    const Duration slack = step.objectiveDeadline - now - step.remainingCriticalPath;
    return slack < step.remainingCriticalPath / 2 && deadlineStatus(step, now) != DeadlineStatus::Expired;
}

void sortByServiceOrder(std::vector<ReadyStep> &steps, TimePoint now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return serviceKey(left, now) < serviceKey(right, now);
    });
}

} // namespace Filbertlanding
