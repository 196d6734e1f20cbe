/** @file log_store.h Hard state and log of a voter in one journal, so that one sync covers both. */

#pragma once

#include "replication/raft_type.h"
#include "storage/journal.h"

namespace Filbertlanding {

/** Content of the log journal. */
struct LogContent {
    HardState hardState;
    std::uint64_t baseIndex = 0; ///< Entries up to here were dropped because a snapshot holds them.
    std::vector<LogEntry> log; ///< Entries from baseIndex + 1.
};

/** Replays the records of a log journal. Returns Ok, or DataDamaged for records that cannot be decoded or leave a gap. */
ResultCode replayLog(const std::vector<std::string> &records, LogContent &content);

/** The log journal of a voter. */
class LogStore
{
public:
    LogStore(FileFunctions files, std::string folder);

    /** Creates an empty log. Returns Ok or DiskFailed. */
    ResultCode create();

    /** Opens the log. Returns Ok, DiskFailed or DataDamaged. */
    ResultCode open();

    /** Appends what the actions ask to persist, but the snapshot, as one synced record. Returns Ok or DiskFailed. */
    ResultCode persist(const RaftActions &actions);

    /** Drops what a synced snapshot replaces: entries up to its index, or all if its last entry is not in the log. Returns Ok or DiskFailed. */
    ResultCode compact(std::uint64_t snapshotIndex, std::uint64_t snapshotTerm);

    /** Writes all that the journal holds to a new file. Returns Ok or DiskFailed. */
    ResultCode rewrite();

    /** Returns the size of the journal in bytes. */
    std::uint64_t size() const;

    /** Returns what the journal holds. */
    const LogContent &content() const;

private:
    Journal journal;
    LogContent stored;
};

} // namespace Filbertlanding
