/** @file host_limits.cpp Bounds that follow from the disk space and the memory of a host. */

#include "settings/host_limits.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::uint64_t BytesPerMegabyte = 1'048'576;
    constexpr std::uint64_t DiskShare = 8; ///< The log, its rewrite and a folder that was set aside take three shares, snapshots the rest.
    constexpr std::uint64_t MemoryShare = 16; ///< Copies of the log take up to four shares, the state and its snapshots the rest.
    constexpr std::uint64_t LeastBytes = BytesPerMegabyte; ///< On a tiny host snapshots would otherwise be taken all the time.

    std::uint64_t shareOf(std::uint64_t megabytes, std::uint64_t share, std::uint64_t most)
    {
        return megabytes == 0 ? most : megabytes * BytesPerMegabyte / share;
    }

} // namespace

std::uint64_t logBytesWithin(const HostLimits &limits, std::uint64_t most)
{
    const std::uint64_t onDisk = shareOf(limits.diskMegabytes, DiskShare, most);
    const std::uint64_t inMemory = shareOf(limits.memoryMegabytes, MemoryShare, most);
    return std::max(LeastBytes, std::min({most, onDisk, inMemory}));
}

} // namespace Filbertlanding
