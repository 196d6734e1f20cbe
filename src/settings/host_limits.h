/** @file host_limits.h Bounds that follow from the disk space and the memory of a host. */

#pragma once

#include <cstdint>

namespace Filbertlanding {

/** What a daemon may use of its host. */
struct HostLimits {
    std::uint64_t diskMegabytes = 0; ///< Space for the data folder; 0 if not known.
    std::uint64_t memoryMegabytes = 0; ///< Memory of the process; 0 if not known.
};

/**
 * Returns the bytes of log entries between two snapshots with which a voter stays within its host: on the disk the log, its rewrite, two snapshots and
 * a folder that was set aside; in memory the log of the replica and that of its store, and what a start reads, beside the state.
 * @param most Highest bound; the result without limits.
 */
std::uint64_t logBytesWithin(const HostLimits &limits, std::uint64_t most);

} // namespace Filbertlanding
