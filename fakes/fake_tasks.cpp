/** @file fake_tasks.cpp The batch tasks of one fake worker. */

#include "fakes/fake_tasks.h"

#include "core/random.h"

#include <algorithm>
#include <cstdlib>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxEndedKept = 10'000; ///< Forgotten tasks whose late start commands are still recognized.
    constexpr double ReportStep = 0.1; ///< Progress is reported when it has grown by this much.
    constexpr double ThrottledSpeed = 0.3; ///< Speed and use of a throttled task.

    bool isLive(TaskState state)
    {
        return state == TaskState::Starting || state == TaskState::Running || state == TaskState::Throttled;
    }

    /** A number from 0 to 1 that depends on the text only. */
    double shareOf(std::string_view text)
    {
        constexpr std::uint64_t Steps = 1000;
        return static_cast<double>(stableHash(text) % Steps) / static_cast<double>(Steps - 1);
    }

    Resources scaled(const Resources &resources, double factor)
    {
        const auto scale = [factor](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
        };
        return {scale(resources.cpuMillis), scale(resources.memoryMb), resources.accelerators};
    }

    /** A checkpoint is the progress as text, with the job so that a mix-up shows. */
    std::string writeCheckpoint(const TaskReport &task)
    {
        return task.job + "@" + std::to_string(task.progress);
    }

    /** Returns the progress in a checkpoint of this job, or nothing when it is of another job. */
    std::optional<double> readCheckpoint(const JobId &job, const std::string &checkpoint)
    {
        if (checkpoint.empty()) {
            return 0.0;
        }
        if (!checkpoint.starts_with(job + "@")) {
            return std::nullopt;
        }
        return std::clamp(std::strtod(checkpoint.c_str() + job.size() + 1, nullptr), 0.0, 1.0);
    }

} // namespace

FakeTasks::FakeTasks(FakeTaskSettings taskSettings, FakeTaskNote taskNote)
    : settings(taskSettings)
    , note(std::move(taskNote))
{
}

void FakeTasks::command(const TaskCommand &command, bool failAll, TimePoint now)
{
    const Key key{command.job, command.epoch};
    if (command.kind == TaskCommandKind::Start) {
        this->start(command, failAll, now);
        return;
    }
    const auto found = this->tasks.find(key);
    const bool ends = command.kind == TaskCommandKind::Stop || command.kind == TaskCommandKind::Checkpoint;
    if (found == this->tasks.end()) {
        if (ends) {
            this->endUnknown(key);
        }
        return;
    }
    Task &task = found->second;
    const bool live = isLive(task.report.state);
    switch (command.kind) {
    case TaskCommandKind::Forget:
        if (!live) {
            this->remember(key);
            this->tasks.erase(found);
        }
        return;
    case TaskCommandKind::Stop:
        if (live) {
            this->end(task, TaskState::Stopped, "taskStopped", "command");
        }
        return;
    case TaskCommandKind::Checkpoint:
        if (live) {
            task.report.checkpoint = writeCheckpoint(task.report);
            this->end(task, TaskState::Checkpointed, "taskStopped", "checkpoint");
        }
        return;
    default:
        break;
    }
    const TaskState wanted = command.kind == TaskCommandKind::Throttle ? TaskState::Throttled : TaskState::Running;
    if (live && task.report.state != wanted) {
        task.report.state = wanted;
        task.changed = true;
        task.carriedBy = 0;
    }
}

void FakeTasks::start(const TaskCommand &command, bool failAll, TimePoint now)
{
    const Key key{command.job, command.epoch};
    if (this->tasks.contains(key) || this->ended.contains(key) || now >= this->leaseUntil) {
        return;
    }
    for (auto &[otherKey, other] : this->tasks) {
        if (otherKey.first != command.job) {
            continue;
        }
        if (otherKey.second > command.epoch) {
            return;
        }
        // The later epoch is the valid one, so an earlier attempt here must not run beside it.
        if (isLive(other.report.state)) {
            this->end(other, TaskState::Stopped, "taskStopped", "later epoch");
        }
    }
    Task task;
    task.report.job = command.job;
    task.report.epoch = command.epoch;
    task.spec = command.spec;
    task.length = {static_cast<std::int64_t>(static_cast<double>(this->settings.meanLength.ms) * (0.5 + shareOf(command.job)))};
    task.advancedAt = now;
    task.failing = failAll;
    const auto progress = readCheckpoint(command.job, command.checkpoint);
    task.report.progress = progress.value_or(0.0);
    Task &added = this->tasks.emplace(key, std::move(task)).first->second;
    this->note("taskStarted", added.report, command.checkpoint);
    if (!progress) {
        added.report.result = "the checkpoint is of another job";
        this->end(added, TaskState::Failed, "taskFailed", added.report.result);
    }
}

void FakeTasks::end(Task &task, TaskState state, const char *event, const std::string &reason)
{
    task.report.state = state;
    task.report.used = {};
    task.changed = true;
    task.carriedBy = 0;
    this->note(event, task.report, reason);
}

/** A stop may overtake the start, which must then have no effect. */
void FakeTasks::endUnknown(const Key &key)
{
    Task task;
    task.report.job = key.first;
    task.report.epoch = key.second;
    task.report.state = TaskState::Stopped;
    this->tasks.emplace(key, std::move(task));
}

void FakeTasks::remember(const Key &key)
{
    this->ended.insert(key);
    this->endedOrder.push_back(key);
    if (this->endedOrder.size() > MaxEndedKept) {
        this->ended.erase(this->endedOrder.front());
        this->endedOrder.pop_front();
    }
}

void FakeTasks::renewLease(TimePoint until)
{
    this->leaseUntil = std::max(this->leaseUntil, until);
}

void FakeTasks::advance(double load, TimePoint now)
{
    if (now >= this->leaseUntil) {
        this->stopAll("lease");
        return;
    }
    for (auto &[key, task] : this->tasks) {
        if (!isLive(task.report.state)) {
            continue;
        }
        if (task.failing) {
            task.report.result = "this worker fails everything";
            this->end(task, TaskState::Failed, "taskFailed", task.report.result);
            continue;
        }
        const bool throttled = task.report.state == TaskState::Throttled;
        const double speed = (throttled ? ThrottledSpeed : 1.0) / (1.0 + this->settings.requestDrag * load);
        task.report.progress += speed * static_cast<double>((now - task.advancedAt).ms) / static_cast<double>(std::max<std::int64_t>(1, task.length.ms));
        task.advancedAt = now;
        if (task.report.progress >= 1.0) {
            task.report.progress = 1.0;
            task.report.result = "surveyed " + task.report.job;
            this->end(task, TaskState::Finished, "taskFinished", {});
            continue;
        }
        if (task.report.state == TaskState::Starting) {
            task.report.state = TaskState::Running;
            task.changed = true;
            task.carriedBy = 0;
        }
        const double spread = 1.0 + this->settings.sizeSpread;
        const double size = 1.0 / spread + shareOf(task.spec.jobClass) * (spread - 1.0 / spread);
        task.report.used = scaled(task.spec.declared, throttled ? size * ThrottledSpeed : size);
        if (task.report.progress >= task.reportedProgress + ReportStep) {
            task.changed = true;
            task.carriedBy = 0;
        }
    }
}

void FakeTasks::stopAll(const std::string &reason)
{
    for (auto &[key, task] : this->tasks) {
        if (isLive(task.report.state)) {
            this->end(task, TaskState::Stopped, "taskStopped", reason);
        }
    }
}

std::vector<TaskReport> FakeTasks::takeReports(std::uint64_t sequence)
{
    std::vector<TaskReport> reports;
    for (auto &[key, task] : this->tasks) {
        if (!task.changed && isLive(task.report.state)) {
            continue;
        }
        reports.push_back(task.report);
        task.reportedProgress = task.report.progress;
        task.carriedBy = task.carriedBy == 0 ? sequence : task.carriedBy;
    }
    return reports;
}

void FakeTasks::reportAnswered(std::uint64_t sequence)
{
    for (auto &[key, task] : this->tasks) {
        if (task.carriedBy != 0 && task.carriedBy <= sequence) {
            task.changed = false;
            task.carriedBy = 0;
        }
    }
}

void FakeTasks::reportAllAgain()
{
    for (auto &[key, task] : this->tasks) {
        task.changed = true;
        task.carriedBy = 0;
    }
}

Resources FakeTasks::used() const
{
    Resources sum;
    for (const auto &[key, task] : this->tasks) {
        sum = sum + task.report.used;
    }
    return sum;
}

double FakeTasks::slowdownOf(const ServiceName &service, double interference, const Resources &capacity) const
{
    double sum = 0;
    for (const auto &[key, task] : this->tasks) {
        const double share = static_cast<double>(task.report.used.cpuMillis) / static_cast<double>(std::max<std::int64_t>(1, capacity.cpuMillis));
        sum += interference * 2.0 * shareOf(service + "/" + task.spec.jobClass) * share;
    }
    return sum;
}

std::size_t FakeTasks::liveCount() const
{
    return static_cast<std::size_t>(std::count_if(this->tasks.begin(), this->tasks.end(), [](const auto &entry) {
        return isLive(entry.second.report.state);
    }));
}

} // namespace Filbertlanding
