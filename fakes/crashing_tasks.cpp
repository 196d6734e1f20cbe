/** @file crashing_tasks.cpp The part of the fleet simulation that plays tasks that crash their workers, and checks what is done about them. */

#include "fakes/fleet_simulation.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::uint32_t MaxCrashesBeforeLimit = 3; ///< After so many crashes under a task, ...
    constexpr std::uint32_t MaxStartsAfterLimit = 2; ///< ... it may be started so many times more.
    constexpr std::uint32_t MinCrashesOfFailedJob = 2; ///< Fewer crashes are no reason to give up a job.
    constexpr Duration GangStartTimeout{2'000}; ///< Time within which all members of a gang must have started.
    constexpr Duration GangBreakDelay{100}; ///< Time until the other members of a gang end after one has.

    std::string describe(const TaskName &task)
    {
        return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index);
    }

} // namespace

void FleetSimulation::makeCrashing(const JobId &job, std::uint32_t step, std::uint32_t index, const CrashTime &time)
{
    this->crashingTasks[{job, step, index}] = time;
}

const CrashTime *FleetSimulation::findCrashTime(const TaskName &task) const
{
    const auto found = this->crashingTasks.find({task.job, task.step, task.index});
    return found == this->crashingTasks.end() ? nullptr : &found->second;
}

bool FleetSimulation::hasCrashingTask(const JobId &job) const
{
    const auto first = this->crashingTasks.lower_bound({job, 0, 0});
    return first != this->crashingTasks.end() && std::get<JobId>(first->first) == job;
}

void FleetSimulation::onCrashingTaskStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const CrashTime &time)
{
    TaskCrashes &crashes = this->taskCrashes[task];
    ++crashes.starts;
    if (crashes.witnessed >= MaxCrashesBeforeLimit && ++crashes.startsAfterLimit > MaxStartsAfterLimit) {
        this->addViolation("start " + std::to_string(crashes.starts) + " of a task that crashes its workers, after " + std::to_string(crashes.witnessed)
                           + " crashes under it: " + describe(task));
    }
    this->at(this->now + time.least + this->randomUpTo(time.jitter), [this, worker, task, run] {
        const auto &active = this->activeRuns[task];
        const auto present = active.find(worker);
        if (present == active.end() || present->second != run) {
            return;
        }
        ++this->taskCrashes[task].caused;
        ++this->crashesByTasks;
        this->crash(worker, true);
    });
}

void FleetSimulation::checkGangIsComplete(const TaskName &task, std::uint32_t run)
{
    const StepSpec &step = this->specs.at(task.job).steps.at(task.step);
    if (!step.isGang) {
        return;
    }
    this->at(this->now + GangStartTimeout, [this, task, run, members = step.taskCount] {
        std::uint32_t started = 0;
        for (std::uint32_t index = 0; index < members; ++index) {
            const auto active = this->activeRuns.find({task.job, task.occurrence, task.step, index});
            const bool isStarted = active != this->activeRuns.end() && std::any_of(active->second.begin(), active->second.end(), [run](const auto &item) {
                                       return item.second == run;
                                   });
            started += isStarted ? 1 : 0;
        }
        if (started < members) {
            this->breakGang(task, run);
        }
    });
}

void FleetSimulation::breakGang(const TaskName &task, std::uint32_t run)
{
    if (!this->specs.at(task.job).steps.at(task.step).isGang) {
        return;
    }
    this->at(this->now + GangBreakDelay, [this, task, run] {
        for (const auto &[name, worker] : this->workers) {
            std::vector<TaskName> members;
            for (const auto &[other, present] : worker->running) {
                const bool isMember = other.job == task.job && other.occurrence == task.occurrence && other.step == task.step && present.run == run;
                if (isMember) {
                    members.push_back(other);
                }
            }
            for (const TaskName &member : members) {
                worker->end(member, RunOutcome::GangBroken);
            }
        }
    });
}

void FleetSimulation::noteStartResponse(const WorkerOrder &order, OrderOutcome outcome)
{
    if (order.kind != OrderKind::Start) {
        return;
    }
    const FleetJob *job = findJob(this->state, order.task.job);
    if (job == nullptr) {
        return;
    }
    const TaskRef task{job->number, order.task.occurrence, order.task.step, order.task.index};
    const auto delivery = this->startDeliveries.find({task, order.run});
    if (delivery != this->startDeliveries.end() && outcome != OrderOutcome::NotListening && outcome != OrderOutcome::Unreachable) {
        delivery->second.mayHaveArrived = true;
    }
}

void FleetSimulation::checkRecordedCrash(const RecordCrash &crash)
{
    for (const CrashedRun &crashed : crash.runs) {
        const auto delivery = this->startDeliveries.find({crashed.task, crashed.run});
        const bool isKnown = delivery != this->startDeliveries.end() && delivery->second.term == this->lastTerm;
        if (isKnown && !delivery->second.mayHaveArrived) {
            this->addViolation("a crash counts for a run whose start order has not reached the worker: job " + std::to_string(crashed.task.job));
        }
    }
}

void FleetSimulation::checkFailedJob(const FleetJob &job)
{
    if (job.state != FleetJobState::Failed || job.failure != JobFailure::CrashesWorkers) {
        return;
    }
    if (!this->hasCrashingTask(job.id)) {
        this->addViolation("a job failed that does not crash its workers: " + job.id);
        return;
    }
    const bool hasSeveral = std::any_of(this->taskCrashes.begin(), this->taskCrashes.end(), [&job](const auto &item) {
        return item.first.job == job.id && item.second.witnessed >= MinCrashesOfFailedJob;
    });
    if (!hasSeveral) {
        this->addViolation("a job failed after too few crashes: " + job.id);
    }
}

} // namespace Filbertlanding
