/** @file soak_silences.cpp Series of open connections that go silent for good while new ones work. */

#include "soak/soak_silences.h"

#include "core/clock_func.h"

#include <iostream>

namespace Filbertlanding {

namespace {

    constexpr std::uint64_t MaxSeries = 6;
    constexpr std::uint64_t SeriesGapRangeMs = 1'500; ///< Between two silences of a series.
    constexpr std::chrono::milliseconds MinPause{7'500}; ///< Between two series: contact, a change, and a wait with room for a task.
    constexpr std::uint64_t PauseRangeMs = 2'500;

} // namespace

SoakSilences::SoakSilences(
    boost::asio::io_context &loop, const SoakSettings &soakSettings, const SoakDaemons &soakDaemons, SoakWorkers &soakWorkers, SoakRelay &soakRelay)
    : settings(soakSettings)
    , daemons(soakDaemons)
    , workers(soakWorkers)
    , relay(soakRelay)
    , random{soakSettings.seed ^ 0x51e7ULL}
    , timer(loop)
{
}

void SoakSilences::start()
{
    this->leftInSeries = 1 + this->random.below(MaxSeries);
    this->arm(std::chrono::milliseconds(this->random.below(SeriesGapRangeMs)));
}

void SoakSilences::stop()
{
    this->timer.cancel();
}

void SoakSilences::arm(std::chrono::milliseconds wait)
{
    this->timer.expires_after(wait);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->silence();
        this->onInjected();
        if (--this->leftInSeries > 0) {
            this->arm(std::chrono::milliseconds(this->random.below(SeriesGapRangeMs)));
            return;
        }
        this->leftInSeries = 1 + this->random.below(MaxSeries);
        this->arm(MinPause + std::chrono::milliseconds(this->random.below(PauseRangeMs)));
    });
}

void SoakSilences::silence()
{
    ++this->injected;
    const std::uint64_t kind = this->random.below(5);
    const std::size_t daemon = this->random.below(this->daemons.daemons.size());
    const std::size_t worker = this->random.below(this->workers.count());
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " silence, kind " << kind << ", daemon " << daemon << ", worker " << worker << std::endl;
    }
    switch (kind) {
    case 0:
        for (const SoakDaemon &each : this->daemons.daemons) {
            this->relay.blackhole(each.address);
        }
        return;
    case 1:
        for (std::size_t i = 0; i < this->workers.count(); ++i) {
            this->workers.silenceConnections(i);
        }
        return;
    case 2:
        this->workers.silenceConnections(worker);
        return;
    default:
        // Connections of the daemon to other daemons and to workers.
        this->relay.blackhole(this->daemons.daemons[daemon].address);
        return;
    }
}

} // namespace Filbertlanding
