/** @file journal.cpp Append-only file of opaque records with checksums. */

#include "storage/journal.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

namespace Filbertlanding {

namespace {

    constexpr std::string_view FileMagic = "FLJOURN1"; ///< The digit is the format version.
    constexpr std::string_view RecordMagic = "\xf1R\xe7\x01"; ///< Marks where a record begins; lets the reader find valid records after a damaged one.
    constexpr std::size_t PrefixBytes = 12; ///< Record magic, length and checksum.

    void appendNumber(std::string &text, std::uint32_t number)
    {
        const std::uint32_t little = boost::endian::native_to_little(number);
        text.append(reinterpret_cast<const char *>(&little), sizeof(little));
    }

    std::uint32_t numberAt(std::string_view bytes, std::size_t position)
    {
        return boost::endian::load_little_u32(reinterpret_cast<const unsigned char *>(bytes.data() + position));
    }

    std::uint32_t checksum(std::string_view record)
    {
        boost::crc_32_type crc;
        const std::uint32_t length = boost::endian::native_to_little(static_cast<std::uint32_t>(record.size()));
        crc.process_bytes(&length, sizeof(length));
        crc.process_bytes(record.data(), record.size());
        return crc.checksum();
    }

    /** Returns the record at a position, or nothing if there is no valid one. */
    std::optional<std::string_view> recordAt(std::string_view bytes, std::size_t position)
    {
        if (bytes.size() - position < PrefixBytes || bytes.substr(position, RecordMagic.size()) != RecordMagic) {
            return std::nullopt;
        }
        const std::uint32_t length = numberAt(bytes, position + 4);
        if (length > MaxRecordBytes || length > bytes.size() - position - PrefixBytes) {
            return std::nullopt;
        }
        const std::string_view record = bytes.substr(position + PrefixBytes, length);
        return checksum(record) == numberAt(bytes, position + 8) ? std::optional(record) : std::nullopt;
    }

    bool hasRecordAfter(std::string_view bytes, std::size_t position)
    {
        for (std::size_t at = bytes.find(RecordMagic, position); at != std::string_view::npos; at = bytes.find(RecordMagic, at + 1)) {
            if (recordAt(bytes, at)) {
                return true;
            }
        }
        return false;
    }

} // namespace

std::string journalHeader()
{
    return std::string(FileMagic);
}

std::string encodeRecord(std::string_view record)
{
    std::string bytes(RecordMagic);
    appendNumber(bytes, static_cast<std::uint32_t>(record.size()));
    appendNumber(bytes, checksum(record));
    bytes += record;
    return bytes;
}

JournalContent decodeJournal(std::string_view bytes)
{
    JournalContent content;
    if (!bytes.starts_with(FileMagic)) {
        content.code = ResultCode::DataDamaged;
        return content;
    }
    std::size_t position = FileMagic.size();
    while (position < bytes.size()) {
        const auto record = recordAt(bytes, position);
        if (!record) {
            break;
        }
        content.records.emplace_back(*record);
        position += PrefixBytes + record->size();
    }
    content.validBytes = position;
    if (position < bytes.size() && hasRecordAfter(bytes, position + 1)) {
        content.code = ResultCode::DataDamaged;
    }
    return content;
}

Journal::Journal(FileFunctions fileFunctions, std::string folderPath, std::string fileName)
    : files(std::move(fileFunctions))
    , folder(std::move(folderPath))
    , name(std::move(fileName))
{
}

Journal::~Journal()
{
    if (this->handle >= 0) {
        this->files.close(this->handle);
    }
}

ResultCode Journal::fail()
{
    this->failed = true;
    return ResultCode::DiskFailed;
}

ResultCode Journal::create()
{
    return this->rewrite({});
}

ResultCode Journal::open(std::vector<std::string> &records)
{
    const std::string path = this->folder + "/" + this->name;
    const FileContent read = this->files.read(path);
    if (read.outcome == ReadOutcome::Failed) {
        return this->fail();
    }
    JournalContent content = decodeJournal(read.bytes);
    if (content.code != ResultCode::Ok) {
        return content.code;
    }
    const auto file = this->files.openAppend(path);
    if (!file) {
        return this->fail();
    }
    this->handle = *file;
    this->bytes = content.validBytes;
    const bool isTorn = content.validBytes < read.bytes.size();
    // Records that were read must not depend on pages that an earlier process failed to sync, so the file is synced in any case.
    if ((isTorn && !this->files.truncate(*file, content.validBytes)) || !this->files.sync(*file)) {
        return this->fail();
    }
    records = std::move(content.records);
    return ResultCode::Ok;
}

ResultCode Journal::writeAll(int file, std::string_view data)
{
    while (!data.empty()) {
        const auto written = this->files.write(file, data);
        if (!written || *written == 0) {
            return this->fail();
        }
        data.remove_prefix(*written);
    }
    return this->files.sync(file) ? ResultCode::Ok : this->fail();
}

ResultCode Journal::append(std::string_view record)
{
    if (this->failed || this->handle < 0 || record.size() > MaxRecordBytes) {
        return this->fail();
    }
    const std::string encoded = encodeRecord(record);
    const ResultCode code = this->writeAll(this->handle, encoded);
    if (code == ResultCode::Ok) {
        this->bytes += encoded.size();
    }
    return code;
}

ResultCode Journal::rewrite(const std::vector<std::string> &records)
{
    if (this->failed) {
        return ResultCode::DiskFailed;
    }
    std::string content = journalHeader();
    for (const auto &record : records) {
        content += encodeRecord(record);
    }
    const std::string path = this->folder + "/" + this->name;
    const std::string temporary = path + std::string(TemporarySuffix);
    const auto file = this->files.openAppend(temporary);
    if (!file) {
        return this->fail();
    }
    // A crash may have left a part of an earlier rewrite.
    const bool isWritten = this->files.truncate(*file, 0) && this->writeAll(*file, content) == ResultCode::Ok;
    if (!isWritten || !this->files.rename(temporary, path) || !this->files.syncFolder(this->folder)) {
        this->files.close(*file);
        // A part of a rewrite would take the space for which the log is compacted.
        this->files.remove(temporary);
        return this->fail();
    }
    if (this->handle >= 0) {
        this->files.close(this->handle);
    }
    this->handle = *file;
    this->bytes = content.size();
    return ResultCode::Ok;
}

std::uint64_t Journal::size() const
{
    return this->bytes;
}

} // namespace Filbertlanding
