/** @file soak_takeovers.h Workers that restart unnoticed, are cut off, and run on while another leader takes over. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_reach.h"
#include "soak/soak_timers.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Filbertlanding {

/** Plays rounds of such takeovers. It draws its own random numbers. */
class SoakTakeovers
{
public:
    SoakTakeovers(
        boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakWorkers &soakWorkers, const SoakReach &soakReach);

    void start();

    /** Begins no more rounds, and reconnects the workers. */
    void stop();

    std::uint64_t rounds = 0;

private:
    void armRound(std::chrono::milliseconds wait);
    void playRound();
    void replaceLeader();

    const SoakSettings &settings;
    SoakDaemons &daemons;
    SoakWorkers &workers;
    const SoakReach &reach;
    Random random;
    boost::asio::steady_timer timer;
    SoakTimers timers;
};

} // namespace Filbertlanding
