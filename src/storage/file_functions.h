/** @file file_functions.h The file operations that the stores need, as functions that tests replace to inject faults. */

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** How the attempt to read a file ended. */
enum class ReadOutcome {
    Whole,
    Missing, ///< There is no such file.
    Failed, ///< The file could not be read, which says nothing about its content: the disk refuses, or descriptors or memory are lacking.
};

/** Result of reading a file. */
struct FileContent {
    ReadOutcome outcome = ReadOutcome::Missing;
    std::string bytes; ///< Content; empty unless Whole.
};

/** How locking a file has ended. */
enum class LockOutcome : std::uint8_t {
    Locked, ///< The file is locked.
    Held, ///< Another process holds the lock.
    Failed, ///< The file cannot be opened or locked.
};

/** Outcome of locking a file, and the open file. */
struct FileLock {
    LockOutcome outcome = LockOutcome::Failed;
    int file = -1; ///< Only valid if locked.
};

/** File operations. Each returns false or nothing on failure. */
struct FileFunctions {
    std::function<std::optional<int>(const std::string &path)> openAppend; ///< Opens for appending and creates the file if missing.
    std::function<std::optional<std::size_t>(int file, std::string_view data)> write; ///< Returns the bytes written, possibly fewer than given.
    std::function<bool(int file)> sync; ///< Makes the content of a file durable.
    std::function<bool(int file, std::uint64_t size)> truncate; ///< Cuts a file to a size in bytes.
    std::function<void(int file)> close;
    std::function<FileContent(const std::string &path)> read; ///< Reads a whole file.
    std::function<bool(const std::string &from, const std::string &to)> rename; ///< Renames a file or folder, replacing a file.
    std::function<bool(const std::string &path)> remove; ///< Removes a file.
    std::function<bool(const std::string &path)> makeFolder; ///< Creates a folder; true if it exists already.
    std::function<bool(const std::string &path)> syncFolder; ///< Makes the names in a folder durable.
    std::function<std::optional<std::vector<std::string>>(const std::string &path)> list; ///< Names in a folder in ascending order.
    std::function<FileLock(const std::string &path)> lock; ///< Locks a file against other processes until close or exit.
};

/** Returns the operations of the operating system. */
FileFunctions systemFiles();

} // namespace Filbertlanding
