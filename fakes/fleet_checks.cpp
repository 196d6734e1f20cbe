/** @file fleet_checks.cpp Checks of the guarantees at each start and end of a run in the fleet simulation. */

#include "fakes/fleet_simulation.h"

#include "fleet/placement_candidates.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration MaxCancelDelay{3'000}; ///< Time after which no task of a cancelled job may start.
    constexpr Duration OrderedStartTime{1'000}; ///< Time after a change of limits in which starts that were ordered before may arrive.
    constexpr std::int64_t ToleratedPercent = 10; ///< By which an account may exceed its limit, beside one task.

} // namespace

void FleetSimulation::addViolation(const std::string &text)
{
    this->violations.push_back("at " + std::to_string(this->now.ms) + " ms: " + text);
}

void FleetSimulation::onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run)
{
    ++this->startedRuns;
    const std::string name = task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index) + " run " + std::to_string(run) + " on " + worker;
    const StepSpec &step = this->specs.at(task.job).steps.at(task.step);
    auto &activeWorkers = this->activeRuns[task];
    if (!activeWorkers.empty() && !step.allowsSpeculativeCopies) {
        this->addViolation("two runs of one task: " + name + " beside " + activeWorkers.begin()->first);
    }
    activeWorkers[worker] = run;
    this->checkGangIsComplete(task, run);
    this->noteBegunJob(task, run);
    if (const CrashTime *time = this->findCrashTime(task)) {
        this->onCrashingTaskStarted(worker, task, run, *time);
    }
    if (this->committedDoneTasks.contains(task) && !step.allowsSpeculativeCopies) {
        this->addViolation("start after a committed end: " + name);
    }
    const FleetJob *job = findJob(this->state, task.job);
    if (!findJobStatus(this->state, task.job)) {
        this->addViolation("start of a job that was not accepted: " + name);
        return;
    }
    // A complete occurrence, and the tasks of an ended job, are no longer held; the check for committed ends above covers them.
    const bool isHeld = job != nullptr && job->occurrences.contains(task.occurrence);
    for (const std::uint32_t earlier : step.dependsOn) {
        if (isHeld && job->occurrences.at(task.occurrence).steps[earlier].doneCount < this->specs.at(task.job).steps[earlier].taskCount) {
            this->addViolation("start before a dependency is done: " + name);
        }
    }
    const auto cancelled = this->cancelledAt.find(task.job);
    if (cancelled != this->cancelledAt.end() && this->now - cancelled->second > MaxCancelDelay && this->settings.lateOrderPercent == 0) {
        this->addViolation("start after a cancellation: " + name);
    }
    std::uint32_t tasksOfStep = 0;
    for (const auto &[other, present] : this->workers.at(worker)->running) {
        tasksOfStep += other.job == task.job && other.occurrence == task.occurrence && other.step == task.step ? 1 : 0;
    }
    if (step.maxPerWorker > 0 && tasksOfStep > step.maxPerWorker) {
        this->addViolation("too many tasks of a step on one worker: " + name);
    }
    this->checkCapacity(worker, name);
    this->checkAccountLimit(task.job, name);
}

Resources FleetSimulation::runningOf(const AccountName &account) const
{
    Resources total;
    for (const auto &[name, worker] : this->workers) {
        for (const auto &[task, run] : worker->running) {
            const auto owner = this->accountOfJob.find(task.job);
            if (owner != this->accountOfJob.end() && owner->second == account) {
                total = total + run.task.request;
            }
        }
    }
    return total;
}

Resources FleetSimulation::accountLimit(const AccountName &account) const
{
    Resources limit;
    for (const ClientAccount &configured : this->state.manifest.accounts) {
        limit = configured.terms.name == account ? configured.terms.limit : limit;
    }
    const auto former = this->formerLimits.find(account);
    if (former == this->formerLimits.end() || this->now - this->formerLimitsUntil > OrderedStartTime) {
        return limit;
    }
    const auto larger = [](std::int64_t left, std::int64_t right) {
        return left == 0 || right == 0 ? 0 : std::max(left, right);
    };
    const Resources &before = former->second;
    return {larger(limit.cpuMillis, before.cpuMillis), larger(limit.memoryMb, before.memoryMb), larger(limit.accelerators, before.accelerators)};
}

void FleetSimulation::checkAccountLimit(const JobId &job, const std::string &run)
{
    const auto account = this->accountOfJob.find(job);
    if (account == this->accountOfJob.end()) {
        return;
    }
    Resources largestTask;
    for (const StepSpec &step : this->specs.at(job).steps) {
        largestTask = largerOf(largestTask, step.request);
    }
    const Resources running = this->runningOf(account->second);
    const Resources limit = this->accountLimit(account->second);
    const auto isOver = [](std::int64_t amount, std::int64_t most, std::int64_t task) {
        return most > 0 && amount > most + most * ToleratedPercent / 100 + task;
    };
    if (isOver(running.cpuMillis, limit.cpuMillis, largestTask.cpuMillis) || isOver(running.memoryMb, limit.memoryMb, largestTask.memoryMb)
        || isOver(running.accelerators, limit.accelerators, largestTask.accelerators)) {
        this->addViolation("start over the limit of the account " + account->second + ": " + run);
    }
}

void FleetSimulation::checkCapacity(const WorkerName &worker, const std::string &run)
{
    const ModelWorker &model = *this->workers.at(worker);
    if (model.enforcesCapacity) {
        return;
    }
    Resources limit = model.profile.capacity;
    for (const FormerCapacity &former : this->formerCapacities[worker]) {
        if (this->now - former.until <= this->settings.shrinkGrace) {
            limit.cpuMillis = std::max(limit.cpuMillis, former.capacity.cpuMillis);
            limit.memoryMb = std::max(limit.memoryMb, former.capacity.memoryMb);
            limit.accelerators = std::max(limit.accelerators, former.capacity.accelerators);
        }
    }
    if (!fitsInto(model.used(), limit)) {
        this->addViolation("start over the capacity of the worker: " + run);
    }
}

void FleetSimulation::noteBegunJob(const TaskName &task, std::uint32_t run)
{
    const StepSpec &step = this->specs.at(task.job).steps.at(task.step);
    const TaskName first{task.job, task.occurrence, task.step, 0};
    std::set<std::uint32_t> &members = this->gangStarts[first][run];
    members.insert(task.index);
    if (!step.isGang || members.size() == step.taskCount) {
        this->begunJobs.insert(task.job);
    }
}

void FleetSimulation::checkFirstStart(const FleetChange &change)
{
    const FleetJob &job = this->state.jobs.at(change.job);
    if (!this->begunJobs.contains(job.id)) {
        this->addViolation("a job is said to have started, and has not: " + job.id);
    }
}

void FleetSimulation::onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end)
{
    this->activeRuns[task].erase(worker);
    if (end == RunOutcome::Done) {
        this->begunJobs.insert(task.job);
    }
    if (end != RunOutcome::Done) {
        this->breakGang(task, run);
    }
}

void FleetSimulation::onEndDiscarded(const WorkerName &worker, const ListedEnd &end)
{
    const FleetJob *job = findJob(this->state, end.task.job);
    if (end.outcome != RunOutcome::Done || job == nullptr || hasEnded(job->state)) {
        return;
    }
    const TaskRecord *task = findTask(*job, {job->number, end.task.occurrence, end.task.step, end.task.index});
    const bool isComplete = task == nullptr && end.task.occurrence < countOpenedOccurrences(*job);
    if (!isComplete && (task == nullptr || !task->isDone)) {
        this->addViolation("a worker may discard an end that is not committed: " + end.task.job + "." + std::to_string(end.task.step) + "."
                           + std::to_string(end.task.index) + " run " + std::to_string(end.run) + " on " + worker);
    }
}

} // namespace Filbertlanding
