/** @file log_store.cpp Hard state and log of a voter in one journal. */

#include "storage/log_store.h"

#include "core/bounded_archive.h"

namespace Filbertlanding {

namespace {

    constexpr char RecordVersion = 2; ///< First byte of a record; version 1 was written by a library archive.

    /** One record: what the actions of one call ask to persist, or the whole content after a compaction. */
    struct LogRecord {
        std::optional<HardState> hardState;
        std::optional<std::uint64_t> baseIndex; ///< Only in the first record of a compacted journal.
        std::optional<std::uint64_t> truncateFrom;
        std::vector<LogEntry> append;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(this->hardState, this->baseIndex, this->truncateFrom, this->append);
        }
    };

    /** Applies a record; returns false if it leaves a gap. */
    bool applyRecord(LogContent &content, LogRecord record)
    {
        if (record.hardState) {
            content.hardState = *record.hardState;
        }
        if (record.baseIndex) {
            content.baseIndex = *record.baseIndex;
            content.log.clear();
        }
        if (record.truncateFrom) {
            const std::uint64_t last = content.baseIndex + content.log.size();
            if (*record.truncateFrom <= content.baseIndex || *record.truncateFrom > last) {
                return false;
            }
            content.log.resize(*record.truncateFrom - content.baseIndex - 1);
        }
        for (auto &entry : record.append) {
            if (entry.index != content.baseIndex + content.log.size() + 1) {
                return false;
            }
            content.log.push_back(std::move(entry));
        }
        return true;
    }

    /** Encodes a log, in records that stay far below the bound of one. */
    std::vector<std::string> encodeContent(const LogContent &content)
    {
        constexpr std::size_t MaxPayloadBytes = std::size_t{1024} * 1024; ///< Payload of a record, unless a single entry has more.
        std::vector<std::string> records;
        LogRecord record{content.hardState, content.baseIndex, std::nullopt, {}};
        std::size_t bytes = 0;
        for (const LogEntry &entry : content.log) {
            if (bytes + entry.payload.size() > MaxPayloadBytes && !record.append.empty()) {
                records.push_back(encodeVersioned(RecordVersion, record));
                record = {};
                bytes = 0;
            }
            bytes += entry.payload.size();
            record.append.push_back(entry);
        }
        records.push_back(encodeVersioned(RecordVersion, record));
        return records;
    }

} // namespace

ResultCode replayLog(const std::vector<std::string> &records, LogContent &content)
{
    content = {};
    for (const auto &bytes : records) {
        LogRecord record;
        if (decodeVersioned(RecordVersion, bytes, record) != ResultCode::Ok || !applyRecord(content, std::move(record))) {
            return ResultCode::DataDamaged;
        }
    }
    return ResultCode::Ok;
}

LogStore::LogStore(FileFunctions files, std::string folder)
    : journal(std::move(files), std::move(folder), "raft.log")
{
}

ResultCode LogStore::create()
{
    return this->journal.create();
}

ResultCode LogStore::open()
{
    std::vector<std::string> records;
    const ResultCode code = this->journal.open(records);
    return code == ResultCode::Ok ? replayLog(records, this->stored) : code;
}

ResultCode LogStore::persist(const RaftActions &actions)
{
    LogRecord record{actions.persistHardState, std::nullopt, actions.truncateFrom, actions.append};
    if (!record.hardState && !record.truncateFrom && record.append.empty()) {
        return ResultCode::Ok;
    }
    const ResultCode code = this->journal.append(encodeVersioned(RecordVersion, record));
    if (code != ResultCode::Ok) {
        return code;
    }
    return applyRecord(this->stored, std::move(record)) ? ResultCode::Ok : ResultCode::Internal;
}

ResultCode LogStore::compact(std::uint64_t snapshotIndex, std::uint64_t snapshotTerm)
{
    LogContent &content = this->stored;
    if (snapshotIndex <= content.baseIndex) {
        return ResultCode::Ok;
    }
    const std::uint64_t drop = snapshotIndex - content.baseIndex;
    const bool holdsSnapshotEntry = drop <= content.log.size() && content.log[drop - 1].term == snapshotTerm;
    if (holdsSnapshotEntry) {
        content.log.erase(content.log.begin(), content.log.begin() + static_cast<std::ptrdiff_t>(drop));
    } else {
        // The snapshot came from another replica and replaces a log that is too short or conflicts with it.
        content.log.clear();
    }
    content.baseIndex = snapshotIndex;
    return this->rewrite();
}

ResultCode LogStore::rewrite()
{
    return this->journal.rewrite(encodeContent(this->stored));
}

std::uint64_t LogStore::size() const
{
    return this->journal.size();
}

const LogContent &LogStore::content() const
{
    return this->stored;
}

} // namespace Filbertlanding
