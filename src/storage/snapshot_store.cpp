/**
 * @file snapshot_store.cpp Snapshot files: each is a journal under a name with the snapshot's index. Its records are the parts of the encoded snapshot, one
 * unless that is larger than a record may be.
 */

#include "storage/snapshot_store.h"

#include "core/bounded_archive.h"
#include "storage/journal.h"

#include <charconv>

namespace Filbertlanding {

namespace {

    constexpr std::string_view Prefix = "snapshot-";
    constexpr char SnapshotVersion = 2; ///< First byte of a snapshot; version 1 was written by a library archive.

    /** Returns the index in a file name, or nothing for another file. */
    std::optional<std::uint64_t> indexOf(const std::string &name)
    {
        if (!name.starts_with(Prefix)) {
            return std::nullopt;
        }
        std::uint64_t index = 0;
        const char *end = name.data() + name.size();
        const auto parsed = std::from_chars(name.data() + Prefix.size(), end, index);
        return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(index) : std::nullopt;
    }

    std::vector<std::string> partsOf(std::string encoded)
    {
        std::vector<std::string> parts;
        while (encoded.size() > MaxRecordBytes) {
            parts.push_back(encoded.substr(0, MaxRecordBytes));
            encoded.erase(0, MaxRecordBytes);
        }
        parts.push_back(std::move(encoded));
        return parts;
    }

} // namespace

SnapshotStore::SnapshotStore(FileFunctions fileFunctions, std::string folderPath)
    : files(std::move(fileFunctions))
    , folder(std::move(folderPath))
{
}

ResultCode SnapshotStore::load(std::optional<Snapshot> &snapshot) const
{
    snapshot.reset();
    const auto names = this->files.list(this->folder);
    if (!names) {
        return ResultCode::DiskFailed;
    }
    std::optional<std::uint64_t> newest;
    for (const auto &name : *names) {
        newest = std::max(newest, indexOf(name));
    }
    if (!newest) {
        return ResultCode::Ok;
    }
    const FileContent file = this->files.read(this->folder + "/" + std::string(Prefix) + std::to_string(*newest));
    if (file.outcome == ReadOutcome::Failed) {
        return ResultCode::DiskFailed;
    }
    const JournalContent content = decodeJournal(file.bytes);
    std::string encoded;
    for (const std::string &part : content.records) {
        encoded += part;
    }
    Snapshot loaded;
    const bool isWhole = content.code == ResultCode::Ok && content.validBytes == file.bytes.size();
    if (!isWhole || decodeVersioned(SnapshotVersion, encoded, loaded) != ResultCode::Ok || loaded.index != *newest) {
        return ResultCode::DataDamaged;
    }
    snapshot = std::move(loaded);
    return ResultCode::Ok;
}

ResultCode SnapshotStore::save(const Snapshot &snapshot)
{
    if (this->failed) {
        return ResultCode::DiskFailed;
    }
    Journal file(this->files, this->folder, std::string(Prefix) + std::to_string(snapshot.index));
    const ResultCode code = file.rewrite(partsOf(encodeVersioned(SnapshotVersion, snapshot)));
    this->failed = code != ResultCode::Ok;
    return code;
}

void SnapshotStore::removeOlder(std::uint64_t index)
{
    const auto names = this->files.list(this->folder);
    for (const auto &name : names.value_or(std::vector<std::string>())) {
        const auto found = indexOf(name);
        if (found && *found < index) {
            // A file that stays costs only space: the newest one is read.
            this->files.remove(this->folder + "/" + name);
        }
    }
}

} // namespace Filbertlanding
