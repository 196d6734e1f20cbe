/** @file snapshot_store.h Snapshot files of a voter. */

#pragma once

#include "replication/raft_type.h"
#include "storage/file_functions.h"

namespace Filbertlanding {

/** Snapshot files `snapshot-<index>` in the data folder; the newest one is valid, older ones are removed. */
class SnapshotStore
{
public:
    SnapshotStore(FileFunctions fileFunctions, std::string folderPath);

    /** Reads the newest snapshot. Returns Ok (also without a snapshot), DiskFailed, or DataDamaged when the newest one is malformed. */
    ResultCode load(std::optional<Snapshot> &snapshot) const;

    /** Writes and syncs a snapshot under its final name. Returns Ok or DiskFailed; a failure is final. */
    ResultCode save(const Snapshot &snapshot);

    /** Removes snapshots older than an index. Call it after the log was compacted. */
    void removeOlder(std::uint64_t index);

private:
    FileFunctions files;
    std::string folder;
    bool failed = false;
};

} // namespace Filbertlanding
