/** @file soak_starvation.cpp Checks in calm phases that accepted jobs run where there is room. */

#include "soak/soak_starvation.h"

#include "core/clock_func.h"

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds CheckInterval{100};
    constexpr Duration CalmTime{4'000}; ///< Time without any disturbance before a wait counts.
    constexpr Duration WaitLimit{3'000};
    constexpr Duration ChangeLimit{2'000}; ///< Time from the acknowledgement of a manifest until the older ones must not be obeyed any more.

    std::int64_t placesIn(const Resources &room, const Resources &request)
    {
        const std::int64_t byCpu = request.cpuMillis == 0 ? room.memoryMb : room.cpuMillis / request.cpuMillis;
        return std::max<std::int64_t>(0, std::min(byCpu, request.memoryMb == 0 ? byCpu : room.memoryMb / request.memoryMb));
    }

    bool isHalfInUse(const std::vector<SoakRoom> &rooms)
    {
        Resources capacity;
        Resources free;
        for (const SoakRoom &room : rooms) {
            capacity = capacity + room.capacity;
            free = free + room.free;
        }
        return free.cpuMillis * 2 <= capacity.cpuMillis || free.memoryMb * 2 <= capacity.memoryMb;
    }

    bool hasRoomTwice(const std::vector<SoakRoom> &rooms, const Resources &request)
    {
        std::int64_t places = 0;
        for (const SoakRoom &room : rooms) {
            places += placesIn(room.free, request);
        }
        return places >= 2;
    }

} // namespace

SoakStarvation::SoakStarvation(
    boost::asio::io_context &loop, const SoakDaemons &soakDaemons, const SoakWorkers &soakWorkers, const SoakManifests &soakManifests, SoakChecks &soakChecks)
    : daemons(soakDaemons)
    , workers(soakWorkers)
    , manifests(soakManifests)
    , checks(soakChecks)
    , timer(loop)
{
}

void SoakStarvation::start()
{
    this->onDisturbance();
    this->arm();
}

void SoakStarvation::onDisturbance()
{
    this->calmSince = steadyNow();
}

void SoakStarvation::arm()
{
    this->timer.expires_after(CheckInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->check();
            this->arm();
        }
    });
}

bool SoakStarvation::isCalm() const
{
    const TimePoint disturbed = std::max(this->calmSince, this->workers.lastExitAt);
    return steadyNow() - disturbed >= CalmTime && this->daemons.areCoresHealthy(CalmTime);
}

std::vector<SoakRoom> SoakStarvation::roomsFor(const SoakJob &job) const
{
    const std::uint64_t oldest = this->checks.newestAcknowledgedBefore(steadyNow() - ChangeLimit);
    const std::set<std::string> services = this->manifests.servicesOf(job.queue, oldest);
    std::vector<SoakRoom> rooms = this->workers.rooms();
    std::erase_if(rooms, [&services](const SoakRoom &room) {
        return services.size() != 1 || room.service != *services.begin();
    });
    return rooms;
}

void SoakStarvation::check()
{
    std::map<TaskName, TimePoint, TaskNameOrder> waiting;
    if (this->isCalm()) {
        for (const auto &[id, job] : this->checks.jobs) {
            this->checkJob(id, job, waiting);
        }
    }
    this->waitingSince = std::move(waiting);
}

void SoakStarvation::checkJob(const JobId &id, const SoakJob &job, std::map<TaskName, TimePoint, TaskNameOrder> &waiting)
{
    const bool isOwed = job.isAccepted && !job.cancelSentAt && !job.finalState && !job.crashesAfter;
    const std::vector<SoakRoom> rooms = isOwed ? this->roomsFor(job) : std::vector<SoakRoom>();
    if (rooms.empty() || (isHalfInUse(rooms) && !job.spec.steps.front().isLongRunning)) {
        return;
    }
    if (this->mayBeHeld && this->mayBeHeld(job, steadyNow() - std::max(this->calmSince, this->workers.lastExitAt))) {
        return;
    }
    for (const TaskName &task : this->checks.waitingTasks(id)) {
        if (!hasRoomTwice(rooms, job.spec.steps[task.step].request)) {
            continue;
        }
        const auto known = this->waitingSince.find(task);
        const TimePoint since = known == this->waitingSince.end() ? steadyNow() : known->second;
        waiting.emplace(task, since);
        ++this->checked;
        this->longestWait = std::max(this->longestWait, steadyNow() - since);
        if (steadyNow() - since > WaitLimit && this->reported.insert(task).second) {
            this->checks.addViolation("an accepted job has nothing running although there is room for it twice over: " + formatTaskName(task) + ", for "
                                      + std::to_string((steadyNow() - since).ms) + " ms, " + std::to_string((steadyNow() - this->calmSince).ms)
                                      + " ms after the last fault");
        }
    }
}

} // namespace Filbertlanding
