/** @file soak_disk_faults.h Faults of the disks and limits of cores, in series that overlap with each other and with restarts. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_timers.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>

namespace Filbertlanding {

/** Kinds of such faults. */
enum class SoakDiskFault : std::uint8_t {
    FullDisk, ///< No file may grow.
    NearlyFullDisk, ///< The log may grow by a little, so that small writes pass and larger ones fail.
    FullDiskAtStart, ///< SIGKILL; the disk is full when the core starts again.
    AllDisksFull,
    FolderInUse, ///< SIGKILL; another process holds the lock of the data folder when the core starts again.
    FewDescriptors, ///< SIGKILL; the core starts with a low limit of descriptors.
    KillCore, ///< Restarted at once, also while its disk refuses.
    TerminateCore, ///< Also while its disk refuses.
    KillAllCores,
    ReplaceCore, ///< By a new machine, when all cores have been sound for some seconds.
};

constexpr SoakDiskFault lastEnumerator(SoakDiskFault)
{
    return SoakDiskFault::ReplaceCore;
}

/** Injects such faults in series, with pauses in which the cores must recover. It draws its own random numbers. */
class SoakDiskFaults
{
public:
    SoakDiskFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons);

    void start();

    /** Injects no more faults, and reverts those that last. */
    void stop();

    std::map<SoakDiskFault, int> injected; ///< Number of injected faults by kind.

private:
    /** What impairs the disk of a core. Faults of the same kind may overlap; the lowest limit holds. */
    struct Impairment {
        std::multiset<rlim_t> fileSizeLimits;
        std::multiset<rlim_t> descriptorLimits;
        int locks = 0; ///< Holders of the lock of the data folder.
    };

    using Change = std::function<void(Impairment &)>;
    using Limits = std::multiset<rlim_t> Impairment::*;

    void beginSeries();
    void injectNext();
    void inject(SoakDiskFault fault);
    void apply(std::size_t core);
    void impair(std::size_t core, Duration duration, const Change &begin, Change end);
    void limit(std::size_t core, Limits limits, rlim_t value, Duration duration);
    void holdFolder(std::size_t core, Duration duration);
    void restart(std::size_t core);
    void replace(std::size_t core);
    rlim_t logSize(std::size_t core) const;

    const SoakSettings &settings;
    SoakDaemons &daemons;
    Random random;
    SoakTimers timers;
    std::map<std::string, Impairment> impairments; ///< By name of the core.
    std::uint64_t leftInSeries = 0;
};

} // namespace Filbertlanding
