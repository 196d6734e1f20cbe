/** @file soak_faults.h Draws faults by a seed and injects them from outside: signals, connections, workers, disks. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_relay.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace Filbertlanding {

/** Kinds of faults. */
enum class SoakFault : std::uint8_t {
    KillCore, ///< SIGKILL, back after a while.
    KillAllCores,
    KillEntry,
    WipeCore, ///< SIGKILL, back with an empty disk.
    TornLogWrite, ///< SIGKILL, back with a torn last record.
    PauseCore, ///< SIGSTOP and SIGCONT.
    PauseEntry,
    TerminateCore,
    TerminateEntry,
    FullDisk, ///< Files may not grow for a while.
    PartitionCore, ///< Cut off from all daemons.
    PartitionOneWay, ///< What it sends does not arrive.
    SplitCores, ///< Halves that do not hear each other.
    DelayCore,
    ResetCore, ///< Connections are reset.
    BlackholeCore, ///< Open connections pass nothing on any more.
    CrashWorker,
    IsolateWorker,
    RestartIsolatedWorker, ///< A worker that is cut off crashes and starts again.
    HangWorker,
    ResetWorker,
    DelayOrders,
    DropResponses,
};

constexpr SoakFault lastEnumerator(SoakFault)
{
    return SoakFault::DropResponses;
}

/** Injects faults one after the other and several at once, until it is told to heal everything. */
class SoakFaults
{
public:
    SoakFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakRelay &soakRelay, SoakWorkers &soakWorkers);

    /** Begins to inject. */
    void start();

    /** Ends all faults and injects no more. */
    void revertAll();

    std::map<SoakFault, int> injected; ///< How often each kind was.

private:
    void injectNext();
    void inject(SoakFault fault);
    void injectOnProcess(SoakFault fault, std::size_t core, std::size_t entry, Duration duration);
    void injectOnLinks(SoakFault fault, std::size_t core, Duration duration);
    void injectOnWorkers(SoakFault fault, Duration duration);
    void restartAfter(std::size_t daemon, Duration duration);
    void killCore(std::size_t core, Duration duration);
    void blockTraffic(std::size_t from, std::size_t to, Duration duration);
    void revertAfter(Duration duration, std::function<void()> action);
    bool canLoseDisk() const;

    boost::asio::io_context &io;
    const SoakSettings &settings;
    SoakDaemons &daemons;
    SoakRelay &relay;
    SoakWorkers &workers;
    Random random;
    boost::asio::steady_timer timer;
    std::multimap<std::uint64_t, std::function<void()>> pendingReverts; ///< By number: what ends the faults that are active.
    std::uint64_t lastRevert = 0;
    TimePoint linksHealthySince;
    bool hasEnded = false;
};

} // namespace Filbertlanding
