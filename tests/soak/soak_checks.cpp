/** @file soak_checks.cpp Checks the guarantees of the user documentation from outside the daemons. */

#include "soak/soak_checks.h"

#include "core/clock_func.h"
#include "fleet/fleet_names.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace Filbertlanding {

namespace {

    constexpr Duration RestartTime{6'000}; ///< Time in which a task of a long-running job may wait after its run has ended.

} // namespace

Resources reservedOn(const ModelWorker &worker)
{
    Resources reserved;
    for (const auto &[name, run] : worker.running) {
        Resources request = run.task.request;
        request.cpuMillis = run.task.usesSpareCapacity ? 0 : request.cpuMillis;
        reserved = reserved + request;
    }
    return reserved;
}

std::string formatTaskName(const TaskName &task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

SoakChecks::SoakChecks(const SoakLimits &soakLimits)
    : limits(soakLimits)
{
}

void SoakChecks::addViolation(const std::string &text)
{
    this->violations.push_back(formatWallTime(wallNow()) + " " + text);
    std::cout << "VIOLATION " << this->violations.back() << std::endl;
}

ModelTask SoakChecks::modelTaskOf(const TaskName &task) const
{
    const auto job = this->jobs.find(task.job);
    ModelTask model;
    if (job == this->jobs.end() || task.step >= job->second.spec.steps.size()) {
        return model;
    }
    const StepSpec &step = job->second.spec.steps[task.step];
    model.length = step.estimate;
    model.isLongRunning = step.isLongRunning;
    model.isCheckpointed = step.isCheckpointed;
    model.usesSpareCapacity = step.usesSpareCapacity;
    model.fails = job->second.spec.payload.starts_with("fails");
    model.request = step.request;
    model.image = step.image;
    model.latencyTarget = step.latencyTarget;
    return model;
}

bool SoakChecks::isStepDone(const TaskName &task, std::uint32_t step) const
{
    const std::uint32_t count = this->jobs.at(task.job).spec.steps[step].taskCount;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto found = this->tasks.find({task.job, task.occurrence, step, index});
        if (found == this->tasks.end() || found->second.doneRuns.empty()) {
            return false;
        }
    }
    return true;
}

void SoakChecks::checkStart(const TaskName &task, const std::string &name, const std::string &payload, bool isDelayed)
{
    const auto found = this->jobs.find(task.job);
    if (found == this->jobs.end() || task.step >= found->second.spec.steps.size() || payload != found->second.spec.payload) {
        this->addViolation("a task was started that no caller has submitted, or with a different payload: " + name);
        return;
    }
    const SoakJob &job = found->second;
    if (!job.isAccepted && !job.mayBeAccepted) {
        this->addViolation("a task was started although every submission of its job was refused: " + name);
    }
    for (const std::uint32_t earlier : job.spec.steps[task.step].dependsOn) {
        if (!this->isStepDone(task, earlier)) {
            this->addViolation("a task was started before a step that it depends on was done: " + name);
        }
    }
    if (job.cancelAcknowledgedAt && !isDelayed && steadyNow() - *job.cancelAcknowledgedAt > this->limits.cancelLimit) {
        this->addViolation("a task was started after its job was cancelled: " + name);
    }
}

void SoakChecks::onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const std::string &payload, bool isDelayed)
{
    ++this->starts;
    const std::string name = formatTaskName(task) + " run " + std::to_string(run) + " on " + worker;
    ObservedTask &observed = this->tasks[task];
    if (!observed.runningOn.empty()) {
        this->addViolation("two concurrent runs of one task: " + name + " and run " + std::to_string(observed.runningOn.begin()->second) + " on "
                           + observed.runningOn.begin()->first);
    }
    if (observed.isDoneRecorded) {
        this->addViolation("a task was started after its completion was recorded: " + name);
    }
    for (auto &[done, wasStartedAfter] : observed.doneRuns) {
        wasStartedAfter = true;
    }
    observed.runningOn[worker] = run;
    observed.startsAfterCrashes += observed.crashes >= this->limits.crashLimit ? 1 : 0;
    if (observed.startsAfterCrashes >= this->limits.crashLimit) {
        this->addViolation("a task was started again after it had crashed " + std::to_string(observed.crashes) + " workers: " + name);
    }
    this->checkStart(task, name, payload, isDelayed);
}

void SoakChecks::onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end)
{
    ObservedTask &observed = this->tasks[task];
    observed.runningOn.erase(worker);
    observed.endedAt = steadyNow();
    if (end == RunOutcome::Done) {
        observed.doneRuns.emplace(run, false);
        ++this->doneEnds;
    }
}

void SoakChecks::onEndDiscarded(const ListedEnd &end)
{
    if (end.outcome != RunOutcome::Done) {
        return;
    }
    ObservedTask &observed = this->tasks[end.task];
    observed.isDoneRecorded = true;
    const auto run = observed.doneRuns.find(end.run);
    if (run != observed.doneRuns.end() && std::exchange(run->second, false)) {
        this->addViolation("a task was started again after a run whose completion was recorded later: " + formatTaskName(end.task));
    }
}

void SoakChecks::checkCapacity(const ModelWorker &worker, const SoakReportedCapacity &reported, const TaskName &task)
{
    if (!reported.acknowledgedAt || steadyNow() - *reported.acknowledgedAt <= this->limits.capacityLimit) {
        return;
    }
    constexpr std::int64_t Percent = 100;
    const Resources reserved = reservedOn(worker);
    const Resources &capacity = worker.profile.capacity;
    if (reserved.cpuMillis * Percent > capacity.cpuMillis * reported.percent || reserved.memoryMb * Percent > capacity.memoryMb * reported.percent) {
        this->addViolation("a task was started beyond the capacity that its worker has reported for "
                           + std::to_string((steadyNow() - *reported.acknowledgedAt).ms) + " ms: " + formatTaskName(task) + " on " + worker.profile.worker
                           + ", " + std::to_string(reported.percent) + " percent of the capacity, reserved " + std::to_string(reserved.cpuMillis)
                           + " thousandths of a core and " + std::to_string(reserved.memoryMb) + " MB");
    }
}

void SoakChecks::onWorkerCrashedBy(const TaskName &task)
{
    ++this->crashes;
    ++this->tasks[task].crashes;
}

std::optional<Duration> SoakChecks::crashDelayOf(const TaskName &task) const
{
    const auto job = this->jobs.find(task.job);
    const bool isCause = job != this->jobs.end() && task.index == 0 && task.step + 1 == job->second.spec.steps.size();
    return isCause ? job->second.crashesAfter : std::nullopt;
}

void SoakChecks::onWorkerExited(const WorkerName &worker)
{
    for (auto &[task, observed] : this->tasks) {
        observed.endedAt = observed.runningOn.erase(worker) == 0 ? observed.endedAt : steadyNow();
    }
}

void SoakChecks::checkFailure(const JobId &id, const SoakJob &job, JobFailure reason)
{
    const bool fails = job.spec.payload.starts_with("fails");
    const JobFailure expected = job.crashesAfter ? JobFailure::CrashesWorkers : fails ? JobFailure::AttemptsUsedUp : JobFailure::None;
    if (expected == JobFailure::None) {
        this->addViolation("a job has failed although none of its tasks fails: " + id + " " + std::string(JobFailureNames.nameOf(reason)));
    } else if (reason != expected) {
        this->addViolation("a job has failed for another reason than that of its tasks: " + id + " " + std::string(JobFailureNames.nameOf(reason)));
    }
}

bool SoakChecks::hasBegun(const JobId &id) const
{
    const auto first = this->tasks.lower_bound({id, 0, 0, 0});
    return first != this->tasks.end() && first->first.job == id;
}

void SoakChecks::onJobStateRead(const JobId &id, std::optional<FleetJobState> state, JobFailure reason, TimePoint sentAt)
{
    SoakJob &job = this->jobs.at(id);
    if (!state) {
        if (job.isAccepted) {
            this->addViolation("an accepted job is no longer known: " + id);
        }
        return;
    }
    const bool isFinal = *state >= FleetJobState::Completed;
    // A request that was sent before the first reading may have been answered from the state before the end, and arrive later.
    const bool mayBeOlder = !isFinal && sentAt < job.finalStateAt;
    if (job.finalState && *state != *job.finalState && !mayBeOlder) {
        this->addViolation("the final state of a job has changed: " + id + " from " + std::to_string(static_cast<int>(*job.finalState)) + " to "
                           + std::to_string(static_cast<int>(*state)) + ", read by a request sent " + std::to_string((sentAt - job.finalStateAt).ms)
                           + " ms after the first reading of the final state");
    }
    if (isFinal) {
        const bool isGivenUp = !job.finalState && *state == FleetJobState::Failed && job.crashesAfter;
        this->jobsGivenUp += isGivenUp ? 1 : 0;
        if (!job.finalState) {
            job.finalStateAt = steadyNow();
        }
        job.finalState = state;
    }
    if (*state == FleetJobState::Running && !this->hasBegun(id)) {
        this->addViolation("a job is reported as running although no worker has started one of its tasks: " + id);
    }
    if (*state == FleetJobState::Failed) {
        this->checkFailure(id, job, reason);
    }
    if (*state == FleetJobState::Cancelled && (!job.cancelSentAt || sentAt + this->limits.maxOrderDelay < *job.cancelSentAt)) {
        this->addViolation("a job is cancelled without a cancel request: " + id);
    }
    if (*state != FleetJobState::Completed) {
        return;
    }
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        if (!this->isStepDone({id, 0, step, 0}, step)) {
            this->addViolation("a job is reported as completed although a task of step " + std::to_string(step) + " is not done: " + id);
        }
    }
}

void SoakChecks::onManifestAcknowledged(std::uint64_t version, TimePoint at)
{
    this->acknowledgedManifests.emplace(version, at);
}

std::uint64_t SoakChecks::newestAcknowledgedBefore(TimePoint time) const
{
    const auto found = std::find_if(this->acknowledgedManifests.rbegin(), this->acknowledgedManifests.rend(), [time](const auto &item) {
        return item.second < time;
    });
    return found == this->acknowledgedManifests.rend() ? 0 : found->first;
}

std::vector<TaskName> SoakChecks::waitingTasks(const JobId &id) const
{
    const JobSpec &spec = this->jobs.at(id).spec;
    std::vector<TaskName> waiting;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        const auto &dependsOn = spec.steps[step].dependsOn;
        const bool canRun = std::all_of(dependsOn.begin(), dependsOn.end(), [this, &id](std::uint32_t earlier) {
            return this->isStepDone({id, 0, earlier, 0}, earlier);
        });
        std::optional<TaskName> first;
        for (std::uint32_t index = 0; canRun && index < spec.steps[step].taskCount; ++index) {
            const TaskName task{id, 0, step, index};
            const auto found = this->tasks.find(task);
            const bool isRunning = found != this->tasks.end() && !found->second.runningOn.empty();
            const bool isDone = found != this->tasks.end() && !found->second.doneRuns.empty();
            if (spec.steps[step].isLongRunning) {
                if (!isRunning && (found == this->tasks.end() || steadyNow() - found->second.endedAt > RestartTime)) {
                    waiting.push_back(task);
                }
            } else if (isRunning) {
                return {};
            } else if (!isDone && !first) {
                first = task;
            }
        }
        if (first) {
            waiting.push_back(*first);
        }
    }
    return waiting;
}

void SoakChecks::onManifestRead(std::uint64_t version, TimePoint sentAt)
{
    this->lastManifestRead = std::max(this->lastManifestRead, sentAt);
    for (const auto &[acknowledged, at] : this->acknowledgedManifests) {
        if (acknowledged > version && at + this->limits.manifestVisibilityLimit < sentAt) {
            this->addViolation("manifest version " + std::to_string(version) + " was read although version " + std::to_string(acknowledged)
                               + " was acknowledged before");
            return;
        }
    }
}

void SoakChecks::onCallEnded(SoakSender sender, TimePoint sentAt, Duration timeout, const HttpExchange &exchange) const
{
    const bool isAnswered = exchange.code == ResultCode::Ok;
    if (this->onCallAnswered && (isAnswered || (exchange.bytesSent && steadyNow() - sentAt < timeout))) {
        this->onCallAnswered(sender, sentAt, isAnswered ? exchange.response.status : 0);
    }
}

void SoakChecks::checkAllJobsEnded()
{
    for (const auto &[id, job] : this->jobs) {
        if (!job.isAccepted) {
            continue;
        }
        if (!job.finalState) {
            this->addViolation("an accepted job has not ended: " + id);
        }
    }
}

} // namespace Filbertlanding
