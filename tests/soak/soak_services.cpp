/** @file soak_services.cpp A queue whose route moves between two services. */

#include "soak/soak_services.h"

#include "core/clock_func.h"

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds MinMoveInterval{2'500};
    constexpr std::uint64_t MoveIntervalRangeMs = 4'000;
    constexpr Duration ContactTime{3'000}; ///< The bound holds if the cores were undisturbed for this long.
    constexpr Duration ChangeLimit{2'000}; ///< Time from the acknowledgement until the older manifests must not be obeyed any more.

} // namespace

SoakServices::SoakServices(
    boost::asio::io_context &loop, std::uint64_t seed, const SoakDaemons &soakDaemons, SoakManifests &soakManifests, SoakChecks &soakChecks)
    : daemons(soakDaemons)
    , manifests(soakManifests)
    , checks(soakChecks)
    , random{seed ^ 0x5e41ULL}
    , timer(loop)
{
}

void SoakServices::start()
{
    this->arm();
}

void SoakServices::stop()
{
    this->timer.cancel();
}

void SoakServices::arm()
{
    this->timer.expires_after(MinMoveInterval + std::chrono::milliseconds(this->random.below(MoveIntervalRangeMs)));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            ++this->moves;
            this->manifests.moveRoute();
            this->arm();
        }
    });
}

void SoakServices::onStarted(const ServiceName &service, const TaskName &task)
{
    const auto job = this->checks.jobs.find(task.job);
    if (job == this->checks.jobs.end()) {
        return;
    }
    const std::uint64_t oldest = this->checks.newestAcknowledgedBefore(steadyNow() - ChangeLimit);
    const std::set<std::string> allowed = this->manifests.servicesOf(job->second.queue, oldest);
    if (allowed.contains(service)) {
        this->checkedStarts += allowed.size() == 1 && job->second.queue == SoakManifests::MovingQueue ? 1 : 0;
        return;
    }
    if (job->second.queue != SoakManifests::MovingQueue) {
        this->checks.addViolation("a task was started by a service to which no manifest sends its queue: " + formatTaskName(task) + " at " + service);
    } else if (this->daemons.areCoresHealthy(ContactTime)) {
        this->checks.addViolation("a task was started by the old service of its queue: " + formatTaskName(task) + " at " + service + ", version "
                                  + std::to_string(oldest) + " was acknowledged "
                                  + std::to_string((steadyNow() - this->checks.acknowledgedManifests.at(oldest)).ms) + " ms before");
    }
}

} // namespace Filbertlanding
