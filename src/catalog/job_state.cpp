/** @file job_state.cpp Life cycle of batch jobs. */

#include "catalog/job_state.h"

#include "catalog/command_result.h"
#include "catalog/intent_merge.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    struct JobTransition {
        JobState from;
        JobEvent event;
        JobState to;
    };

    constexpr JobTransition JobTransitions[] = {
        {JobState::Waiting, JobEvent::Assigned, JobState::Running},
        {JobState::Waiting, JobEvent::Failed, JobState::Failed},
        {JobState::Waiting, JobEvent::Cancelled, JobState::Cancelled},
        {JobState::Running, JobEvent::Assigned, JobState::Running},
        {JobState::Running, JobEvent::EpochEnded, JobState::Running},
        {JobState::Running, JobEvent::LastEpochEnded, JobState::Waiting},
        {JobState::Running, JobEvent::AllTasksFinished, JobState::Finished},
        {JobState::Running, JobEvent::Failed, JobState::Failed},
        {JobState::Running, JobEvent::Cancelled, JobState::Cancelled},
    };

    JobTally &tallyOf(JobTable &table, const JobRecord &job, const ZoneName &zone)
    {
        return table.tallies[{job.spec.service, job.spec.team, zone}];
    }

    JobAssignment *findEpoch(JobRecord &job, std::uint64_t epoch)
    {
        const auto found = std::find_if(job.assignments.begin(), job.assignments.end(), [epoch](const JobAssignment &assignment) {
            return assignment.epoch == epoch;
        });
        return found == job.assignments.end() ? nullptr : &*found;
    }

    void eraseEpoch(JobRecord &job, std::uint64_t epoch)
    {
        std::erase_if(job.assignments, [epoch](const JobAssignment &assignment) {
            return assignment.epoch == epoch;
        });
    }

    void endEpoch(JobRecord &job, std::uint64_t epoch)
    {
        eraseEpoch(job, epoch);
        const auto event = job.assignments.empty() ? JobEvent::LastEpochEnded : JobEvent::EpochEnded;
        job.state = nextJobState(job.state, event).value_or(job.state);
    }

    /** Moves a job to a final state and drops the oldest ended records above the bound. */
    void endJob(JobTable &table, JobRecord &job, JobEvent event, std::uint64_t index)
    {
        job.state = nextJobState(job.state, event).value_or(job.state);
        job.assignments.clear();
        job.checkpoints.clear();
        table.terminalOrder[index] = job.id;
        while (table.terminalOrder.size() > MaxTerminalJobs) {
            const auto oldest = table.terminalOrder.begin();
            table.jobs.erase(oldest->second);
            table.terminalOrder.erase(oldest);
        }
    }

    /** Finds a job that is neither unknown nor ended, or says why not. */
    JobRecord *findActive(JobTable &table, const JobId &id, CommandResult &result)
    {
        const auto found = table.jobs.find(id);
        if (found == table.jobs.end()) {
            result = refuse(ResultCode::JobUnknown);
            return nullptr;
        }
        const auto code = refusalOf(found->second.state);
        if (code != ResultCode::Ok) {
            result = refuse(code);
            return nullptr;
        }
        return &found->second;
    }

    bool isAmountValid(std::int64_t amount)
    {
        return amount >= 0 && amount <= MaxTaskAmount;
    }

    ResultCode checkSpec(const SubmitJob &command, const Configuration &configuration)
    {
        const auto &spec = command.spec;
        const auto service = configuration.services.find(spec.service);
        if (service == configuration.services.end()) {
            return ResultCode::ServiceUnknown;
        }
        if (service->second.state == ServiceState::Closed) {
            return ResultCode::ServiceClosed;
        }
        if (!configuration.teams.contains(spec.team)) {
            return ResultCode::TeamUnknown;
        }
        const bool isNamed = isValidName(command.job) && (spec.jobClass.empty() || isValidName(spec.jobClass));
        if (!isNamed) {
            return ResultCode::BadRequest;
        }
        if (spec.payload.size() > MaxPayloadBytes) {
            return ResultCode::TooLarge;
        }
        const bool isSized = isAmountValid(spec.size.cpuMillis) && isAmountValid(spec.size.memoryMb) && isAmountValid(spec.size.accelerators);
        return isSized && spec.taskCount > 0 && spec.taskCount <= MaxTasksPerJob ? ResultCode::Ok : ResultCode::OutOfRange;
    }

    /** Checks that the tasks of a new assignment exist and are open. */
    CommandResult checkTasks(const JobRecord &job, TaskRange tasks)
    {
        if (tasks.count() == 0 || tasks.end > job.spec.taskCount) {
            return refuse(ResultCode::OutOfRange, "the job has no such tasks");
        }
        if (!containsRange(openTasks(job), tasks)) {
            return refuse(ResultCode::StaleEpoch, "some of the tasks are finished or assigned");
        }
        return {};
    }

    bool isSameAssignment(const JobAssignment &assignment, const AssignJob &command)
    {
        return assignment.daemon == command.daemon && assignment.zone == command.zone && assignment.tasks == command.tasks
            && assignment.resumedFrom == command.resumeFrom;
    }

    /** Takes the checkpoint that an assignment names and drops all others of its tasks; each checkpoint is used at most once. */
    CommandResult consumeCheckpoint(JobRecord &job, const AssignJob &command, JobAssignment &assignment)
    {
        if (command.resumeFrom != 0) {
            const auto found = std::find_if(job.checkpoints.begin(), job.checkpoints.end(), [&command](const JobCheckpoint &checkpoint) {
                return checkpoint.epoch == command.resumeFrom;
            });
            if (found == job.checkpoints.end()) {
                return refuse(ResultCode::CheckpointUsed);
            }
            if (!containsRange({found->tasks}, command.tasks)) {
                return refuse(ResultCode::OutOfRange, "the checkpoint covers other tasks");
            }
            assignment.resumedFrom = found->epoch;
            assignment.resumeCheckpoint = found->data;
            ++job.resumes;
        }
        std::erase_if(job.checkpoints, [&command](const JobCheckpoint &checkpoint) {
            return overlapsRange({checkpoint.tasks}, command.tasks);
        });
        return {};
    }

} // namespace

std::optional<JobState> nextJobState(JobState from, JobEvent event)
{
    for (const auto &row : JobTransitions) {
        if (row.from == from && row.event == event) {
            return row.to;
        }
    }
    return std::nullopt;
}

ResultCode refusalOf(JobState state)
{
    switch (state) {
    case JobState::Finished:
        return ResultCode::JobFinished;
    case JobState::Failed:
        return ResultCode::JobFailed;
    case JobState::Cancelled:
        return ResultCode::JobCancelled;
    default:
        return ResultCode::Ok;
    }
}

TaskRanges openTasks(const JobRecord &job)
{
    TaskRanges open{{0, job.spec.taskCount}};
    for (const auto &range : job.finished) {
        removeRange(open, range);
    }
    for (const auto &assignment : job.assignments) {
        removeRange(open, assignment.tasks);
    }
    return open;
}

CommandResult applySubmit(JobTable &table, const Configuration &configuration, const SubmitJob &command, std::uint64_t index)
{
    const auto found = table.jobs.find(command.job);
    if (found != table.jobs.end()) {
        if (!(found->second.spec == command.spec)) {
            return refuse(ResultCode::OperationIdReused, "the job id is used for another job");
        }
        CommandResult result;
        result.job = command.job;
        return result;
    }
    const auto code = checkSpec(command, configuration);
    if (code != ResultCode::Ok) {
        return refuse(code);
    }
    if (table.jobs.size() - table.terminalOrder.size() >= MaxActiveJobs) {
        return refuse(ResultCode::TableFull, "there are too many jobs that wait or run");
    }
    auto &job = table.jobs[command.job];
    job.id = command.job;
    job.spec = command.spec;
    job.submittedAt = index;
    ++tallyOf(table, job, "").submitted;
    CommandResult result;
    result.job = command.job;
    return result;
}

CommandResult applyAssign(JobTable &table, const Configuration &configuration, const AssignJob &command, std::uint64_t index)
{
    CommandResult result;
    auto *job = findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    if (command.epoch != job->lastEpoch + 1) {
        const auto *existing = findEpoch(*job, command.epoch);
        return existing != nullptr && isSameAssignment(*existing, command) ? CommandResult{} : refuse(ResultCode::StaleEpoch);
    }
    if (configuration.isDrained(command.zone)) {
        return refuse(ResultCode::ZoneDrained);
    }
    if (!isValidName(command.daemon) || !isValidName(command.zone)) {
        return refuse(ResultCode::BadRequest, "the name of the daemon or of its zone is malformed");
    }
    if (job->assignments.size() >= MaxAssignmentsPerJob) {
        return refuse(ResultCode::TableFull, "the job has too many assignments");
    }
    result = checkTasks(*job, command.tasks);
    if (result.code != ResultCode::Ok) {
        return result;
    }
    JobAssignment assignment{command.epoch, command.daemon, command.zone, index, command.tasks, 0, {}, {}};
    result = consumeCheckpoint(*job, command, assignment);
    if (result.code != ResultCode::Ok) {
        return result;
    }
    tallyOf(table, *job, command.zone).resumed += assignment.resumedFrom != 0 ? 1 : 0;
    job->lastEpoch = command.epoch;
    job->lastZone = command.zone;
    job->assignments.push_back(std::move(assignment));
    job->state = nextJobState(job->state, JobEvent::Assigned).value_or(job->state);
    return result;
}

CommandResult applyCheckpoint(JobTable &table, const CheckpointJob &command)
{
    CommandResult result;
    auto *job = findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    auto *assignment = findEpoch(*job, command.epoch);
    if (assignment == nullptr) {
        return refuse(ResultCode::StaleEpoch);
    }
    if (command.checkpoint.size() > MaxCheckpointBytes) {
        return refuse(ResultCode::TooLarge);
    }
    assignment->checkpoint = command.checkpoint;
    return result;
}

CommandResult applyEvict(JobTable &table, const EvictJob &command)
{
    CommandResult result;
    auto *job = findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    auto *assignment = findEpoch(*job, command.epoch);
    if (assignment == nullptr) {
        const bool isResend = std::any_of(job->checkpoints.begin(), job->checkpoints.end(), [&command](const JobCheckpoint &checkpoint) {
            return checkpoint.epoch == command.epoch && checkpoint.data == command.checkpoint;
        });
        return isResend ? result : refuse(ResultCode::StaleEpoch);
    }
    if (command.checkpoint.size() > MaxCheckpointBytes) {
        return refuse(ResultCode::TooLarge);
    }
    const auto &checkpoint = command.checkpoint.empty() ? assignment->checkpoint : command.checkpoint;
    if (!checkpoint.empty()) {
        job->checkpoints.push_back({command.epoch, assignment->tasks, checkpoint});
    }
    if (command.cause == EvictCause::Eviction) {
        ++job->evictions;
        ++tallyOf(table, *job, assignment->zone).evicted;
    }
    endEpoch(*job, command.epoch);
    return result;
}

CommandResult applyFinish(JobTable &table, const FinishTasks &command, std::uint64_t index)
{
    const auto found = table.jobs.find(command.job);
    const bool isResend = found != table.jobs.end() && found->second.state == JobState::Finished && found->second.endedBy == command.epoch;
    CommandResult result;
    auto *job = isResend ? nullptr : findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    const auto *assignment = findEpoch(*job, command.epoch);
    if (assignment == nullptr) {
        return refuse(ResultCode::StaleEpoch);
    }
    const TaskRange tasks = assignment->tasks;
    const bool areOwn = std::all_of(command.tasks.begin(), command.tasks.end(), [tasks](const TaskRange &range) {
        return range.count() > 0 && containsRange({tasks}, range);
    });
    if (command.tasks.empty() || !areOwn) {
        return refuse(ResultCode::OutOfRange, "the epoch does not run these tasks");
    }
    if (command.result.size() > MaxResultBytes) {
        return refuse(ResultCode::TooLarge);
    }
    for (const auto &range : command.tasks) {
        addRange(job->finished, range);
    }
    job->result = command.result;
    if (countTasks(job->finished) == job->spec.taskCount) {
        job->endedBy = command.epoch;
        ++tallyOf(table, *job, job->lastZone).finished;
        endJob(table, *job, JobEvent::AllTasksFinished, index);
    } else if (containsRange(job->finished, tasks)) {
        endEpoch(*job, command.epoch);
    }
    return result;
}

CommandResult applyFail(JobTable &table, const FailJob &command, std::uint64_t index)
{
    const auto found = table.jobs.find(command.job);
    const bool isResend = found != table.jobs.end() && found->second.state == JobState::Failed && found->second.endedBy == command.epoch;
    CommandResult result;
    auto *job = isResend ? nullptr : findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    const bool isWaiting = job->assignments.empty() && command.epoch == job->lastEpoch;
    if (!isWaiting && findEpoch(*job, command.epoch) == nullptr) {
        return refuse(ResultCode::StaleEpoch);
    }
    if (command.reason.size() > MaxResultBytes) {
        return refuse(ResultCode::TooLarge);
    }
    job->endedBy = command.epoch;
    job->reasonCode = command.code;
    job->reason = command.reason;
    ++tallyOf(table, *job, job->lastZone).failed;
    auto &listed = table.failedJobs[job->spec.service];
    if (listed.size() < MaxFailedJobsListed) {
        listed.push_back({job->id, command.code, command.reason});
    }
    endJob(table, *job, JobEvent::Failed, index);
    return result;
}

CommandResult applyCancel(JobTable &table, const CancelJob &command, std::uint64_t index)
{
    const auto found = table.jobs.find(command.job);
    if (found != table.jobs.end() && found->second.state == JobState::Cancelled) {
        return {};
    }
    CommandResult result;
    auto *job = findActive(table, command.job, result);
    if (job == nullptr) {
        return result;
    }
    ++tallyOf(table, *job, job->lastZone).cancelled;
    endJob(table, *job, JobEvent::Cancelled, index);
    return result;
}

} // namespace Filbertlanding
