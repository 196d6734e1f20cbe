/**
 * @file service_order.cpp Order of service under overload.
 *
 * Short urgent jobs and wide long jobs share the workers, and bursts exceed the capacity. Jobs that can still meet their objective precede
 * long-running tasks, and these precede late jobs, since a late result has only a fraction of its value. New jobs that are on time arrive all the
 * time, so long-running tasks that have waited for a while precede them. A job that has begun keeps its rank when it becomes late, as long as it is
 * likely to be completed while its result has some value. Otherwise a large job, which takes longer to get all of its tasks, would give way to new ones
 * with part of its work done. Jobs on time are ordered by slack. At about the same slack, an account that uses less than its share of the workers precedes
 * one that uses more, so that a flood of one account does not keep the others from theirs. This comes after the slack, so that an urgent job does not
 * miss its objective for the sake of the shares. Jobs without an account count as within their share. Then the priority of the queue decides, then the value
 * per CPU second that the job still needs. Of long-running tasks that have waited for about the same time, the share decides in the same way, and
 * those with small requests come first, so that most of them have a worker again soon after many were lost; a large one that has waited for long precedes
 * them.
 */

#include "fleet/service_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Filbertlanding {

namespace {

    /** Slack is compared in classes of this size, so that jobs with about the same slack are ordered by priority and value density. */
    constexpr std::int64_t SlackClassMs = 400;

    /** Wait after which long-running tasks precede jobs on time. Their users miss them for as long as they wait. */
    constexpr Duration MaxLongRunningWait{1'000};

    /** Waits of long-running tasks are compared in classes of this size, so that smaller requests come first among those that began at about the same time. */
    constexpr Duration LongRunningWaitClass{30'000};

    /** Returns whether a job that goes on as fast as so far is completed while its result has some value. */
    bool isLikelyToBeUseful(const ReadyStep &step, TimePoint now)
    {
        const Duration objective = step.objectiveDeadline - step.acceptedAt;
        const Duration usefulTime = objective * MaxLateFactor - step.remainingCriticalPath;
        return step.startedShare * static_cast<double>(usefulTime.ms) >= static_cast<double>((now - step.acceptedAt).ms);
    }

    /** Returns whether a short step with this status is served with the jobs on time. */
    bool hasOnTimeRank(const ReadyStep &step, DeadlineStatus status, TimePoint now)
    {
        const bool keepsRank = status == DeadlineStatus::Late && step.startedShare > 0 && isLikelyToBeUseful(step, now);
        return status == DeadlineStatus::OnTime || keepsRank;
    }

    /**
     * Returns the rank of a step: long-running tasks have less value per CPU second than short jobs on time, and more than late ones that have not begun.
     */
    int rankOf(const ReadyStep &step, DeadlineStatus status, TimePoint now)
    {
        constexpr int OnTimeRank = 1;
        constexpr int LongRunningRank = 2;
        if (step.isLongRunning) {
            return step.waitedFor >= MaxLongRunningWait ? 0 : LongRunningRank;
        }
        return hasOnTimeRank(step, status, now) ? OnTimeRank : LongRunningRank + static_cast<int>(status);
    }

    using ServiceKey = std::tuple<int, std::int64_t, ShareClass, std::int64_t, double, std::int64_t, JobNumber, std::uint32_t, std::uint32_t>;

    ServiceKey serviceKey(const ReadyStep &step, TimePoint now)
    {
        const DeadlineStatus status = deadlineStatus(step, now);
        const int rank = rankOf(step, status, now);
        if (step.isLongRunning) {
            const std::int64_t waitClass = step.waitedFor.ms / LongRunningWaitClass.ms;
            const auto request = static_cast<double>(step.requestedCpuMillis);
            return {rank, -waitClass, step.shareClass, step.priority, request, -step.waitedFor.ms, step.job, step.occurrence, step.step};
        }
        const std::int64_t slack = (latestStart(step) - now).ms;
        const std::int64_t slackClass = status == DeadlineStatus::OnTime ? slack / SlackClassMs : 0;
        return {rank, slackClass, step.shareClass, step.priority, -step.valueDensity, step.acceptedAt.ms, step.job, step.occurrence, step.step};
    }

} // namespace

double valueDensity(double total, double started)
{
    constexpr double LeastShare = 0.001; // The last tasks of a job come first in any case.
    return std::sqrt(total) / std::max(LeastShare * total, total - started);
}

DeadlineStatus deadlineStatus(const ReadyStep &step, TimePoint now)
{
    const TimePoint end = now + step.remainingCriticalPath;
    if (step.isLongRunning || end <= step.objectiveDeadline) {
        return DeadlineStatus::OnTime;
    }
    const Duration objective = step.objectiveDeadline - step.acceptedAt;
    return end <= step.acceptedAt + objective * MaxLateFactor ? DeadlineStatus::Late : DeadlineStatus::Expired;
}

TimePoint latestStart(const ReadyStep &step)
{
    return step.objectiveDeadline - step.remainingCriticalPath;
}

bool hasOnTimeRank(const ReadyStep &step, TimePoint now)
{
    return !step.isLongRunning && hasOnTimeRank(step, deadlineStatus(step, now), now);
}

bool isDeadlineNear(const ReadyStep &step, TimePoint now)
{
    const Duration slack = step.objectiveDeadline - now - step.remainingCriticalPath;
    return slack < step.remainingCriticalPath / 2 && deadlineStatus(step, now) != DeadlineStatus::Expired;
}

HarmTolerance toleratedHarm(const ReadyStep &step, bool isServiceIdle, TimePoint now)
{
    const bool isLateInIdleService = isServiceIdle && deadlineStatus(step, now) != DeadlineStatus::OnTime;
    return step.usesSpareCapacity && (isDeadlineNear(step, now) || isLateInIdleService) ? HarmTolerance::Limited : HarmTolerance::None;
}

bool getsTaskAtAnyHarm(const ReadyStep &step, bool isServiceIdle)
{
    return step.usesSpareCapacity && step.isStarved && isServiceIdle;
}

bool mayHoldWorkers(const ReadyStep &step)
{
    return step.isLongRunning && step.waitedFor >= MaxLongRunningWait;
}

void sortByServiceOrder(std::vector<ReadyStep> &steps, TimePoint now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return serviceKey(left, now) < serviceKey(right, now);
    });
}

bool moveBack(std::vector<ReadyStep> &steps, std::size_t index, TimePoint now)
{
    const auto step = steps.begin() + static_cast<std::ptrdiff_t>(index);
    const auto place = std::upper_bound(step + 1, steps.end(), serviceKey(*step, now), [now](const ServiceKey &key, const ReadyStep &other) {
        return key < serviceKey(other, now);
    });
    std::rotate(step, step + 1, place);
    return place != step + 1;
}

} // namespace Filbertlanding
