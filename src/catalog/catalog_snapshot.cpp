/** @file catalog_snapshot.cpp Encoding of the catalog for snapshots. */

#include "catalog/catalog_archive.h"
#include "catalog/catalog_func.h"
#include "catalog/config_check.h"
#include "catalog/intent_store.h"
#include "catalog/job_state.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr char SnapshotVersion = 1; ///< First byte of a snapshot.

    void require(bool condition, const char *message)
    {
        if (!condition) {
            throw cereal::Exception(message);
        }
    }

    /** Checks what the transitions rely on, so that a damaged record cannot give one task to two daemons. */
    void checkJob(const JobId &id, const JobRecord &job)
    {
        require(job.id == id, "a job has two ids");
        require(job.spec.taskCount > 0 && job.spec.taskCount <= MaxTasksPerJob, "a job has too many tasks");
        require(isWellFormed(job.finished, job.spec.taskCount), "the finished tasks of a job are malformed");
        require((job.state == JobState::Running) == !job.assignments.empty(), "the state of a job contradicts its assignments");
        TaskRanges taken = job.finished;
        std::uint64_t previous = 0;
        TaskRanges assigned;
        for (const auto &assignment : job.assignments) {
            require(assignment.epoch > previous && assignment.epoch <= job.lastEpoch, "the epochs of a job are out of order");
            require(assignment.tasks.count() > 0 && assignment.tasks.end <= job.spec.taskCount, "an assignment names no such tasks");
            require(!overlapsRange(assigned, assignment.tasks), "two assignments have the same task");
            require(!containsRange(taken, assignment.tasks), "an assignment has only finished tasks");
            addRange(assigned, assignment.tasks);
            previous = assignment.epoch;
        }
        for (const auto &checkpoint : job.checkpoints) {
            require(checkpoint.epoch > 0 && checkpoint.epoch <= job.lastEpoch, "a checkpoint has no epoch");
            require(!overlapsRange(assigned, checkpoint.tasks), "a checkpoint belongs to tasks that run");
        }
    }

    void checkJobs(const JobTable &table)
    {
        std::size_t ended = 0;
        for (const auto &[id, job] : table.jobs) {
            checkJob(id, job);
            ended += isTerminal(job.state) ? 1 : 0;
        }
        require(ended == table.terminalOrder.size(), "the list of ended jobs is incomplete");
        for (const auto &[index, id] : table.terminalOrder) {
            const auto found = table.jobs.find(id);
            require(found != table.jobs.end() && isTerminal(found->second.state), "the list of ended jobs names another job");
        }
    }

    void checkOperations(const OperationTable &table)
    {
        require(table.order.size() == table.records.size(), "the order of operations is incomplete");
        std::uint64_t bytes = 0;
        for (const auto &[id, record] : table.records) {
            const auto found = table.order.find(record.index);
            require(found != table.order.end() && found->second == id, "the order of operations names another one");
            bytes += record.bytes;
        }
        require(bytes == table.bytes, "the size of the operations is wrong");
    }

    /** Makes the configuration again from the files. */
    void restoreConfiguration(IntentStore &store)
    {
        auto check = checkIntent(storedFiles(store));
        require(check.errors.empty(), "the intent files of the snapshot are invalid");
        store.configuration = std::move(check.configuration);
    }

} // namespace

template<class Archive>
void serialize(Archive &archive, IntentError &error)
{
    archive(error.code, error.file, error.pointer, error.message);
}

template<class Archive>
void serialize(Archive &archive, CommandResult &result)
{
    archive(result.code, result.message, result.version, result.job, result.errors, result.errorCount);
    archive(result.winner, result.winnerOperator, result.winnerFiles);
}

template<class Archive>
void serialize(Archive &archive, ChangeRecord &record)
{
    archive(record.version, record.index, record.kind, record.operation, record.operatorName, record.wallTime);
    archive(record.files, record.drained, record.returned, record.opened, record.closed);
}

template<class Archive>
void serialize(Archive &archive, IntentStore &store)
{
    archive(store.version, store.files, store.history);
}

template<class Archive>
void serialize(Archive &archive, OperationRecord &record)
{
    archive(record.index, record.fingerprint, record.bytes, record.result);
}

template<class Archive>
void serialize(Archive &archive, OperationTable &table)
{
    archive(table.records, table.order, table.bytes);
}

template<class Archive>
void serialize(Archive &archive, JobAssignment &assignment)
{
    archive(assignment.epoch, assignment.daemon, assignment.zone, assignment.assignedAt, assignment.tasks);
    archive(assignment.resumedFrom, assignment.resumeCheckpoint, assignment.checkpoint);
}

template<class Archive>
void serialize(Archive &archive, JobCheckpoint &checkpoint)
{
    archive(checkpoint.epoch, checkpoint.tasks, checkpoint.data);
}

template<class Archive>
void serialize(Archive &archive, JobRecord &job)
{
    archive(job.id, job.spec, job.submittedAt, job.state, job.lastEpoch, job.finished);
    archive(job.assignments, job.checkpoints, job.evictions, job.resumes, job.endedBy);
    archive(job.result, job.reasonCode, job.reason, job.lastZone);
}

template<class Archive>
void serialize(Archive &archive, TallyKey &key)
{
    archive(key.service, key.team, key.zone);
}

template<class Archive>
void serialize(Archive &archive, JobTally &tally)
{
    archive(tally.submitted, tally.finished, tally.failed, tally.cancelled, tally.evicted, tally.resumed);
}

template<class Archive>
void serialize(Archive &archive, FailedJob &job)
{
    archive(job.id, job.code, job.reason);
}

template<class Archive>
void serialize(Archive &archive, DaemonIncarnation &incarnation)
{
    archive(incarnation.daemon, incarnation.incarnation);
}

template<class Archive>
void serialize(Archive &archive, IncarnationCounters &record)
{
    archive(record.delivered, record.revision, record.counters, record.gapAccepted, record.gapOperator, record.gapWallTime);
}

template<class Archive>
void serialize(Archive &archive, ServiceRecord &record)
{
    archive(record.open, record.firstVersion, record.closedVersion, record.served);
}

template<class Archive>
void serialize(Archive &archive, DaemonRecord &record)
{
    archive(record.incarnation, record.running);
}

template<class Archive>
void serialize(Archive &archive, JobTable &table)
{
    archive(table.jobs, table.terminalOrder, table.tallies, table.failedJobs);
}

template<class Archive>
void serialize(Archive &archive, ServiceTable &table)
{
    archive(table.services, table.daemons);
}

template<class Archive>
void serialize(Archive &archive, Catalog &catalog)
{
    archive(catalog.appliedIndex, catalog.intent, catalog.operations, catalog.jobs, catalog.services);
}

std::string encodeCatalog(const Catalog &catalog)
{
    return encodeVersioned(SnapshotVersion, catalog);
}

Decoded<Catalog> decodeCatalog(std::string_view bytes)
{
    if (bytes.size() > MaxSnapshotBytes) {
        return {ResultCode::TooLarge, {}};
    }
    Decoded<Catalog> decoded;
    decoded.code = decodeVersioned(SnapshotVersion, bytes, decoded.value);
    if (decoded.code != ResultCode::Ok) {
        return {decoded.code, {}};
    }
    try {
        checkJobs(decoded.value.jobs);
        checkOperations(decoded.value.operations);
        restoreConfiguration(decoded.value.intent);
        return decoded;
    } catch (const std::exception &) {
        return {ResultCode::FrameCorrupt, {}};
    }
}

} // namespace Filbertlanding
