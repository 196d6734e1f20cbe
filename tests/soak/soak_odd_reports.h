/** @file soak_odd_reports.h Another writer that leaves odd entries among the status reports of the workers. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Filbertlanding {

/**
 * Sends reports that name no worker to use, under names of their own and under those of sound workers. None of them may be acknowledged. It draws its
 * own random numbers, so that the faults of a seed stay the same.
 */
class SoakOddReports
{
public:
    SoakOddReports(boost::asio::io_context &loop, const SoakSettings &soakSettings, const SoakWorkers &soakWorkers, SoakChecks &soakChecks);

    /** Starts to send. The control addresses have the form "IP:port" and may change later. */
    void start(const std::vector<std::string> &controlAddresses);

    /** Sends no more reports. */
    void stop();

    std::uint64_t sent = 0;
    std::uint64_t refused = 0; ///< Answered with an error of the sender.

private:
    void arm();
    void sendBurst();
    void send(const std::string &target, const std::string &body, const std::string &to, int redirectsLeft);
    std::string drawBody(bool hasSoundName, std::size_t worker);

    const SoakWorkers &workers;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    const std::vector<std::string> *controls = nullptr; ///< Changes when a core is replaced.
    boost::asio::steady_timer timer;
    bool hasStopped = false;
};

} // namespace Filbertlanding
