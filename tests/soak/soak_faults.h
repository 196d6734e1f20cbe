/** @file soak_faults.h Seeded random fault injection from outside the daemons: signals, connections, workers and disks. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_relay.h"
#include "soak/soak_timers.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Filbertlanding {

/** Kinds of injected faults. Kinds that affect processes come first, then those of connections, then those of workers. */
enum class SoakFault : std::uint8_t {
    KillCore, ///< SIGKILL, restarted after a while.
    KillAllCores,
    KillEntry,
    WipeCore, ///< SIGKILL, restarted with an empty data folder.
    TornLogWrite, ///< SIGKILL, restarted with an incomplete last log record.
    PauseCore, ///< SIGSTOP and SIGCONT.
    PauseEntry,
    TerminateCore,
    TerminateEntry,
    FullDisk, ///< Writes fail for a while, because files may not grow.
    PartitionCore, ///< Network partition between the core and all other daemons.
    PartitionOneWay, ///< Partition in one direction: nothing that the core sends arrives.
    SplitCores, ///< Network partition between two halves of the cores.
    DelayCore,
    ResetCore, ///< Connections are reset.
    BlackholeCore, ///< Open connections stay open but transfer no more data.
    CrashWorker,
    IsolateWorker,
    RestartIsolatedWorker, ///< An isolated worker crashes and restarts.
    HangWorker,
    ResetWorker,
    DelayOrders,
    DropResponses,
};

constexpr SoakFault lastEnumerator(SoakFault)
{
    return SoakFault::DropResponses;
}

/** Injects faults at random intervals, possibly overlapping, until revertAll() is called. */
class SoakFaults
{
public:
    SoakFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakRelay &soakRelay, SoakWorkers &soakWorkers);

    /** Starts the injection of faults. */
    void start();

    /** Reverts all active faults and stops the injection. */
    void revertAll();

    std::map<SoakFault, int> injected; ///< Number of injected faults by kind.

private:
    void armNext();
    void injectNext();
    void inject(SoakFault fault);
    void injectOnProcess(SoakFault fault, std::size_t core, std::size_t entry, Duration duration);
    void injectOnLinks(SoakFault fault, std::size_t core, Duration duration);
    void injectOnWorkers(SoakFault fault, Duration duration);
    void restartAfter(std::size_t daemon, Duration duration);
    void killCore(std::size_t core, Duration duration);
    void blockTraffic(std::size_t from, std::size_t to, Duration duration);
    bool canLoseDisk() const;

    const SoakSettings &settings;
    SoakDaemons &daemons;
    SoakRelay &relay;
    SoakWorkers &workers;
    Random random;
    boost::asio::steady_timer timer;
    SoakTimers timers;
    TimePoint linksHealthySince;
};

} // namespace Filbertlanding
