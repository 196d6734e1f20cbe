/** @file soak_replacements.h Cores that are replaced by new machines, and other losses of cores, one at a time. */

#pragma once

#include "core/random.h"
#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"
#include "soak/soak_reach.h"
#include "soak/soak_timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Filbertlanding {

/** Kinds of losses. */
enum class SoakLoss : std::uint8_t {
    Replace, ///< A core ends for good; its successor starts at once or within a second. All cores may be killed soon after that.
    ReplacePlanned, ///< The successor starts first; when the old core ends, the core of the next zone may be replaced.
    LoseDisk, ///< At the same address.
    LoseDiskKillAll, ///< All cores are killed, and one comes back with an empty disk.
    KillAll,
    Kill,
    Freeze,
};

constexpr SoakLoss lastEnumerator(SoakLoss)
{
    return SoakLoss::Freeze;
}

/** Injects such losses, each when the platform no longer counts the one before, and checks that the manifest can be read soon after each. */
class SoakReplacements
{
public:
    SoakReplacements(
        boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, const SoakReach &soakReach, SoakChecks &soakChecks);

    void start();

    /** Injects no more losses, and reverts those that last. The reads after them are still checked. */
    void stop();

    std::map<SoakLoss, int> injected; ///< Number of injected losses by kind.

private:
    void arm();
    void loseNext();
    void expectRead(SoakLoss loss);
    void replace(std::size_t core, Duration delay);
    void replacePlanned(std::size_t core);
    void end(std::size_t old, int signal);
    void killAll(Duration time);
    void startAfter(Duration delay, std::vector<std::size_t> cores);

    const SoakSettings &settings;
    SoakDaemons &daemons;
    const SoakReach &reach;
    SoakChecks &checks;
    Random random;
    Duration maxPause; ///< From the time at which a loss no longer counts to the next one.
    boost::asio::steady_timer timer;
    SoakTimers timers;
    std::size_t lastCore = 0;
};

} // namespace Filbertlanding
