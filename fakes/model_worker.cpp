/** @file model_worker.cpp Emulated worker. */

#include "fakes/model_worker.h"

#include <algorithm>
#include <tuple>

namespace Filbertlanding {

namespace {

    constexpr double LongRunningCpuRatio = 0.42; ///< Fraction of the requested processors that long-running tasks use.
    constexpr std::int64_t MaxLeaseMs = 10'000; ///< Limit on the length of leases; longer leases are shortened.
    constexpr double FailureDelayMs = 100; ///< Completed work after which a task fails on a worker with failsAll.
    constexpr double CheckpointIntervalMs = 1000; ///< Work between two checkpoints.

    double savedWork(const std::string &checkpoint)
    {
        return checkpoint.empty() ? 0.0 : std::stod(checkpoint);
    }

    /** Returns the resources that a task reserves. */
    Resources reservedBy(const ModelTask &task)
    {
        Resources reserved = task.request;
        reserved.cpuMillis = task.usesSpareCapacity ? 0 : reserved.cpuMillis;
        return reserved;
    }

} // namespace

bool TaskNameOrder::operator()(const TaskName &left, const TaskName &right) const
{
    return std::tie(left.job, left.occurrence, left.step, left.index) < std::tie(right.job, right.occurrence, right.step, right.index);
}

ModelWorker::ModelWorker(WorkerProfile itsProfile, double itsClockRate, const ModelInterference &itsInterference)
    : profile(std::move(itsProfile))
    , clockRate(itsClockRate)
    , interference(itsInterference)
{
}

std::int64_t ModelWorker::clockMs() const
{
    return static_cast<std::int64_t>(this->clock);
}

Resources ModelWorker::used() const
{
    Resources sum;
    for (const auto &[name, run] : this->running) {
        sum = sum + reservedBy(run.task);
    }
    return sum;
}

bool ModelWorker::fits(const ModelTask &task) const
{
    const Resources needed = this->used() + reservedBy(task);
    return needed.cpuMillis <= this->profile.capacity.cpuMillis && needed.memoryMb <= this->profile.capacity.memoryMb;
}

std::int64_t ModelWorker::tailLatencyMs(const ModelRun &run) const
{
    double share = this->baselineTailRatio;
    for (const auto &[name, other] : this->running) {
        const auto slope = this->interference.find({run.task.image, other.task.image});
        if (other.task.usesSpareCapacity && slope != this->interference.end()) {
            share += slope->second * other.cpuInUse / static_cast<double>(std::max<std::int64_t>(1, this->profile.capacity.cpuMillis));
        }
    }
    return static_cast<std::int64_t>(share * static_cast<double>(run.task.latencyTarget.ms));
}

bool ModelWorker::isOverTarget(const ModelRun &run) const
{
    return this->tailLatencyMs(run) > run.task.latencyTarget.ms;
}

void ModelWorker::extendLease(std::int64_t endMs)
{
    this->leaseEndMs = std::max(this->leaseEndMs, std::min(endMs, this->clockMs() + MaxLeaseMs));
}

OrderResponse ModelWorker::start(const WorkerOrder &order, const ModelTask &task)
{
    OrderResponse response;
    response.clockMs = this->clockMs();
    if (this->refusesStarts) {
        response.outcome = OrderOutcome::Unhealthy;
        return response;
    }
    if (order.leaseEndMs) {
        if (*order.leaseEndMs <= this->clockMs()) {
            response.outcome = OrderOutcome::LeaseExpired;
            return response;
        }
        this->extendLease(*order.leaseEndMs);
    }
    const auto present = this->running.find(order.task);
    if (present != this->running.end() && present->second.run == order.run) {
        response.outcome = OrderOutcome::Done;
        return response;
    }
    const auto closed = this->closedRuns.find(order.task);
    if (present != this->running.end() || (closed != this->closedRuns.end() && order.run <= closed->second)) {
        response.outcome = OrderOutcome::Superseded;
        return response;
    }
    if (this->enforcesCapacity && !this->fits(task)) {
        response.outcome = OrderOutcome::InsufficientCapacity;
        return response;
    }
    ModelRun run;
    run.run = order.run;
    run.task = task;
    run.checkpoint = order.checkpoint;
    run.done = savedWork(order.checkpoint);
    this->running[order.task] = run;
    this->started(order.task, order.run);
    response.outcome = OrderOutcome::Done;
    return response;
}

OrderResponse ModelWorker::execute(const WorkerOrder &order, const ModelTask &task)
{
    OrderResponse response;
    response.clockMs = this->clockMs();
    if (order.worker != this->profile.worker) {
        response.outcome = OrderOutcome::OtherIncarnation;
        return response;
    }
    if (order.fence < this->fence) {
        response.outcome = OrderOutcome::Fenced;
        return response;
    }
    this->fence = order.fence;
    response.outcome = OrderOutcome::Done;
    switch (order.kind) {
    case OrderKind::Start:
        return this->start(order, task);
    case OrderKind::Stop:
        if (this->running.contains(order.task) && this->running.at(order.task).run <= order.run) {
            this->end(order.task, RunOutcome::Stopped);
        }
        this->closedRuns[order.task] = std::max(this->closedRuns[order.task], order.run);
        return response;
    case OrderKind::Throttle:
        if (this->running.contains(order.task)) {
            this->running.at(order.task).speedLimitPercent = order.percent;
        }
        return response;
    case OrderKind::Poll:
        break;
    }
    if (order.leaseEndMs) {
        this->extendLease(*order.leaseEndMs);
    }
    std::erase_if(this->ends, [this, &order](const ListedEnd &end) {
        const bool isNoted = end.number <= order.committedThrough;
        if (isNoted && this->onEndDiscarded && end.number > this->expiredThrough) {
            this->onEndDiscarded(end);
        }
        return isNoted;
    });
    return this->list();
}

OrderResponse ModelWorker::list() const
{
    OrderResponse response;
    response.outcome = OrderOutcome::Done;
    response.clockMs = this->clockMs();
    response.startedAtMs = this->profile.startedAtMs;
    response.hasLists = true;
    response.ended = this->ends;
    for (const auto &[name, run] : this->running) {
        const std::int64_t measurement = run.task.isLongRunning ? this->tailLatencyMs(run) : static_cast<std::int64_t>(run.cpuInUse);
        const std::int64_t progress =
            run.task.isLongRunning ? 100 : static_cast<std::int64_t>(run.done * 100.0 / static_cast<double>(std::max<std::int64_t>(1, run.task.length.ms)));
        response.running.push_back({name, run.run, run.checkpoint, progress, measurement});
    }
    return response;
}

bool ModelWorker::hasEnds() const
{
    return !this->ends.empty();
}

void ModelWorker::end(const TaskName &name, RunOutcome how)
{
    const ModelRun run = this->running.at(name);
    this->running.erase(name);
    this->closedRuns[name] = std::max(this->closedRuns[name], run.run);
    const bool saves = run.task.isCheckpointed && (how == RunOutcome::Stopped || how == RunOutcome::LeaseExpired);
    this->ends.push_back({++this->lastEnd, name, run.run, how, saves ? std::to_string(run.done) : run.checkpoint});
    this->ended(name, run.run, how);
}

void ModelWorker::advance(Duration passed)
{
    this->clock += static_cast<double>(passed.ms) * this->clockRate;
    double used = 0;
    double requestedCpu = 0;
    for (const auto &[name, run] : this->running) {
        const auto cpu = static_cast<double>(run.task.request.cpuMillis);
        used += run.task.usesSpareCapacity ? 0.0 : cpu * (run.task.isLongRunning ? LongRunningCpuRatio : 1.0);
        requestedCpu += run.task.usesSpareCapacity ? cpu * static_cast<double>(run.speedLimitPercent) / 100.0 : 0.0;
    }
    const double left = std::max(0.0, static_cast<double>(this->profile.capacity.cpuMillis) - used);
    const double spareSpeedRatio = requestedCpu > left ? left / requestedCpu : 1.0;
    std::vector<std::pair<TaskName, RunOutcome>> over;
    for (auto &[name, run] : this->running) {
        double rate = this->isHanging ? 0.0 : this->speed;
        if (run.task.usesSpareCapacity) {
            rate *= spareSpeedRatio * static_cast<double>(run.speedLimitPercent) / 100.0;
        }
        run.cpuInUse = static_cast<double>(run.task.request.cpuMillis) * rate;
        run.done += static_cast<double>(passed.ms) * rate;
        if (run.task.isCheckpointed && run.done - savedWork(run.checkpoint) >= CheckpointIntervalMs) {
            run.checkpoint = std::to_string(run.done);
        }
        if (this->leaseEndMs <= this->clockMs()) {
            over.emplace_back(name, RunOutcome::LeaseExpired);
        } else if (this->failsAll && run.done >= FailureDelayMs) {
            over.emplace_back(name, RunOutcome::Failed);
        } else if (!run.task.isLongRunning && run.done >= static_cast<double>(run.task.length.ms)) {
            over.emplace_back(name, run.task.fails ? RunOutcome::Failed : RunOutcome::Done);
        }
    }
    for (const auto &[name, how] : over) {
        this->end(name, how);
    }
    if (this->leaseEndMs <= this->clockMs()) {
        this->expiredThrough = this->lastEnd;
    }
}

} // namespace Filbertlanding
