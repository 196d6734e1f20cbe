/** @file scheduler_care.cpp Care for what runs: tasks on workers that drain, and the pace of tasks in spare room. */

#include "fleet/pace_control.h"
#include "fleet/scheduler_detail.h"

namespace Filbertlanding {

namespace {

    constexpr Duration LeaveMargin{400}; ///< Time before the end of a draining worker by which a task must have saved its progress.
    constexpr Duration PaceInterval{600}; ///< Time until a changed pace shows in the tails, which cover half a second.

} // namespace

void moveOffDraining(FleetScheduler &scheduler, const FleetState &state, WorkerContact &contact, TimePoint now)
{
    const auto life = state.lives.find(contact.life);
    if (life == state.lives.end() || !life->second.profile.isDraining) {
        return;
    }
    for (auto &[task, run] : contact.runs) {
        if (run.phase != RunPhase::Started || run.stopWanted) {
            continue;
        }
        const TimePoint leaves = contact.leavesAt.value_or(now);
        const Duration left = leaves - now;
        const Duration needed = scheduler.settings.stopTimeout + LeaveMargin;
        const bool savesProgress = run.isCheckpointed && left <= needed;
        if (run.isLasting || savesProgress) {
            run.stopWanted = true;
            run.nextTry = now;
            contact.nextRunDue = now;
        }
    }
}

void adaptPace(FleetScheduler &scheduler, WorkerContact &contact, TimePoint now)
{
    if (now - contact.paceChecked < PaceInterval + scheduler.settings.paceDelay) {
        return;
    }
    std::vector<TailSample> samples;
    std::int64_t pace = 100;
    bool hasFilling = false;
    for (const auto &[task, run] : contact.runs) {
        if (run.isLasting && run.latencyTarget.ms > 0) {
            samples.push_back({Duration{run.measure}, run.latencyTarget});
        }
        if (run.fillsSpare && run.phase == RunPhase::Started) {
            hasFilling = true;
            pace = std::min(pace, run.pacePercent);
        }
    }
    if (!hasFilling) {
        return;
    }
    const std::int64_t next = samples.empty() ? 100 : nextPace(pace, samples);
    contact.paceChecked = now;
    for (auto &[task, run] : contact.runs) {
        if (run.fillsSpare && run.phase == RunPhase::Started && run.pacePercent != next) {
            run.pacePercent = next;
            run.nextTry = now;
            contact.nextRunDue = now;
        }
    }
}

} // namespace Filbertlanding
