/**
 * @file data_folder.h The data folder of a voter: lock, incarnation, log, snapshots and the ledger's journal.
 * Layout: `lock`, `current/incarnation`, `current/founding-membership`, `current/raft.log`, `current/snapshot-<index>`, `current/ledger.journal`,
 * `damaged-<n>/` (set aside; only the newest one keeps more than its incarnation). The files stand in a subfolder so that damaged data can be set aside by
 * renaming also when the data folder is a mount point.
 */

#pragma once

#include "replication/raft_type.h"
#include "storage/journal.h"
#include "storage/log_store.h"
#include "storage/snapshot_store.h"

#include <memory>

namespace Filbertlanding {

/** An open data folder. */
struct DataFolder {
    ResultCode code =
        ResultCode::Ok; ///< Ok, DiskFailed, or DataFolderInUse; nothing else is valid unless Ok. Set for good by the first failure of persistActions.
    std::uint64_t incarnation = 0; ///< Number of this folder's content.
    bool isNew = false; ///< The folder was missing, empty or damaged, so the incarnation is new.
    std::string setAside; ///< Folder to which damaged data was renamed; empty if there was none.
    PersistedState persisted; ///< For raftStart.
    std::vector<std::string> ledgerRecords; ///< Records of the ledger's journal.
    std::optional<Membership> foundingMembership; ///< Membership before the first entry; nothing until keepFoundingMembership() has stored it.
    std::unique_ptr<Journal> incarnationFile;
    std::unique_ptr<Journal> foundingFile;
    std::unique_ptr<LogStore> log;
    std::unique_ptr<SnapshotStore> snapshots;
    std::unique_ptr<Journal> ledger;
    std::size_t failedBytes = 0; ///< Size of what persistActions could not write.
    std::shared_ptr<void> lock; ///< Held until the folder is closed.
};

/**
 * Opens a data folder, or creates it with a new incarnation when it is missing, empty or damaged. A creation that failed in the middle is finished in
 * place. Damaged data is set aside; what was set aside before it loses all but its incarnation. Files that failed rewrites left are removed.
 * @param path The data folder.
 * @param newIncarnation Number for a new folder: 1 at the first start of an installation, otherwise the calendar time in ms.
 *        The replicated log raises it if the others know a higher one.
 *        Raised above every incarnation that is found in folders that were set aside.
 */
DataFolder openDataFolder(const FileFunctions &files, const std::string &path, std::uint64_t newIncarnation);

/**
 * Makes the membership before the first entry the one that the folder holds, and stores the given one if the folder holds none. The settings may name
 * other daemons at a later start, and the log counts its majorities from this membership on. A membership without voters is not stored. Returns Ok or
 * DiskFailed.
 */
ResultCode keepFoundingMembership(DataFolder &folder, Membership &membership);

/** Persists and syncs what the actions ask for, before anything is sent. Returns Ok or DiskFailed; after DiskFailed the folder must be opened again. */
ResultCode persistActions(DataFolder &folder, const RaftActions &actions);

/** Writes, syncs and removes a file of a size in a data folder. Returns Ok, or DiskFailed if the disk does not take it. */
ResultCode probeDataFolder(const FileFunctions &files, const std::string &path, std::size_t bytes);

/** Writes the log to a new file. Returns Ok or DiskFailed. */
ResultCode rewriteLog(DataFolder &folder);

} // namespace Filbertlanding
