/** @file command_type.h Commands of the replicated log and their results. */

#pragma once

#include "catalog/intent_type.h"
#include "catalog/job_type.h"
#include "core/clock_type.h"

#include <string>
#include <variant>
#include <vector>

namespace Filbertlanding {

/** How a change treats the files that it names. */
enum class ChangeKind : std::uint8_t { Put, Remove, Sync };

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr ChangeKind lastEnumerator(ChangeKind)
{
    return ChangeKind::Sync;
}

constexpr auto ChangeKindNames = makeNameTable<ChangeKind>({{ChangeKind::Put, "put"}, {ChangeKind::Remove, "remove"}, {ChangeKind::Sync, "sync"}});

/** Changes intent files. */
struct ChangeFiles {
    ChangeKind kind = ChangeKind::Put; ///< Put adds or replaces, remove deletes, sync replaces the whole set.
    std::vector<IntentFile> files; ///< The files; texts are ignored for remove.
    std::uint64_t baseVersion = 0; ///< Configuration version that the operator saw.
    OperationId operation; ///< Idempotency key.
    std::string operatorName; ///< Who makes the change.
    WallTime wallTime; ///< When it was proposed; for display only.
};

/** Submits a job. */
struct SubmitJob {
    OperationId operation; ///< Idempotency key.
    JobId job; ///< Identifier, chosen by the proposer.
    JobSpec spec; ///< The job.
};

/** Assigns tasks of a job to a daemon and starts the next epoch. */
struct AssignJob {
    JobId job; ///< Job.
    std::uint64_t epoch = 0; ///< The new epoch: the job's last epoch plus one.
    DaemonName daemon; ///< Daemon.
    ZoneName zone; ///< Its zone.
    TaskRange tasks; ///< Tasks that are neither finished nor assigned.
    std::uint64_t resumeFrom = 0; ///< Epoch of the checkpoint to consume; 0 for none.
};

/** Commits a checkpoint of a running epoch, which a later epoch resumes from if this one ends without a newer one. */
struct CheckpointJob {
    JobId job; ///< Job.
    std::uint64_t epoch = 0; ///< Running epoch.
    std::string checkpoint; ///< Content.
};

/** Why an epoch ended early. */
enum class EvictCause : std::uint8_t { Eviction, LeaseEnded };

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr EvictCause lastEnumerator(EvictCause)
{
    return EvictCause::LeaseEnded;
}

/** Ends an epoch; its unfinished tasks wait for the next assignment. */
struct EvictJob {
    JobId job; ///< Job.
    std::uint64_t epoch = 0; ///< Epoch to end.
    std::string checkpoint; ///< Checkpoint; when empty, the last committed one of this epoch is used.
    EvictCause cause = EvictCause::Eviction; ///< Only evictions are counted as such.
};

/** Finishes tasks of an epoch; the job is finished when all its tasks are. */
struct FinishTasks {
    JobId job; ///< Job.
    std::uint64_t epoch = 0; ///< Epoch that ran the tasks.
    TaskRanges tasks; ///< The tasks.
    std::string result; ///< Result.
};

/** Fails a job. */
struct FailJob {
    JobId job; ///< Job.
    std::uint64_t epoch = 0; ///< A running epoch, or the last epoch of a job that waits.
    ResultCode code = ResultCode::JobFailed; ///< Why.
    std::string reason; ///< The same in words.
};

/** Cancels a job. */
struct CancelJob {
    JobId job; ///< Job.
};

/** A daemon incarnation starts or stops to serve. Committed before it takes its first request. */
struct DaemonLifeCycleEvent {
    DaemonName daemon; ///< Daemon.
    std::uint64_t incarnation = 0; ///< Number of its start, increasing.
    bool started = true; ///< Starts, or has stopped in an orderly way after its final counters.
};

/** Final counters of one daemon incarnation for one service. */
struct FinalCounters {
    ServiceName service; ///< Service.
    DaemonName daemon; ///< Daemon.
    std::uint64_t incarnation = 0; ///< Incarnation.
    std::uint64_t revision = 0; ///< Increases with each delivery of the incarnation; an older one is ignored.
    std::string counters; ///< Encoded counters (src/report/), opaque here.
};

/** The operator accepts that the counters of one incarnation are missing. */
struct AcceptGap {
    ServiceName service; ///< Service.
    DaemonName daemon; ///< Daemon.
    std::uint64_t incarnation = 0; ///< Incarnation.
    OperationId operation; ///< Idempotency key.
    std::string operatorName; ///< Who accepts it.
    WallTime wallTime; ///< When; for display only.
};

using LogCommand =
    std::variant<ChangeFiles, SubmitJob, AssignJob, CheckpointJob, EvictJob, FinishTasks, FailJob, CancelJob, DaemonLifeCycleEvent, FinalCounters, AcceptGap>;

constexpr std::size_t MaxErrorsInResult = 100; ///< Errors kept in a result; errorCount tells how many there were.

/** Result of a command. */
struct CommandResult {
    ResultCode code = ResultCode::Ok; ///< Outcome.
    std::string message; ///< One sentence for people; empty on success.
    std::uint64_t version = 0; ///< Configuration version after the command.
    JobId job; ///< For SubmitJob: the job; a resend with another proposed id gets the id of the first one.
    std::vector<IntentError> errors; ///< For IntentInvalid: the first MaxErrorsInResult faults.
    std::uint64_t errorCount = 0; ///< For IntentInvalid: number of all faults.
    OperationId winner; ///< For VersionConflict: the operation that was accepted against the base version.
    std::string winnerOperator; ///< For VersionConflict: its operator.
    std::vector<std::string> winnerFiles; ///< For VersionConflict: its files.

    bool operator==(const CommandResult &) const = default;
};

} // namespace Filbertlanding
