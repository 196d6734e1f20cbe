/** @file soak_services.h A queue whose route moves between two services, and the check that its tasks start at workers of the right one. */

#pragma once

#include "core/random.h"
#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"
#include "soak/soak_manifests.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Filbertlanding {

/** Moves the route every few seconds. It draws its own random numbers. */
class SoakServices
{
public:
    SoakServices(boost::asio::io_context &loop, std::uint64_t seed, const SoakDaemons &soakDaemons, SoakManifests &soakManifests, SoakChecks &soakChecks);

    void start();

    /** Moves the route no more. */
    void stop();

    /** A worker of a service has started a task on an order that was not delayed. */
    void onStarted(const ServiceName &service, const TaskName &task);

    std::uint64_t checkedStarts = 0; ///< Starts of such tasks when only one service was allowed.
    std::uint64_t moves = 0;

private:
    void arm();

    const SoakDaemons &daemons;
    SoakManifests &manifests;
    SoakChecks &checks;
    Random random;
    boost::asio::steady_timer timer;
};

} // namespace Filbertlanding
