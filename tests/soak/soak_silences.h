/** @file soak_silences.h Series of open connections between daemons and to workers that go silent for good while new ones work. */

#pragma once

#include "core/random.h"
#include "soak/soak_daemons.h"
#include "soak/soak_relay.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Filbertlanding {

/** Silences connections in short series, with pauses in which the guarantees must hold again. It draws its own random numbers. */
class SoakSilences
{
public:
    SoakSilences(
        boost::asio::io_context &loop, const SoakSettings &soakSettings, const SoakDaemons &soakDaemons, SoakWorkers &soakWorkers, SoakRelay &soakRelay);

    void start();

    /** Silences no more connections. Those that are silent stay so. */
    void stop();

    std::uint64_t injected = 0;
    std::function<void()> onInjected;

private:
    void arm(std::chrono::milliseconds wait);
    void silence();

    const SoakSettings &settings;
    const SoakDaemons &daemons;
    SoakWorkers &workers;
    SoakRelay &relay;
    Random random;
    boost::asio::steady_timer timer;
    std::uint64_t leftInSeries = 0;
};

} // namespace Filbertlanding
