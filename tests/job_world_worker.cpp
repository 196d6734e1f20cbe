/** @file job_world_worker.cpp The workers of the simulation for tests of the job shard. */

#include "job_world.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Filbertlanding::JobWorld {

void World::stepWorker(FakeWorker &worker)
{
    if (!worker.alive) {
        return;
    }
    for (auto &[key, task] : worker.tasks) {
        if (!isLiveTask(task)) {
            continue;
        }
        if (this->workerTime(worker) >= worker.leaseEnd) {
            task.report.state = TaskState::Stopped;
        } else if (worker.failsAll || this->jobs[key.first.substr(0, key.first.find('#'))].fails) {
            task.report.state = TaskState::Failed;
            task.report.result = "exit code 1";
        } else if (task.checkpointMs != 0 && this->now >= task.checkpointMs) {
            task.report.state = TaskState::Checkpointed;
            task.report.checkpoint = std::to_string(task.workMs) + "/" + key.first + "/" + std::to_string(key.second);
        } else {
            task.workMs -= task.report.state == TaskState::Throttled ? 12 : 25;
            task.report.state = task.report.state == TaskState::Starting ? TaskState::Running : task.report.state;
            task.report.used = task.use;
            if (task.workMs <= 0) {
                task.report.state = TaskState::Finished;
                task.report.result = "done";
            }
        }
    }
    if (this->now >= worker.nextReport) {
        worker.nextReport = this->now + 1000;
        this->sendReport(worker);
    }
}

void World::sendReport(FakeWorker &worker)
{
    constexpr double OwnerLeaseMs = 5000;
    if (this->workerTime(worker) - worker.answeredAt > OwnerLeaseMs) {
        worker.owner = (worker.owner + 1) % static_cast<std::uint32_t>(this->daemons.size());
        ++worker.ownerEpoch;
        worker.acknowledged = 0;
        worker.answeredAt = this->workerTime(worker);
    }
    WorkerReport report;
    report.worker = worker.name;
    report.incarnation = worker.incarnation;
    report.availabilityZone = "zone";
    report.rack = "rack" + worker.name.substr(1, 1);
    report.capacity = this->settings.capacity;
    report.ownerEpoch = worker.ownerEpoch;
    report.acknowledged = worker.acknowledged;
    for (const auto &[key, task] : worker.tasks) {
        report.tasks.push_back(task.report);
        report.usage.used = report.usage.used + (isLiveTask(task) ? task.report.used : Resources{});
    }
    const double sentAt = this->workerTime(worker);
    const std::uint32_t owner = worker.owner;
    const std::uint64_t incarnation = this->daemons[owner]->incarnation;
    this->send([this, owner, incarnation, report, sentAt]() {
        this->receiveReport(owner, incarnation, report, sentAt);
    });
}

void World::receiveAnswer(std::uint32_t index, std::uint64_t incarnation, const ReportAnswer &answer, double sentAt)
{
    FakeWorker &worker = this->workers[index];
    const bool current = worker.alive && worker.incarnation == incarnation && answer.ownerEpoch == worker.ownerEpoch;
    if (!current || answer.number <= worker.acknowledged) {
        return;
    }
    worker.acknowledged = answer.number;
    worker.answeredAt = this->workerTime(worker);
    const double lease = sentAt + static_cast<double>(answer.taskLease.ms);
    if (answer.taskLease.ms > 0) {
        // An expired lease stops the tasks, even if a late answer would have renewed it.
        this->stepWorker(worker);
        worker.leaseEnd = std::max(worker.leaseEnd, lease);
    }
    for (const TaskCommand &command : answer.commands) {
        if (command.kind != TaskCommandKind::Start || this->workerTime(worker) < lease) {
            this->handleCommand(worker, command);
        }
    }
}

void World::handleCommand(FakeWorker &worker, const TaskCommand &command)
{
    const std::pair key{command.job, command.epoch};
    const auto found = worker.tasks.find(key);
    if (command.kind == TaskCommandKind::Start) {
        if (found != worker.tasks.end() || worker.refusedStarts.contains(key)) {
            return;
        }
        const FakeJob &job = this->jobs[command.job.substr(0, command.job.find('#'))];
        FakeTask task;
        task.report.job = command.job;
        task.report.epoch = command.epoch;
        task.startedMs = this->now;
        task.workMs = command.checkpoint.empty() ? job.workMs : std::stoll(command.checkpoint);
        task.use = job.use;
        worker.tasks[key] = task;
        this->jobs[command.job.substr(0, command.job.find('#'))].firstStartMs = job.firstStartMs < 0 ? this->now : job.firstStartMs;
        this->startedOn[key].insert(worker.name);
        return;
    }
    if (command.kind == TaskCommandKind::Forget) {
        worker.tasks.erase(key);
        worker.refusedStarts.insert(key);
        return;
    }
    if (found == worker.tasks.end()) {
        if (!worker.refusedStarts.contains(key)) {
            FakeTask ended;
            ended.report.job = command.job;
            ended.report.epoch = command.epoch;
            ended.report.state = TaskState::Stopped;
            worker.tasks[key] = ended;
        }
        return;
    }
    FakeTask &task = found->second;
    if (!isLiveTask(task)) {
        return;
    }
    if (command.kind == TaskCommandKind::Stop) {
        task.report.state = TaskState::Stopped;
    } else if (command.kind == TaskCommandKind::Checkpoint) {
        task.checkpointMs = task.checkpointMs == 0 ? this->now + 400 : task.checkpointMs;
    } else {
        task.report.state = command.kind == TaskCommandKind::Throttle ? TaskState::Throttled : TaskState::Running;
    }
}

void World::restartWorker(FakeWorker &worker)
{
    worker.alive = true;
    ++worker.incarnation;
    ++worker.ownerEpoch;
    worker.acknowledged = 0;
    worker.leaseEnd = 0;
    worker.tasks.clear();
    worker.refusedStarts.clear();
    worker.answeredAt = this->workerTime(worker);
    worker.nextReport = this->now;
}

} // namespace Filbertlanding::JobWorld
