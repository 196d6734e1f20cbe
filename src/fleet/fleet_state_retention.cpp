/** @file fleet_state_retention.cpp Removes ended jobs after their retention time. */

#include "fleet/fleet_state_detail.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    bool hasActiveRuns(const FleetJob &job)
    {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const StepRecord &step : occurrence.steps) {
                if (step.activeCount > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Removes the ended jobs and the early cancellations for which the functions return true. Returns the number of jobs. */
    template<class IsOldJob, class IsOldCancellation>
    std::size_t removeIfOld(FleetState &state, IsOldJob isOldJob, IsOldCancellation isOldCancellation)
    {
        const std::size_t removed = std::erase_if(state.jobs, [&state, &isOldJob](const auto &item) {
            const FleetJob &job = item.second;
            if (!hasEnded(job.state) || !isOldJob(job) || hasActiveRuns(job)) {
                return false;
            }
            state.jobNumbers.erase(job.id);
            return true;
        });
        std::erase_if(state.cancelledBeforeSubmission, [&isOldCancellation](const auto &item) {
            return isOldCancellation(item.second);
        });
        return removed;
    }

} // namespace

bool needsRetentionClock(const FleetState &state)
{
    return !state.jobs.empty() || !state.cancelledBeforeSubmission.empty();
}

FleetChange apply(FleetState &state, const AdvanceRetentionClock &command)
{
    const Duration elapsed = std::clamp(command.elapsed, Duration{0}, MaxRetentionClockAdvance);
    state.retentionClock = state.retentionClock + elapsed;
    const auto isOld = [&state](Duration since) {
        // The advance that follows an end counts time from before the end too.
        return state.retentionClock - since > EndedJobRetention + MaxRetentionClockAdvance;
    };
    FleetChange change{.isApplied = true};
    change.removedJobs = removeIfOld(
        state,
        [&isOld](const FleetJob &job) {
            return isOld(job.endedOnClock);
        },
        [&isOld](const EarlyCancellation &cancellation) {
            return isOld(cancellation.onClock);
        });
    return change;
}

void removeJobsByWallTime(FleetState &state, WallTime now)
{
    const auto isOld = [now](WallTime at) {
        return now.ms - at.ms > EndedJobRetention.ms;
    };
    removeIfOld(
        state,
        [&isOld](const FleetJob &job) {
            return isOld(job.endedAt);
        },
        [&isOld](const EarlyCancellation &cancellation) {
            return isOld(cancellation.at);
        });
}

} // namespace Filbertlanding
