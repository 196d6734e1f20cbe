/** @file soak_takeovers.cpp Workers that restart unnoticed, are cut off, and run on while another leader takes over. */

#include "soak/soak_takeovers.h"

#include "core/clock_func.h"

#include <iostream>

namespace Filbertlanding {

namespace {

    constexpr std::uint64_t WorkersInRound = 3;
    constexpr std::uint64_t RestartLeadRangeMs = 1'500; ///< From the restart of the workers until they are cut off.
    constexpr Duration LeaderDownTime{400};
    constexpr Duration CutTime{12'500}; ///< The longest lease, and the time until a leader has taken over.
    constexpr std::chrono::milliseconds FirstRound{3'000};
    constexpr std::chrono::milliseconds RoundInterval{17'000};

} // namespace

SoakTakeovers::SoakTakeovers(
    boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakWorkers &soakWorkers, const SoakReach &soakReach)
    : settings(soakSettings)
    , daemons(soakDaemons)
    , workers(soakWorkers)
    , reach(soakReach)
    , random{soakSettings.seed ^ 0x7a4eULL}
    , timer(loop)
    , timers(loop)
{
}

void SoakTakeovers::start()
{
    this->armRound(FirstRound);
}

void SoakTakeovers::stop()
{
    this->timer.cancel();
    this->timers.stop();
}

void SoakTakeovers::armRound(std::chrono::milliseconds wait)
{
    this->timer.expires_after(wait);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->playRound();
            this->armRound(RoundInterval);
        }
    });
}

void SoakTakeovers::playRound()
{
    ++this->rounds;
    std::vector<std::size_t> lost;
    for (std::uint64_t i = 0; i < WorkersInRound; ++i) {
        lost.push_back(this->random.below(this->workers.count()));
        this->workers.losePower(lost.back());
    }
    const Duration lead{static_cast<std::int64_t>(this->random.below(RestartLeadRangeMs))};
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " takeover, workers " << lost[0] << ", " << lost[1] << ", " << lost[2] << ", cut after " << lead.ms << " ms"
                  << std::endl;
    }
    this->timers.runAfter(lead, [this, lost] {
        for (const std::size_t worker : lost) {
            this->workers.setIsolated(worker, true);
            this->timers.revertAfter(CutTime, [this, worker] {
                this->workers.setIsolated(worker, false);
            });
        }
        this->replaceLeader();
    });
}

void SoakTakeovers::replaceLeader()
{
    const auto leader = this->reach.leader();
    if (!leader) {
        return;
    }
    this->daemons.kill(*leader);
    this->timers.revertAfter(LeaderDownTime, [this, leader] {
        this->daemons.start(*leader);
    });
}

} // namespace Filbertlanding
