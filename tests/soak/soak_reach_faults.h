/** @file soak_reach_faults.h Faults that leave a daemon running while callers cannot reach it, and planned stops of the leader. */

#pragma once

#include "core/random.h"
#include "soak/soak_crowd.h"
#include "soak/soak_daemons.h"
#include "soak/soak_reach.h"
#include "soak/soak_timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace Filbertlanding {

/** Kinds of such faults. */
enum class SoakReachFault : std::uint8_t {
    ControlPortTaken, ///< By another program while a core restarts; the leader may end meanwhile.
    CrowdAtLeader, ///< More silent connections than the limit of descriptors, at the control port.
    CrowdAtEntry, ///< At the port for callers.
    CrowdAtReadiness, ///< Of any daemon.
    StopLeader, ///< Up to three planned stops of the leader in series.
    StopLeaderPauseOther, ///< One planned stop while another core is suspended.
    StopEntry, ///< One planned stop.
};

constexpr SoakReachFault lastEnumerator(SoakReachFault)
{
    return SoakReachFault::StopEntry;
}

/** How the faults of a run follow each other. */
enum class SoakReachRun : std::uint8_t {
    Overlapping,
    OneByOne, ///< A fault begins when no other lasts.
    PlannedStops, ///< Only planned stops of the leader and of entries.
};

constexpr SoakReachRun lastEnumerator(SoakReachRun)
{
    return SoakReachRun::PlannedStops;
}

/** Injects such faults at random intervals. It draws its own random numbers. */
class SoakReachFaults
{
public:
    SoakReachFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakReach &soakReach);

    /** Starts the injection; each daemon that starts from now on has a low limit of descriptors, and those that run get it now. */
    void start();

    /** Injects no more faults, and reverts those that last. */
    void stop();

    std::map<SoakReachFault, int> injected; ///< Number of injected faults by kind.

private:
    void arm();
    SoakReachFault draw();
    void inject(SoakReachFault fault);
    void takeControlPort(std::size_t core);
    void endLeaderBut(std::size_t core);
    void gather(std::size_t daemon, SoakPort port);
    void stopLeader(std::uint64_t stopsLeft);
    void stopLeaderPauseOther();

    boost::asio::io_context &io;
    const SoakSettings &settings;
    SoakDaemons &daemons;
    SoakReach &reach;
    Random random;
    SoakReachRun run;
    boost::asio::steady_timer timer;
    SoakTimers timers;
    bool hasTakenPort = false;
    std::set<std::pair<std::size_t, SoakPort>> crowded;
};

} // namespace Filbertlanding
