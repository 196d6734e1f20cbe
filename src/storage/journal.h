/**
 * @file journal.h Append-only file of opaque records with checksums.
 * The Raft log and the ledger of non-repeatable requests are kept in journals.
 * Each append is one record and is synced before the next one, so after a loss of power only the last record can be torn.
 */

#pragma once

#include "core/result_code.h"
#include "storage/file_functions.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertlanding {

constexpr std::size_t MaxRecordBytes = 67108864; ///< Bound of one record; a larger length in a file is damage.
constexpr std::string_view TemporarySuffix = ".new"; ///< Ends the name of the file that a rewrite makes and renames.

/** Records decoded from the bytes of a journal. */
struct JournalContent {
    ResultCode code = ResultCode::Ok; ///< DataDamaged when a damaged record is followed by a valid one or the file header is damaged.
    std::vector<std::string> records;
    std::uint64_t validBytes = 0; ///< Bytes up to the end of the last valid record.
};

/** Decodes the bytes of a journal. A torn last record is left out; validBytes then ends before it. */
JournalContent decodeJournal(std::string_view bytes);

/** Returns the form in which a record stands in the file. */
std::string encodeRecord(std::string_view record);

/** Returns the header with which a journal file begins. */
std::string journalHeader();

/** An open journal. A failed write or sync is final: every later call returns DiskFailed. */
class Journal
{
public:
    Journal(FileFunctions fileFunctions, std::string folderPath, std::string fileName);
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;
    ~Journal();

    /** Creates the file without records. Returns Ok or DiskFailed. */
    ResultCode create();

    /** Opens the file and reads its records; cuts a torn last record. Returns Ok, DiskFailed, or DataDamaged (also for a missing file). */
    ResultCode open(std::vector<std::string> &records);

    /** Appends a record and syncs it. Returns Ok or DiskFailed. */
    ResultCode append(std::string_view record);

    /** Replaces the content by other records in one step: after a crash the file holds the old or the new ones. Returns Ok or DiskFailed. */
    ResultCode rewrite(const std::vector<std::string> &records);

    /** Returns the size of the file in bytes. */
    std::uint64_t size() const;

private:
    ResultCode writeAll(int file, std::string_view data);
    ResultCode fail();

    FileFunctions files;
    std::string folder;
    std::string name;
    int handle = -1;
    std::uint64_t bytes = 0;
    bool failed = false; ///< Set by the first failed write or sync, since a later sync that succeeds proves nothing about earlier pages.
};

} // namespace Filbertlanding
