/** @file fleet_faults.cpp Faults and changes of the workers in the fleet simulation: crashes, restarts, partitions, drains, capacities and late reports. */

#include "fakes/fleet_simulation.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns the number of a worker's address. Its name is "w" and this number, followed by "-" and another one after a restart under a new name. */
    int indexOf(const WorkerName &worker)
    {
        return std::stoi(worker.substr(1));
    }

} // namespace

std::optional<WorkerName> FleetSimulation::workerAt(int index) const
{
    const auto found = std::find_if(this->workers.begin(), this->workers.end(), [index](const auto &item) {
        return indexOf(item.first) == index;
    });
    return found == this->workers.end() ? std::nullopt : std::optional<WorkerName>(found->first);
}

void FleetSimulation::crash(const WorkerName &worker, bool restart)
{
    for (auto &[task, activeWorkers] : this->activeRuns) {
        const auto run = activeWorkers.find(worker);
        if (run != activeWorkers.end()) {
            ++this->taskCrashes[task].witnessed;
            this->breakGang(task, run->second);
            activeWorkers.erase(run);
        }
    }
    this->workers.erase(worker);
    if (!restart) {
        return;
    }
    const Duration restartTime = this->settings.restartTime + this->randomUpTo(this->settings.restartJitter);
    if (restartTime.ms == 0) {
        this->restart(worker);
        return;
    }
    this->at(this->now + restartTime, [this, worker] {
        this->restart(worker);
    });
}

void FleetSimulation::restart(const WorkerName &worker)
{
    const int index = indexOf(worker);
    if (this->workerAt(index)) {
        return;
    }
    WorkerName name = worker;
    if (this->settings.restartsUnderNewName) {
        name = "w" + std::to_string(index) + "-" + std::to_string(++this->restarts);
        this->reuseAddress(worker);
    }
    this->addWorker(name, index);
    this->sequences.erase(name);
    this->report(name, std::nullopt);
}

void FleetSimulation::reuseAddress(const WorkerName &worker)
{
    this->reusedAddresses.insert(worker);
}

void FleetSimulation::sayGoodbye(const WorkerName &worker)
{
    handleGoodbye(this->leaders.at(this->lastTerm)->scheduler, this->state, worker);
}

void FleetSimulation::setPartitioned(const WorkerName &worker, bool isPartitioned)
{
    if (isPartitioned) {
        this->partitionedWorkers.insert(worker);
    } else {
        this->partitionedWorkers.erase(worker);
    }
}

void FleetSimulation::setRefused(const WorkerName &worker, bool isRefused)
{
    this->setPartitioned(worker, isRefused);
    if (isRefused) {
        this->refusedWorkers.insert(worker);
    } else {
        this->refusedWorkers.erase(worker);
    }
}

void FleetSimulation::drain(const WorkerName &worker, Duration remaining)
{
    this->workers.at(worker)->profile.isDraining = true;
    this->report(worker, remaining);
}

void FleetSimulation::setCapacity(const WorkerName &worker, const Resources &capacity)
{
    Resources &present = this->workers.at(worker)->profile.capacity;
    this->formerCapacities[worker].push_back({present, this->now});
    present = capacity;
}

void FleetSimulation::delayNextReport(const WorkerName &worker, Duration delay)
{
    this->reportDelays[worker] = delay;
}

void FleetSimulation::setCapacityEnforced(bool isEnforced)
{
    this->settings.workersEnforceCapacity = isEnforced;
    for (const auto &[name, worker] : this->workers) {
        worker->enforcesCapacity = isEnforced;
    }
    FleetManifest manifest = this->state.manifest;
    ++manifest.version;
    manifest.services.front().workersEnforceCapacity = isEnforced;
    this->propose(PutManifest{manifest}, this->lastTerm);
}

} // namespace Filbertlanding
