/**
 * @file long_running_admission.cpp Refuses long-running jobs while short jobs wait for CPU.
 *
 * Bursts of short jobs meet a fleet of which long-running tasks reserve most. A long-running job that is accepted then keeps its CPU for long after the
 * burst, and the short jobs that wait for it, already accepted, become late and expire. So it is refused until they have room; its caller may come back.
 * What was accepted is served as before.
 */

#include "fleet/long_running_admission.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** A wait counts for this time, since placement passes are only made when something has changed. */
    constexpr Duration WaitMemory{2'000};

} // namespace

bool canAdmitLongRunningJob(const ShortJobWaits &waits, const ServiceName &service, std::int64_t priority, TimePoint now)
{
    return std::none_of(waits.begin(), waits.end(), [&](const auto &wait) {
        const auto &[waitingService, waitingPriority] = wait.first;
        return waitingService == service && waitingPriority <= priority && now - wait.second <= WaitMemory;
    });
}

bool reservesCpuForGood(const JobSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec &step) {
        return step.isLongRunning && !step.usesSpareCapacity;
    });
}

} // namespace Filbertlanding
