/** @file soak_connections.h Callers that use their open connections to an entry daemon until its process is gone. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"
#include "soak/soak_loop_watch.h"
#include "soak/soak_manifests.h"

#include <boost/asio/io_context.hpp>

namespace Filbertlanding {

/**
 * Sends requests one after the other on connections that stay open. Signals to an entry daemon must lose none of them, and a confirmed route must be
 * served. It draws its own random numbers.
 */
class SoakConnections
{
public:
    SoakConnections(boost::asio::io_context &loop,
                    std::uint64_t seed,
                    const SoakDaemons &soakDaemons,
                    const SoakManifests &soakManifests,
                    const SoakLoopWatch &loopWatch,
                    SoakChecks &soakChecks);

    void start();

    /** Sends no more requests. */
    void stop();

    std::uint64_t answered = 0;
    std::uint64_t excused = 0; ///< Without an answer because of a fault that may lose requests.

private:
    void sendNextAfter(std::size_t entry, Duration pause);
    void sendNext(std::size_t entry);
    void onExchange(std::size_t entry, const std::string &path, TimePoint sentAt, const HttpExchange &exchange);
    bool mayBeLost(const SoakDaemon &entry, TimePoint sentAt, Duration waited) const;

    boost::asio::io_context &io;
    const SoakDaemons &daemons;
    const SoakManifests &manifests;
    const SoakLoopWatch &watch;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    bool hasStopped = false;
};

} // namespace Filbertlanding
