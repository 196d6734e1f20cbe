/**
 * @file service_order.cpp Order of service under overload.
 *
 * Load: short urgent jobs and wide long ones share the workers, and bursts bring more than fits. Jobs that can still be served in time
 * go before those that will be late, since a late result is worth a fraction. Among the former the least slack goes first, as long as
 * nothing is lost by it; among the latter the oldest, so that no job waits for ever.
 */

#include "fleet/service_order.h"

#include <algorithm>
#include <tuple>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t LateFactor = 3; ///< A result is of some worth up to so many times its objective.

    /** Slack is compared in classes of this length, so that jobs of about the same slack are ordered by their worth. */
    constexpr std::int64_t SlackClassMs = 400;

    std::tuple<int, int, std::int64_t, double, std::int64_t, JobNumber, std::uint32_t> serviceKey(const ReadyStep &step, TimePoint now)
    {
        const Prospect prospect = prospectOf(step, now);
        const std::int64_t slack = (step.objectiveEnd - now - step.remainingChain).ms;
        // Lasting tasks earn from the moment at which they work, and everything else is planned around them.
        const int kind = step.isLasting ? 0 : 1;
        const std::int64_t slackClass = prospect == Prospect::InTime ? slack / SlackClassMs : 0;
        return {kind, static_cast<int>(prospect), slackClass, -step.worthDensity, step.acceptedAt.ms, step.job, step.step};
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

void sortByService(std::vector<ReadyStep> &steps, TimePoint now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return serviceKey(left, now) < serviceKey(right, now);
    });
}

} // namespace Filbertlanding
