/** @file worker_contact.cpp Clock, lease and room of one life of a worker. */

#include "fleet/worker_contact.h"

#include <algorithm>

namespace Filbertlanding {

std::uint64_t fenceOf(std::uint64_t term, const WorkerContact &contact)
{
    // Orders of one leadership are numbered below 2^32; terms below 2^21 keep the fence exact for workers that read numbers as doubles.
    constexpr unsigned EpochBits = 32;
    return (term << EpochBits) + contact.fenceEpoch;
}

std::optional<std::int64_t> leastClock(const WorkerContact &contact, TimePoint now)
{
    if (!contact.clock) {
        return std::nullopt;
    }
    return contact.clock->workerMs + (now - contact.clock->at).ms * SlowestClockPercent / 100;
}

bool hasOpenStarts(const WorkerContact &contact, TimePoint now)
{
    const bool isUnderWay = std::any_of(contact.runs.begin(), contact.runs.end(), [](const auto &item) {
        return item.second.phase == RunPhase::Ordered && item.second.orderOpen;
    });
    return isUnderWay || std::any_of(contact.doubtfulStarts.begin(), contact.doubtfulStarts.end(), [now](const DoubtfulStart &start) {
               return now < start.until;
           });
}

void noteClock(WorkerContact &contact, std::int64_t workerMs, TimePoint now)
{
    // Of two samples the one that shows the later time bounds the worker's clock better; answers may overtake each other.
    const auto least = leastClock(contact, now);
    if (!least || *least <= workerMs) {
        contact.clock = {workerMs, now};
    }
}

std::optional<std::int64_t> leaseEndAfter(const WorkerContact &contact, Duration lease, TimePoint now)
{
    const auto least = leastClock(contact, now);
    return least ? std::optional<std::int64_t>(*least + lease.ms) : std::nullopt;
}

TimePoint certainLapse(const WorkerContact &contact)
{
    TimePoint end = contact.earlierLeasesEnd;
    if (contact.clock && contact.leaseEndMs > 0) {
        const std::int64_t left = std::max<std::int64_t>(0, contact.leaseEndMs - contact.clock->workerMs);
        end = std::max(end, contact.clock->at + Duration{left * 100 / SlowestClockPercent});
    }
    return end + LapseMargin;
}

void addStrayRun(WorkerContact &contact, const TaskName &task, std::uint32_t run, TimePoint now)
{
    const bool isKnown = std::any_of(contact.strayRuns.begin(), contact.strayRuns.end(), [&task, run](const StrayRun &stray) {
        return stray.task == task && stray.run == run;
    });
    if (!isKnown) {
        contact.strayRuns.push_back({task, run, false, now});
        contact.nextRunDue = now;
    }
}

void addDoubtfulStart(WorkerContact &contact, const TaskName &task, std::uint32_t run, TimePoint now)
{
    std::erase_if(contact.doubtfulStarts, [&task, run, now](const DoubtfulStart &start) {
        return start.until <= now || (start.task == task && start.run == run);
    });
    contact.doubtfulStarts.push_back({task, run, now + LongestOrderDelay});
}

void addRun(WorkerContact &contact, const TaskRef &task, RunView run)
{
    contact.isRoomStale = true;
    contact.used = contact.used + run.room;
    contact.spareCpuRequested += run.spareCpuMillis;
    contact.runs[task] = std::move(run);
}

void removeRun(WorkerContact &contact, const TaskRef &task)
{
    const auto found = contact.runs.find(task);
    if (found == contact.runs.end()) {
        return;
    }
    contact.isRoomStale = true;
    contact.used = contact.used - found->second.room;
    contact.spareCpuRequested -= found->second.spareCpuMillis;
    contact.runs.erase(found);
}

} // namespace Filbertlanding
