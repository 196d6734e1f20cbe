/** @file file_functions.cpp The file operations of the operating system (POSIX). */

#include "storage/file_functions.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <memory>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Filbertlanding {

namespace {

    // Logs and snapshots hold manifests, and these hold the API keys of client accounts.
    constexpr mode_t FileMode = 0600;
    constexpr mode_t FolderMode = 0700;
    constexpr std::size_t ReadStep = 65536;

    std::optional<int> openFile(const std::string &path, int flags)
    {
        const int file = ::open(path.c_str(), flags | O_CLOEXEC, FileMode);
        return file < 0 ? std::nullopt : std::optional<int>(file);
    }

    /** Takes the permissions of an open file or folder from everyone but its owner; earlier versions made both readable for the group. */
    bool restrictMode(int file)
    {
        constexpr mode_t Others = S_IRWXG | S_IRWXO;
        struct stat status {
        };
        if (::fstat(file, &status) != 0) {
            return false;
        }
        return (status.st_mode & Others) == 0 || ::fchmod(file, status.st_mode & ~(S_IFMT | Others)) == 0;
    }

    /** Opens a file of a store. Fails if others could read it and that cannot be changed. */
    std::optional<int> openStored(const std::string &path, int flags)
    {
        const auto file = openFile(path, flags);
        if (file && !restrictMode(*file)) {
            ::close(*file);
            return std::nullopt;
        }
        return file;
    }

    std::optional<std::size_t> writeFile(int file, std::string_view data)
    {
        ssize_t written = -1;
        do {
            written = ::write(file, data.data(), data.size());
        } while (written < 0 && errno == EINTR);
        return written < 0 ? std::nullopt : std::optional<std::size_t>(static_cast<std::size_t>(written));
    }

    /** Closes a file at the end of a scope, also after an exception. */
    class FileCloser
    {
    public:
        explicit FileCloser(int openFile)
            : file(openFile)
        {
        }
        FileCloser(const FileCloser &) = delete;
        FileCloser &operator=(const FileCloser &) = delete;
        ~FileCloser()
        {
            ::close(this->file);
        }

    private:
        int file;
    };

    /** Reads an open file to its end; nothing if a read fails. */
    std::optional<std::string> readToEnd(int file)
    {
        std::string content;
        std::string buffer(ReadStep, '\0');
        ssize_t got = 0;
        do {
            got = ::read(file, buffer.data(), buffer.size());
            if (got > 0) {
                content.append(buffer, 0, static_cast<std::size_t>(got));
            }
        } while (got > 0 || (got < 0 && errno == EINTR));
        return got < 0 ? std::nullopt : std::optional<std::string>(std::move(content));
    }

    FileContent readFile(const std::string &path)
    {
        const auto file = openFile(path, O_RDONLY);
        if (!file) {
            return {errno == ENOENT ? ReadOutcome::Missing : ReadOutcome::Failed, {}};
        }
        const FileCloser closer(*file);
        // Snapshots are only read after their creation, so those of earlier versions are restricted here.
        if (!restrictMode(*file)) {
            return {ReadOutcome::Failed, {}};
        }
        auto content = readToEnd(*file);
        struct stat status {
        };
        // A journal that is read short would look torn, and would be cut there.
        const bool isWhole = content && ::fstat(*file, &status) == 0 && content->size() == static_cast<std::size_t>(status.st_size);
        return isWhole ? FileContent{ReadOutcome::Whole, std::move(*content)} : FileContent{ReadOutcome::Failed, {}};
    }

    /** Creates a folder, or restricts the mode of an existing one. */
    bool makeFolderAt(const std::string &path)
    {
        if (::mkdir(path.c_str(), FolderMode) == 0) {
            return true;
        }
        if (errno != EEXIST) {
            return false;
        }
        if (const auto folder = openFile(path, O_RDONLY | O_DIRECTORY)) {
            // An installation may have created the folder for another owner, who alone can change it; the files in it are restricted anyway.
            restrictMode(*folder);
            ::close(*folder);
        }
        return true;
    }

    bool syncFolderAt(const std::string &path)
    {
        const auto folder = openFile(path, O_RDONLY | O_DIRECTORY);
        if (!folder) {
            return false;
        }
        const bool isSynced = ::fsync(*folder) == 0;
        ::close(*folder);
        return isSynced;
    }

    std::optional<std::vector<std::string>> listFolder(const std::string &path)
    {
        // The iterator of the standard library ends the process when it finds no memory.
        const std::unique_ptr<DIR, int (*)(DIR *)> folder(::opendir(path.c_str()), ::closedir);
        if (folder == nullptr) {
            return std::nullopt;
        }
        std::vector<std::string> names;
        errno = 0;
        while (const dirent *item = ::readdir(folder.get())) {
            const std::string_view name = item->d_name;
            if (name != "." && name != "..") {
                names.emplace_back(name);
            }
            errno = 0;
        }
        if (errno != 0) {
            return std::nullopt;
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    FileLock lockFile(const std::string &path)
    {
        const auto file = openStored(path, O_RDWR | O_CREAT);
        if (!file) {
            return {};
        }
        if (::flock(*file, LOCK_EX | LOCK_NB) != 0) {
            const bool isHeld = errno == EWOULDBLOCK;
            ::close(*file);
            return {isHeld ? LockOutcome::Held : LockOutcome::Failed, -1};
        }
        return {LockOutcome::Locked, *file};
    }

} // namespace

FileFunctions systemFiles()
{
    FileFunctions files;
    files.openAppend = [](const std::string &path) {
        return openStored(path, O_WRONLY | O_CREAT | O_APPEND);
    };
    files.write = writeFile;
    files.sync = [](int file) {
        return ::fsync(file) == 0;
    };
    files.truncate = [](int file, std::uint64_t size) {
        return ::ftruncate(file, static_cast<off_t>(size)) == 0;
    };
    files.close = [](int file) {
        ::close(file);
    };
    files.read = readFile;
    files.rename = [](const std::string &from, const std::string &to) {
        return ::rename(from.c_str(), to.c_str()) == 0;
    };
    files.remove = [](const std::string &path) {
        return ::unlink(path.c_str()) == 0;
    };
    files.makeFolder = makeFolderAt;
    files.syncFolder = syncFolderAt;
    files.list = listFolder;
    files.lock = lockFile;
    return files;
}

} // namespace Filbertlanding
