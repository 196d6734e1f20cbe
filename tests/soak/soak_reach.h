/** @file soak_reach.h Checks that the daemons can be reached by new connections, and counts what planned stops of the leader cost. */

#pragma once

#include "network/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Filbertlanding {

/** Answers within some seconds after a planned stop of the leader, while nothing else disturbed the daemons. */
struct SoakStopCosts {
    std::uint64_t stops = 0;
    std::uint64_t unavailable = 0; ///< HTTP status 503 to a caller.
    std::uint64_t unavailableAtCores = 0; ///< The same to an operator or worker.
    std::uint64_t timedOut = 0; ///< HTTP status 504.
    std::uint64_t cut = 0; ///< The request was sent, and the connection ended without an answer.
    std::uint64_t cutEarly = 0; ///< The same so soon that the daemon may not have read the request.
};

/**
 * Sends requests on new connections to each daemon. While a majority of the cores is undisturbed, the configuration can be read; a daemon that is
 * undisturbed answers new connections to each port that it listens on.
 */
class SoakReach
{
public:
    SoakReach(boost::asio::io_context &loop, const SoakDaemons &soakDaemons, SoakChecks &soakChecks);

    void start();

    /** Sends no more requests. */
    void stop();

    /** Returns the core that answered the last read of the configuration itself; nothing if none has. */
    std::optional<std::size_t> leader() const;

    /** A planned stop of the leader begins now. */
    void onPlannedStop();

    /** Checks that the planned stops so far have cost nobody an answer. */
    void checkPlannedStops();

    /** A fault that may cost callers something began or ended now. */
    void onDisturbance();

    /** Connections between daemons were disturbed now. */
    void onLinksDisturbed();

    SoakStopCosts costs;
    std::uint64_t reads = 0; ///< Reads of the configuration that were answered.
    Duration longestUnread; ///< Longest time without such a read.

private:
    /** A port that is called, and what its callers have seen. */
    struct Target {
        std::size_t daemon = 0;
        SoakPort port = SoakPort::Requests;
        TimePoint lastAnswer;
        std::string lastOutcome = "not called";
        bool isReported = false; ///< Until the next answer.
    };

    void arm();
    void call(std::size_t target);
    void onAnswer(Target &target, const HttpExchange &exchange);
    void checkTarget(Target &target);
    void checkReads();
    void countAnswer(SoakSender sender, TimePoint sentAt, unsigned status);
    bool isUndisturbed(const SoakDaemon &daemon) const;
    std::string describeCores() const;

    const SoakDaemons &daemons;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    boost::asio::steady_timer timer;
    std::vector<Target> targets;
    std::optional<std::size_t> lastLeader;
    TimePoint lastRead;
    TimePoint plannedStopAt;
    TimePoint disturbedAt;
    TimePoint linksDisturbedAt;
    bool isUnreadReported = false;
    bool hasStopped = false;
};

} // namespace Filbertlanding
