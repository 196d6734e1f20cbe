/** @file data_folder.cpp Opens, creates and sets aside the data folder of a voter. */

#include "storage/data_folder.h"

#include "replication/raft_func.h"

#include <algorithm>
#include <charconv>

namespace Filbertlanding {

namespace {

    constexpr std::string_view IncarnationFile = "incarnation";
    constexpr std::string_view FoundingFile = "founding-membership";
    constexpr std::string_view LogFile = "raft.log";
    constexpr std::string_view LedgerFile = "ledger.journal";
    constexpr std::string_view DamagedPrefix = "damaged-";
    constexpr std::string_view ProbeFile = "probe"; ///< Beside `current`; written only to see whether the disk takes it.

    /** Returns the only record of a file; nothing if it is damaged. */
    std::optional<std::string> singleRecord(std::string_view bytes)
    {
        JournalContent content = decodeJournal(bytes);
        const bool isWhole = content.code == ResultCode::Ok && content.records.size() == 1 && content.validBytes == bytes.size();
        return isWhole ? std::optional(std::move(content.records.front())) : std::nullopt;
    }

    std::string pathIn(std::string_view folder, std::string_view name)
    {
        return std::string(folder).append("/").append(name);
    }

    /** Removes what rewrites have left that a crash or a failing disk ended. Returns Ok or DiskFailed. */
    ResultCode removeTemporaries(const FileFunctions &files, const std::string &current)
    {
        const auto names = files.list(current);
        for (const auto &name : names.value_or(std::vector<std::string>())) {
            if (name.ends_with(TemporarySuffix)) {
                files.remove(pathIn(current, name));
            }
        }
        return names ? ResultCode::Ok : ResultCode::DiskFailed;
    }

    /** Reads a file of `current` that holds nothing before the incarnation is written. Returns Ok if it is missing or empty, otherwise DataDamaged. */
    ResultCode checkHoldsNothing(const FileFunctions &files, const std::string &path)
    {
        const FileContent file = files.read(path);
        if (file.outcome == ReadOutcome::Failed) {
            return ResultCode::DiskFailed;
        }
        return file.outcome == ReadOutcome::Missing || file.bytes == journalHeader() ? ResultCode::Ok : ResultCode::DataDamaged;
    }

    /**
     * Looks whether `current` is what createCurrent leaves when the disk or the process fails in the middle: no incarnation, and nothing that a voter
     * writes after it has one. Returns Ok, DiskFailed, or DataDamaged if something has been lost.
     */
    ResultCode checkUnfinished(const FileFunctions &files, const std::string &current)
    {
        const auto names = files.list(current);
        if (!names) {
            return ResultCode::DiskFailed;
        }
        const bool hasOthers = std::any_of(names->begin(), names->end(), [](const std::string &name) {
            return name != LogFile && name != LedgerFile && !name.ends_with(TemporarySuffix);
        });
        if (hasOthers) {
            return ResultCode::DataDamaged;
        }
        const ResultCode log = checkHoldsNothing(files, pathIn(current, LogFile));
        return log == ResultCode::Ok ? checkHoldsNothing(files, pathIn(current, LedgerFile)) : log;
    }

    /** Reads an incarnation file. Returns Ok, DiskFailed, or DataDamaged also if there is none. */
    ResultCode readIncarnation(const FileFunctions &files, const std::string &folder, std::uint64_t &incarnation)
    {
        const FileContent file = files.read(folder + "/" + std::string(IncarnationFile));
        if (file.outcome == ReadOutcome::Failed) {
            return ResultCode::DiskFailed;
        }
        const auto text = singleRecord(file.bytes);
        if (!text) {
            return ResultCode::DataDamaged;
        }
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), incarnation);
        return parsed.ec == std::errc() && parsed.ptr == text->data() + text->size() ? ResultCode::Ok : ResultCode::DataDamaged;
    }

    /** Reads the founding membership. Returns Ok also if there is no file: earlier versions wrote none, and a crash may have come before it. */
    ResultCode loadFoundingMembership(const FileFunctions &files, const std::string &folder, std::optional<Membership> &membership)
    {
        const FileContent file = files.read(folder + "/" + std::string(FoundingFile));
        if (file.outcome != ReadOutcome::Whole) {
            return file.outcome == ReadOutcome::Missing ? ResultCode::Ok : ResultCode::DiskFailed;
        }
        const auto record = singleRecord(file.bytes);
        membership = record ? decodeMembership(*record) : std::nullopt;
        return membership ? ResultCode::Ok : ResultCode::DataDamaged;
    }

    /** Returns whether snapshot and log together hold every entry. */
    bool isComplete(const std::optional<Snapshot> &snapshot, const LogContent &content)
    {
        return content.baseIndex <= (snapshot ? snapshot->index : 0);
    }

    /** Reads `current`. Returns Ok, DiskFailed, or DataDamaged for anything that counts as a lost disk. */
    ResultCode loadCurrent(const FileFunctions &files, const std::string &current, DataFolder &folder)
    {
        ResultCode code = readIncarnation(files, current, folder.incarnation);
        if (code != ResultCode::Ok) {
            return code;
        }
        // Restricts the mode that earlier versions gave the folder.
        if (!files.makeFolder(current)) {
            return ResultCode::DiskFailed;
        }
        // A process that failed between a rename and the sync of the folder leaves names that a loss of power would still take away.
        if (!files.syncFolder(current)) {
            return ResultCode::DiskFailed;
        }
        // Before anything is written: a disk that these files fill could not take a write any more.
        code = removeTemporaries(files, current);
        if (code != ResultCode::Ok) {
            return code;
        }
        folder.incarnationFile = std::make_unique<Journal>(files, current, std::string(IncarnationFile));
        folder.foundingFile = std::make_unique<Journal>(files, current, std::string(FoundingFile));
        folder.log = std::make_unique<LogStore>(files, current);
        folder.snapshots = std::make_unique<SnapshotStore>(files, current);
        folder.ledger = std::make_unique<Journal>(files, current, std::string(LedgerFile));
        code = loadFoundingMembership(files, current, folder.foundingMembership);
        code = code == ResultCode::Ok ? folder.snapshots->load(folder.persisted.snapshot) : code;
        code = code == ResultCode::Ok ? folder.log->open() : code;
        code = code == ResultCode::Ok ? folder.ledger->open(folder.ledgerRecords) : code;
        if (code != ResultCode::Ok) {
            return code;
        }
        const auto &snapshot = folder.persisted.snapshot;
        if (!isComplete(snapshot, folder.log->content())) {
            return ResultCode::DataDamaged;
        }
        if (snapshot) {
            // Finishes a compaction that a crash interrupted after the snapshot was synced.
            code = folder.log->compact(snapshot->index, snapshot->term);
        }
        if (snapshot && code == ResultCode::Ok) {
            folder.snapshots->removeOlder(snapshot->index);
        }
        folder.persisted.hardState = folder.log->content().hardState;
        folder.persisted.log = folder.log->content().log;
        return code == ResultCode::Ok ? checkPersisted(folder.persisted) : code;
    }

    /** Creates `current`. The incarnation is written last, so a crash on the way leaves a folder that counts as lost and never voted. */
    ResultCode createCurrent(const FileFunctions &files, const std::string &path, const std::string &current, std::uint64_t incarnation, DataFolder &folder)
    {
        folder.incarnationFile = std::make_unique<Journal>(files, current, std::string(IncarnationFile));
        folder.foundingFile = std::make_unique<Journal>(files, current, std::string(FoundingFile));
        folder.foundingMembership.reset();
        folder.log = std::make_unique<LogStore>(files, current);
        folder.snapshots = std::make_unique<SnapshotStore>(files, current);
        folder.ledger = std::make_unique<Journal>(files, current, std::string(LedgerFile));
        folder.persisted = {};
        folder.ledgerRecords.clear();
        folder.isNew = true;
        folder.incarnation = incarnation;
        if (!files.makeFolder(current) || !files.syncFolder(path)) {
            return ResultCode::DiskFailed;
        }
        if (folder.log->create() != ResultCode::Ok || folder.ledger->create() != ResultCode::Ok) {
            return ResultCode::DiskFailed;
        }
        return folder.incarnationFile->rewrite({std::to_string(incarnation)});
    }

    /**
     * Raises an incarnation above every one that this data folder has had, as far as the files are sound. Returns Ok, or DiskFailed if one cannot be
     * read, since a number that was used once would stand for other votes.
     */
    ResultCode raiseIncarnation(const FileFunctions &files, const std::string &path, const std::vector<std::string> &names, std::uint64_t &incarnation)
    {
        for (const auto &name : names) {
            if (!name.starts_with(DamagedPrefix)) {
                continue;
            }
            std::string folder = path;
            folder.append("/").append(name);
            std::uint64_t used = 0;
            const ResultCode code = readIncarnation(files, folder, used);
            if (code == ResultCode::DiskFailed) {
                return code;
            }
            incarnation = std::max(incarnation, code == ResultCode::Ok ? used + 1 : 0);
        }
        return ResultCode::Ok;
    }

    /** Renames `current`; returns the new path, or nothing on failure. */
    std::optional<std::string>
    setAsideCurrent(const FileFunctions &files, const std::string &path, const std::string &current, const std::vector<std::string> &names)
    {
        const auto nameOf = [](std::size_t number) {
            return std::string(DamagedPrefix).append(std::to_string(number));
        };
        std::size_t number = 1;
        while (std::find(names.begin(), names.end(), nameOf(number)) != names.end()) {
            ++number;
        }
        const std::string target = path + "/" + nameOf(number);
        if (!files.rename(current, target) || !files.syncFolder(path)) {
            return std::nullopt;
        }
        return target;
    }

    /** Removes the content of the folders that were set aside before the given one. The incarnations stay, so that none is used again. */
    void emptyOlderFolders(const FileFunctions &files, const std::string &path, const std::vector<std::string> &names, const std::string &newest)
    {
        for (const auto &name : names) {
            const std::string folder = pathIn(path, name);
            if (!name.starts_with(DamagedPrefix) || folder == newest) {
                continue;
            }
            for (const auto &file : files.list(folder).value_or(std::vector<std::string>())) {
                if (file != IncarnationFile) {
                    // A file that stays costs only space, until a folder is set aside again.
                    files.remove(pathIn(folder, file));
                }
            }
        }
    }

    std::string parentOf(const std::string &path)
    {
        const auto slash = path.find_last_of('/');
        if (slash == std::string::npos) {
            return ".";
        }
        return slash == 0 ? "/" : path.substr(0, slash);
    }

    /** Returns the size in bytes of what actions persist. */
    std::size_t persistedBytes(const RaftActions &actions)
    {
        std::size_t bytes = actions.persistSnapshot ? actions.persistSnapshot->state.size() : 0;
        for (const LogEntry &entry : actions.append) {
            bytes += entry.payload.size();
        }
        return bytes;
    }

    /** Writes and syncs zeros in an open file. */
    bool writeZeros(const FileFunctions &files, int file, std::size_t bytes)
    {
        constexpr std::size_t MaxStep = std::size_t{256} * 1024;
        const std::string zeros(std::min(bytes, MaxStep), '\0');
        while (bytes > 0) {
            const auto written = files.write(file, std::string_view(zeros).substr(0, std::min(bytes, zeros.size())));
            if (!written || *written == 0) {
                return false;
            }
            bytes -= *written;
        }
        return files.sync(file);
    }

    DataFolder failedFolder(ResultCode code)
    {
        DataFolder folder;
        folder.code = code;
        return folder;
    }

} // namespace

DataFolder openDataFolder(const FileFunctions &files, const std::string &path, std::uint64_t newIncarnation)
{
    if (!files.makeFolder(path) || !files.syncFolder(parentOf(path))) {
        return failedFolder(ResultCode::DiskFailed);
    }
    const FileLock lock = files.lock(path + "/lock");
    if (lock.outcome != LockOutcome::Locked) {
        return failedFolder(lock.outcome == LockOutcome::Held ? ResultCode::DataFolderInUse : ResultCode::DiskFailed);
    }
    DataFolder folder;
    folder.lock = std::shared_ptr<void>(nullptr, [close = files.close, file = lock.file](void *) {
        close(file);
    });
    files.remove(pathIn(path, ProbeFile)); // A crash may have left it.
    const std::string current = path + "/current";
    auto names = files.list(path);
    if (!names) {
        return failedFolder(ResultCode::DiskFailed);
    }
    if (std::find(names->begin(), names->end(), "current") != names->end()) {
        folder.code = loadCurrent(files, current, folder);
        if (folder.code != ResultCode::DataDamaged) {
            return folder;
        }
        folder.incarnationFile.reset();
        folder.foundingFile.reset();
        folder.log.reset();
        folder.snapshots.reset();
        folder.ledger.reset();
        const ResultCode unfinished = checkUnfinished(files, current);
        if (unfinished == ResultCode::DiskFailed) {
            return failedFolder(ResultCode::DiskFailed);
        }
        if (unfinished == ResultCode::DataDamaged) {
            const auto target = setAsideCurrent(files, path, current, *names);
            names = files.list(path);
            if (!target || !names) {
                return failedFolder(ResultCode::DiskFailed);
            }
            folder.setAside = *target;
            emptyOlderFolders(files, path, *names, *target);
        }
    }
    folder.code = raiseIncarnation(files, path, *names, newIncarnation);
    if (folder.code == ResultCode::Ok) {
        folder.code = createCurrent(files, path, current, newIncarnation, folder);
    }
    return folder;
}

ResultCode keepFoundingMembership(DataFolder &folder, Membership &membership)
{
    if (folder.foundingMembership) {
        membership = *folder.foundingMembership;
        return ResultCode::Ok;
    }
    const std::string record = encodeMembership(membership);
    if (!decodeMembership(record)) {
        // A folder with such a file would count as damaged at the next start.
        return ResultCode::Ok;
    }
    folder.code = folder.foundingFile->rewrite({record});
    folder.foundingMembership = membership;
    return folder.code;
}

ResultCode persistActions(DataFolder &folder, const RaftActions &actions)
{
    if (folder.code != ResultCode::Ok) {
        return folder.code;
    }
    if (actions.persistIncarnation) {
        folder.code = folder.incarnationFile->rewrite({std::to_string(*actions.persistIncarnation)});
        folder.incarnation = *actions.persistIncarnation;
    }
    if (actions.persistSnapshot && folder.code == ResultCode::Ok) {
        folder.code = folder.snapshots->save(*actions.persistSnapshot);
    }
    if (folder.code == ResultCode::Ok) {
        folder.code = folder.log->persist(actions);
    }
    if (folder.code == ResultCode::Ok && actions.persistSnapshot) {
        folder.code = folder.log->compact(actions.persistSnapshot->index, actions.persistSnapshot->term);
    }
    if (folder.code == ResultCode::Ok && actions.persistSnapshot) {
        folder.snapshots->removeOlder(actions.persistSnapshot->index);
    }
    folder.failedBytes = folder.code == ResultCode::Ok ? 0 : persistedBytes(actions);
    return folder.code;
}

ResultCode probeDataFolder(const FileFunctions &files, const std::string &path, std::size_t bytes)
{
    if (!files.makeFolder(path)) {
        return ResultCode::DiskFailed;
    }
    const std::string name = pathIn(path, ProbeFile);
    const auto file = files.openAppend(name);
    if (!file) {
        return ResultCode::DiskFailed;
    }
    const bool isTaken = files.truncate(*file, 0) && writeZeros(files, *file, bytes);
    files.close(*file);
    // Also after a failure, since what was written may fill the disk.
    const bool isRemoved = files.remove(name);
    return isTaken && isRemoved ? ResultCode::Ok : ResultCode::DiskFailed;
}

ResultCode rewriteLog(DataFolder &folder)
{
    folder.code = folder.log->rewrite();
    return folder.code;
}

} // namespace Filbertlanding
