/** @file soak_replica_checks.h Checks that no fault of a disk or a limit outlasts its cause. */

#pragma once

#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"
#include "soak/soak_loop_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <vector>

namespace Filbertlanding {

/** Reads the metrics and the manifest of all cores at short intervals. */
class SoakReplicaChecks
{
public:
    SoakReplicaChecks(boost::asio::io_context &loop, const SoakDaemons &soakDaemons, const SoakLoopWatch &loopWatch, SoakChecks &soakChecks);

    /** Starts the checks; they go on until the end of the run. */
    void start();

    int recoveries = 0; ///< Cores that ran again after a fault or a start.
    Duration longestRecovery; ///< Longest time from the end of a fault until the metrics say that the replica runs.
    Duration longestUnread; ///< Longest time without a read of the manifest while at most the tolerated number of cores was impaired.

private:
    /** What is known of a core since its disk was last sound. */
    struct Core {
        TimePoint soundSince;
        std::optional<TimePoint> runningSince; ///< When the first answer that says that the replica runs was asked for.
        bool isReported = false;
        TimePoint cutReportedFor; ///< Start of the last process for which a call without an answer was reported.
    };

    void arm();
    void readMetrics(std::size_t core);
    void readManifest(std::size_t core);
    void onMetrics(std::size_t core, TimePoint sentAt, const HttpExchange &exchange);
    void onManifest(std::size_t core, TimePoint sentAt, const HttpExchange &exchange);
    void checkReads();
    void update(std::size_t core);

    const SoakDaemons &daemons;
    const SoakLoopWatch &watch;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    boost::asio::steady_timer timer;
    std::vector<Core> cores;
    TimePoint startedAt; ///< Start of the checks.
    TimePoint calmSince; ///< No more than the tolerated number of cores has been impaired since then.
    TimePoint lastRead;
    bool isUnreadReported = false;
};

} // namespace Filbertlanding
