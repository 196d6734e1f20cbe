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
    int rankOf(const ReadyStep &step, Prospect prospect)
    {
        constexpr int LastingRank = 1;
        if (step.isLasting) {
            return LastingRank;
        }
        return prospect == Prospect::InTime ? 0 : LastingRank + static_cast<int>(prospect);
    }

    std::tuple<int, std::int64_t, std::int64_t, double, std::int64_t, JobNumber, std::uint32_t> serviceKey(const ReadyStep &step, TimePoint now)
    {
        const Prospect prospect = prospectOf(step, now);
        const std::int64_t slack = (step.objectiveEnd - now - step.remainingChain).ms;
        const std::int64_t slackClass = prospect == Prospect::InTime && !step.isLasting ? slack / SlackClassMs : 0;
        return {rankOf(step, prospect), slackClass, step.priority, -step.worthDensity, step.acceptedAt.ms, step.job, step.step};
    }

} // namespace

Prospect prospectOf(const ReadyStep &step, TimePoint now)
{
    const TimePoint end = now + step.remainingChain;
    if (step.isLasting || end <= step.objectiveEnd) {
        return Prospect::InTime;
    }
    const Duration objective = step.objectiveEnd - step.acceptedAt;
    return end <= step.acceptedAt + objective * LateFactor ? Prospect::Late : Prospect::TooLate;
}

bool isTimeRunningOut(const ReadyStep &step, TimePoint now)
{
    const Duration slack = step.objectiveEnd - now - step.remainingChain;
    return slack < step.remainingChain / 2 && prospectOf(step, now) != Prospect::TooLate;
}

void sortByService(std::vector<ReadyStep> &steps, TimePoint now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return serviceKey(left, now) < serviceKey(right, now);
    });
}

} // namespace Filbertlanding
