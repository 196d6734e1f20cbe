/** @file memory_limits.cpp Limits of the memory that callers make the replicated state hold, from the settings. */

#include "fleetd/memory_limits.h"

namespace Filbertlanding {

MemoryLimits memoryLimitsOf(const FleetDaemonSettings &settings)
{
    constexpr std::size_t BytesPerMegabyte = 1'048'576;
    MemoryLimits limits;
    limits.openJobs = static_cast<std::size_t>(settings.openJobsMegabytes) * BytesPerMegabyte;
    limits.endedJobs = static_cast<std::size_t>(settings.endedJobsMegabytes) * BytesPerMegabyte;
    return limits;
}

} // namespace Filbertlanding
