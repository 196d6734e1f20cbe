/** @file data_folder.cpp Opens, creates and sets aside the data folder of a voter. */

#include "storage/data_folder.h"

#include "replication/raft_func.h"

#include <algorithm>
#include <charconv>

namespace Filbertlanding {

namespace {

    constexpr std::string_view IncarnationFile = "incarnation";
    constexpr std::string_view FoundingFile = "founding-membership";
    constexpr std::string_view DamagedPrefix = "damaged-";

    /** Returns the only record of a file; nothing if it is damaged. */
    std::optional<std::string> singleRecord(std::string_view bytes)
    {
        JournalContent content = decodeJournal(bytes);
        const bool isWhole = content.code == ResultCode::Ok && content.records.size() == 1 && content.validBytes == bytes.size();
        return isWhole ? std::optional(std::move(content.records.front())) : std::nullopt;
    }

    /** Reads an incarnation file; nothing if it is missing or damaged. */
    std::optional<std::uint64_t> readIncarnation(const FileFunctions &files, const std::string &folder)
    {
        const auto text = singleRecord(files.read(folder + "/" + std::string(IncarnationFile)).value_or(std::string()));
        if (!text) {
            return std::nullopt;
        }
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
        return parsed.ec == std::errc() && parsed.ptr == text->data() + text->size() ? std::optional(number) : std::nullopt;
    }

    /** Reads the founding membership. Returns Ok also if there is no file: earlier versions wrote none, and a crash may have come before it. */
    ResultCode loadFoundingMembership(const FileFunctions &files, const std::string &folder, std::optional<Membership> &membership)
    {
        const auto bytes = files.read(folder + "/" + std::string(FoundingFile));
        if (!bytes) {
            const auto names = files.list(folder);
            const bool isMissing = names && std::find(names->begin(), names->end(), FoundingFile) == names->end();
            return isMissing ? ResultCode::Ok : ResultCode::DiskFailed;
        }
        const auto record = singleRecord(*bytes);
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
        const auto incarnation = readIncarnation(files, current);
        if (!incarnation) {
            return ResultCode::DataDamaged;
        }
        // A process that failed between a rename and the sync of the folder leaves names that a loss of power would still take away.
        if (!files.syncFolder(current)) {
            return ResultCode::DiskFailed;
        }
        folder.incarnation = *incarnation;
        folder.incarnationFile = std::make_unique<Journal>(files, current, std::string(IncarnationFile));
        folder.foundingFile = std::make_unique<Journal>(files, current, std::string(FoundingFile));
        folder.log = std::make_unique<LogStore>(files, current);
        folder.snapshots = std::make_unique<SnapshotStore>(files, current);
        folder.ledger = std::make_unique<Journal>(files, current, "ledger.journal");
        ResultCode code = loadFoundingMembership(files, current, folder.foundingMembership);
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
        folder.ledger = std::make_unique<Journal>(files, current, "ledger.journal");
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

    /** Returns an incarnation above every one that this data folder has had, as far as it can be read. */
    std::uint64_t freshIncarnation(const FileFunctions &files, const std::string &path, const std::vector<std::string> &names, std::uint64_t proposed)
    {
        std::uint64_t fresh = proposed;
        for (const auto &name : names) {
            if (name.starts_with(DamagedPrefix)) {
                std::string folder = path;
                folder.append("/").append(name);
                fresh = std::max(fresh, readIncarnation(files, folder).value_or(0) + 1);
            }
        }
        return fresh;
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

    std::string parentOf(const std::string &path)
    {
        const auto slash = path.find_last_of('/');
        if (slash == std::string::npos) {
            return ".";
        }
        return slash == 0 ? "/" : path.substr(0, slash);
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
    const auto lock = files.lock(path + "/lock");
    if (!lock) {
        return failedFolder(ResultCode::DataFolderInUse);
    }
    DataFolder folder;
    folder.lock = std::shared_ptr<void>(nullptr, [close = files.close, file = *lock](void *) {
        close(file);
    });
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
        const auto target = setAsideCurrent(files, path, current, *names);
        names = files.list(path);
        if (!target || !names) {
            return failedFolder(ResultCode::DiskFailed);
        }
        folder.setAside = *target;
    }
    folder.code = createCurrent(files, path, current, freshIncarnation(files, path, *names, newIncarnation), folder);
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
    return folder.code;
}

} // namespace Filbertlanding
