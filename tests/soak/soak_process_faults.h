/** @file soak_process_faults.h Faults of processes that come in series and overlap: signals, settings files, slow processors, ports in use. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace Filbertlanding {

/** Kinds of faults that only processes meet. */
enum class SoakProcessFault : std::uint8_t {
    HangupEntry, ///< A volley of SIGHUP.
    HangupCore,
    HangupAllCores, ///< As after a change of the operator's list.
    RestartUnderSignals, ///< SIGKILL; signals follow a few milliseconds after the restart.
    TerminateAfterStart, ///< SIGKILL; SIGTERM follows a few milliseconds after the restart.
    ChangeContacts, ///< Another order or a part of the contacts, with or without SIGHUP.
    HalfFileAtStart, ///< The settings file is whole only some time after the start.
    SlowEntry, ///< About a tenth of a processor.
    SlowCore, ///< About half of a processor.
    MetricsPortInUse, ///< By another process, around the restart of the daemon.
    PortInUse, ///< Of peers or of requests, for a second.
};

constexpr SoakProcessFault lastEnumerator(SoakProcessFault)
{
    return SoakProcessFault::PortInUse;
}

/** Injects such faults at random intervals. It draws its own random numbers, so that the other faults of a seed stay the same. */
class SoakProcessFaults
{
public:
    SoakProcessFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons);

    void start();

    /** Injects no more faults, and reverts those that last. */
    void stop();

    std::map<SoakProcessFault, int> injected; ///< Number of injected faults by kind.

private:
    using Port = std::shared_ptr<boost::asio::ip::tcp::acceptor>;

    void arm();
    void inject(SoakProcessFault fault);
    void sendVolley(std::size_t daemon);
    void hangUp(std::size_t daemon);
    void onStarted(std::size_t daemon);
    void changeContacts(std::size_t daemon);
    void startWithHalfFile(std::size_t daemon);
    void slowDown(std::size_t daemon, Duration running, std::uint64_t cyclesLeft);
    void occupyPort(std::size_t daemon, SoakPort port, Duration time);
    void release(std::size_t daemon, const Port &port);

    boost::asio::io_context &io;
    const SoakSettings &settings;
    SoakDaemons &daemons;
    Random random;
    boost::asio::steady_timer timer;
    std::map<std::size_t, Port> portsInUse; ///< By daemon.
    std::set<std::size_t> slowDaemons;
    SoakTimers timers;
};

} // namespace Filbertlanding
