/** @file disk_fault_shim.cpp Library that is preloaded into a daemon of a test and makes the calls that change one folder fail or hang. */

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <climits>
#include <cstdarg>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <string>
#include <string_view>

namespace {

constexpr long HangCheckNs = 5'000'000; ///< Interval at which a call that hangs looks for the end of the fault.

/** Returns the function that this library stands in front of. */
template<typename Function>
Function *next(Function * /*same type*/, const char *name)
{
    return reinterpret_cast<Function *>(::dlsym(RTLD_NEXT, name));
}

std::string_view setting(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string_view() : std::string_view(value);
}

/** Returns the fault of now: `eio`, `enospc`, `hang`, `enospc <bytes that the folder may hold>`, or nothing. */
std::string currentFault()
{
    // The system calls themselves, since open() is one of the functions below.
    const long file = ::syscall(SYS_openat, AT_FDCWD, setting("DISK_FAULT_FILE").data(), O_RDONLY | O_CLOEXEC, 0);
    if (file < 0) {
        return {};
    }
    std::array<char, 64> text{};
    const long size = ::syscall(SYS_read, file, text.data(), text.size());
    ::syscall(SYS_close, file);
    return {text.data(), static_cast<std::size_t>(size > 0 ? size : 0)};
}

bool isInFolder(std::string_view path)
{
    const std::string_view folder = setting("DISK_FAULT_FOLDER");
    return !folder.empty() && path.starts_with(folder) && (path.size() == folder.size() || path[folder.size()] == '/');
}

bool isInFolder(int file)
{
    std::array<char, PATH_MAX> path{};
    const ssize_t size = ::readlink(("/proc/self/fd/" + std::to_string(file)).c_str(), path.data(), path.size());
    return size > 0 && isInFolder(std::string_view(path.data(), static_cast<std::size_t>(size)));
}

std::uintmax_t bytesInFolder()
{
    std::uintmax_t bytes = 0;
    std::error_code error;
    for (std::filesystem::directory_iterator item(setting("DISK_FAULT_FOLDER"), error), end; !error && item != end; item.increment(error)) {
        std::error_code ignored;
        const std::uintmax_t size = item->file_size(ignored);
        bytes += ignored ? 0 : size;
    }
    return bytes;
}

/** Waits while the disk hangs. Returns the error number of a call that adds bytes, or 0 if it succeeds. */
int errorOfNow(std::size_t addedBytes)
{
    constexpr std::string_view FullBeyond = "enospc ";
    std::string fault = currentFault();
    for (; fault == "hang"; fault = currentFault()) {
        const timespec interval{0, HangCheckNs};
        ::nanosleep(&interval, nullptr);
    }
    if (fault.starts_with(FullBeyond)) {
        const std::uintmax_t capacity = std::strtoull(fault.c_str() + FullBeyond.size(), nullptr, 10);
        return addedBytes > 0 && bytesInFolder() + addedBytes > capacity ? ENOSPC : 0;
    }
    return fault == "eio" ? EIO : fault == "enospc" ? ENOSPC : 0;
}

/** Returns whether a call to an open file or path fails, and sets errno then. */
template<typename Target>
bool fails(Target target, std::size_t addedBytes = 0)
{
    const int before = errno;
    const int error = isInFolder(target) ? errorOfNow(addedBytes) : 0;
    errno = error == 0 ? before : error;
    return error != 0;
}

bool failsToOpen(const char *path, int flags)
{
    return (flags & (O_WRONLY | O_RDWR | O_CREAT | O_TRUNC)) != 0 && fails(std::string_view(path));
}

mode_t modeOf(int flags, va_list arguments)
{
    return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
}

} // namespace

extern "C" {

ssize_t write(int file, const void *data, std::size_t size)
{
    return fails(file, size) ? -1 : next(&write, "write")(file, data, size);
}

ssize_t pwrite(int file, const void *data, std::size_t size, off_t offset)
{
    return fails(file, size) ? -1 : next(&pwrite, "pwrite")(file, data, size, offset);
}

ssize_t writev(int file, const iovec *parts, int count)
{
    std::size_t size = 0;
    for (int i = 0; i < count; ++i) {
        size += parts[i].iov_len;
    }
    return fails(file, size) ? -1 : next(&writev, "writev")(file, parts, count);
}

int fsync(int file)
{
    return fails(file) ? -1 : next(&fsync, "fsync")(file);
}

int fdatasync(int file)
{
    return fails(file) ? -1 : next(&fdatasync, "fdatasync")(file);
}

int ftruncate(int file, off_t size) noexcept
{
    return fails(file) ? -1 : next(&ftruncate, "ftruncate")(file, size);
}

int rename(const char *from, const char *to) noexcept
{
    return fails(std::string_view(to)) ? -1 : next(&rename, "rename")(from, to);
}

int open(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = modeOf(flags, arguments);
    va_end(arguments);
    return failsToOpen(path, flags) ? -1 : next(&open, "open")(path, flags, mode);
}
}
