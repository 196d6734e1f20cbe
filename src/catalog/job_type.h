/** @file job_type.h Records of batch jobs. */

#pragma once

#include "catalog/task_ranges.h"
#include "core/name_table.h"
#include "core/names_type.h"
#include "core/result_code.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Filbertlanding {

constexpr std::uint32_t MaxTasksPerJob = 1'000'000; ///< Tasks in one job.
constexpr std::size_t MaxAssignmentsPerJob = 1000; ///< Current assignments of one job.
constexpr std::int64_t MaxTaskAmount = 1'000'000'000; ///< Upper bound of each resource of one task.
constexpr std::size_t MaxCheckpointBytes = 4096; ///< Bytes of a checkpoint, which is a reference to data that the worker keeps elsewhere.
constexpr std::size_t MaxPayloadBytes = std::size_t{32} * 1024; ///< Bytes of a job's input; 11,000 of them a day stay below 400 MB of log.
constexpr std::size_t MaxResultBytes = 4096; ///< Bytes of a job's result or reason.
constexpr std::size_t MaxActiveJobs = 50'000; ///< Jobs that wait or run; four days of submissions at 11,000 a day.
constexpr std::size_t MaxTerminalJobs = 12'000; ///< Ended jobs whose records are kept; about one day of submissions.

/** State of a batch job. */
enum class JobState : std::uint8_t { Waiting, Running, Finished, Failed, Cancelled };

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr JobState lastEnumerator(JobState)
{
    return JobState::Cancelled;
}

constexpr auto JobStateNames = makeNameTable<JobState>({{JobState::Waiting, "waiting"},
                                                        {JobState::Running, "running"},
                                                        {JobState::Finished, "finished"},
                                                        {JobState::Failed, "failed"},
                                                        {JobState::Cancelled, "cancelled"}});

/** Returns whether a state is final. */
constexpr bool isTerminal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled;
}

/** What a caller submits. */
struct JobSpec {
    ServiceName service; ///< Service that the job belongs to.
    TeamName team; ///< Team whose quota it uses.
    std::string jobClass; ///< Class for learned sizes and interference.
    Resources size; ///< Declared size of one task.
    std::int32_t priority = 0; ///< Higher goes first within a team.
    bool urgent = false; ///< Goes before all jobs that are not urgent and may use the reserved share.
    std::uint32_t taskCount = 1; ///< Number of tasks.
    std::string payload; ///< Input of the tasks, passed on to the workers.

    bool operator==(const JobSpec &) const = default;
};

/** Tasks of a job given to one daemon. */
struct JobAssignment {
    std::uint64_t epoch = 0; ///< Fencing token; unique and increasing within the job.
    DaemonName daemon; ///< Daemon that runs the tasks.
    ZoneName zone; ///< Its availability zone.
    std::uint64_t assignedAt = 0; ///< Log index of the assignment.
    TaskRange tasks; ///< The tasks, some of which may have finished.
    std::uint64_t resumedFrom = 0; ///< Epoch that wrote the checkpoint from which this one resumes; 0 for a fresh start.
    std::string resumeCheckpoint; ///< That checkpoint.
    std::string checkpoint; ///< Latest checkpoint that this epoch has committed.

    bool operator==(const JobAssignment &) const = default;
};

/** A checkpoint that no assignment has consumed. */
struct JobCheckpoint {
    std::uint64_t epoch = 0; ///< Epoch that wrote it.
    TaskRange tasks; ///< Tasks that it covers.
    std::string data; ///< Content, opaque to the system.

    bool operator==(const JobCheckpoint &) const = default;
};

/** Record of a batch job. */
struct JobRecord {
    JobId id; ///< Identifier.
    JobSpec spec; ///< As submitted.
    std::uint64_t submittedAt = 0; ///< Log index of the submission; the order among equal priorities.
    JobState state = JobState::Waiting; ///< State.
    std::uint64_t lastEpoch = 0; ///< Highest epoch assigned so far.
    TaskRanges finished; ///< Finished tasks.
    std::vector<JobAssignment> assignments; ///< Current assignments by epoch; their tasks do not overlap.
    std::vector<JobCheckpoint> checkpoints; ///< Checkpoints that wait for the next assignment.
    std::uint64_t evictions = 0; ///< Epochs ended by an eviction.
    std::uint64_t resumes = 0; ///< Assignments that resumed from a checkpoint.
    std::uint64_t endedBy = 0; ///< Epoch whose command finished or failed the job; tells a resend from a stale epoch.
    std::string result; ///< Result of the last finished tasks.
    ResultCode reasonCode = ResultCode::Ok; ///< Why it failed.
    std::string reason; ///< The same in words.
    ZoneName lastZone; ///< Zone of the last assignment; empty before the first.

    bool operator==(const JobRecord &) const = default;
};

/** Key of a tally. */
struct TallyKey {
    ServiceName service; ///< Service.
    TeamName team; ///< Team.
    ZoneName zone; ///< Zone of the last assignment; empty for jobs that never had one and for submissions.

    bool operator==(const TallyKey &) const = default;

    bool operator<(const TallyKey &other) const
    {
        return std::tie(this->service, this->team, this->zone) < std::tie(other.service, other.team, other.zone);
    }
};

/** Numbers of jobs, kept when the records are dropped. */
struct JobTally {
    std::uint64_t submitted = 0; ///< Accepted jobs.
    std::uint64_t finished = 0; ///< Finished jobs.
    std::uint64_t failed = 0; ///< Failed jobs.
    std::uint64_t cancelled = 0; ///< Cancelled jobs.
    std::uint64_t evicted = 0; ///< Evictions.
    std::uint64_t resumed = 0; ///< Resumes from a checkpoint.

    bool operator==(const JobTally &) const = default;
};

/** A failed job, kept for the report. */
struct FailedJob {
    JobId id; ///< Job.
    ResultCode code = ResultCode::Ok; ///< Why.
    std::string reason; ///< The same in words.

    bool operator==(const FailedJob &) const = default;
};

constexpr std::size_t MaxFailedJobsListed = 200; ///< Failed jobs listed for each service; the tally counts all.

/** All batch jobs. */
struct JobTable {
    std::map<JobId, JobRecord> jobs; ///< Records.
    std::map<std::uint64_t, JobId> terminalOrder; ///< Log index at which a job ended to its id; the oldest is dropped first.
    std::map<TallyKey, JobTally> tallies; ///< Numbers for the report.
    std::map<ServiceName, std::vector<FailedJob>> failedJobs; ///< Failed jobs for the report.

    bool operator==(const JobTable &) const = default;
};

} // namespace Filbertlanding
