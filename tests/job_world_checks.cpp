/** @file job_world_checks.cpp The invariants of the simulation for tests of the job shard. */

#include "job_world.h"

#include <algorithm>
#include <map>
#include <string>

namespace Filbertlanding::JobWorld {

void World::checkStart(FakeDaemon &daemon, const TaskCommand &command)
{
    if (command.kind != TaskCommandKind::Start) {
        return;
    }
    const JobId id = command.job.substr(0, command.job.find('#'));
    if (this->daemonTime(daemon) >= daemon.shard.freshUntil) {
        this->violations.push_back("start without a freshness lease: " + command.job);
    }
    if (daemon.drained) {
        this->violations.push_back("start in a drained zone: " + command.job);
    }
    if (this->jobs[id].cancelled) {
        this->violations.push_back("start of a cancelled job: " + command.job);
    }
}

std::uint32_t World::liveCopies(const std::string &job) const
{
    std::uint32_t copies = 0;
    for (const FakeWorker &worker : this->workers) {
        for (const auto &[key, task] : worker.tasks) {
            const bool same = key.first == job || key.first.starts_with(job + "@");
            copies += worker.alive && same && isLiveTask(task) && this->workerTime(worker) < worker.leaseEnd ? 1 : 0;
        }
    }
    return copies;
}

void World::checkInvariants()
{
    std::map<std::string, std::uint32_t> copies;
    for (const FakeWorker &worker : this->workers) {
        for (const auto &[key, task] : worker.tasks) {
            if (worker.alive && isLiveTask(task) && this->workerTime(worker) < worker.leaseEnd) {
                ++copies[key.first.substr(0, key.first.find('@'))];
            }
        }
    }
    for (const auto &[job, count] : copies) {
        if (count > 1) {
            this->violations.push_back(job + " runs on " + std::to_string(count) + " workers at " + std::to_string(this->now));
        }
    }
    for (const auto &[key, names] : this->startedOn) {
        if (names.size() > 1 && this->reportedViolations.insert(key).second) {
            this->violations.push_back(key.first + " epoch " + std::to_string(key.second) + " was started on two workers");
        }
    }
    for (const auto &[id, job] : this->jobs) {
        if (job.finishes > 1) {
            this->violations.push_back(id + " finished twice");
        }
    }
}

bool World::allEnded() const
{
    return std::all_of(this->jobs.begin(), this->jobs.end(), [](const auto &entry) {
        const FakeJob &job = entry.second;
        return job.finishes > 0 || job.failed || job.cancelled;
    });
}

} // namespace Filbertlanding::JobWorld
