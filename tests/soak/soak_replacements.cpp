/** @file soak_replacements.cpp Cores that are replaced by new machines, and other losses of cores, one at a time. */

#include "soak/soak_replacements.h"

#include "core/clock_func.h"
#include "core/name_table.h"

#include <array>
#include <csignal>
#include <iostream>
#include <numeric>

namespace Filbertlanding {

namespace {

    constexpr Duration CatchUpTime{4'200}; ///< A loss counts for 4 s after the core is back or its successor has started.
    constexpr Duration MaxPause{2'500};
    constexpr Duration MaxStartDelay{1'000}; ///< Of a successor or of a core that was killed.
    constexpr Duration MaxPlannedTime{8'000}; ///< That a core and its successor run beside each other.
    constexpr Duration MaxNoticeTime{3'000}; ///< Until the other daemons, workers and operators know of a successor.
    constexpr Duration GraceTime{6'000}; ///< From SIGTERM to SIGKILL.
    constexpr Duration MinFreezeTime{300};
    constexpr Duration MaxFreezeTime{6'000};
    constexpr Duration RecoveryTime{12'000};

    /** Losses that are drawn; those that come more often are listed more than once. */
    constexpr std::array Losses{SoakLoss::Replace,
                                SoakLoss::Replace,
                                SoakLoss::Replace,
                                SoakLoss::Replace,
                                SoakLoss::Replace,
                                SoakLoss::ReplacePlanned,
                                SoakLoss::ReplacePlanned,
                                SoakLoss::ReplacePlanned,
                                SoakLoss::LoseDisk,
                                SoakLoss::LoseDiskKillAll,
                                SoakLoss::KillAll,
                                SoakLoss::Kill,
                                SoakLoss::Freeze};

    constexpr auto LossNames = makeNameTable<SoakLoss>({{SoakLoss::Replace, "replace"},
                                                        {SoakLoss::ReplacePlanned, "replace as planned"},
                                                        {SoakLoss::LoseDisk, "lose disk"},
                                                        {SoakLoss::LoseDiskKillAll, "lose disk, kill all"},
                                                        {SoakLoss::KillAll, "kill all"},
                                                        {SoakLoss::Kill, "kill"},
                                                        {SoakLoss::Freeze, "freeze"}});

} // namespace

SoakReplacements::SoakReplacements(
    boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, const SoakReach &soakReach, SoakChecks &soakChecks)
    : settings(soakSettings)
    , daemons(soakDaemons)
    , reach(soakReach)
    , checks(soakChecks)
    , random{soakSettings.seed ^ 0x5ccULL}
    , maxPause(random.below(2) == 0 ? Duration{0} : MaxPause)
    , timer(loop)
    , timers(loop)
{
}

void SoakReplacements::start()
{
    this->loseNext();
}

void SoakReplacements::stop()
{
    this->timer.cancel();
    this->timers.stop();
}

void SoakReplacements::arm()
{
    const Duration wait = CatchUpTime + drawDuration(this->random, {0}, this->maxPause);
    this->timer.expires_after(std::chrono::milliseconds(wait.ms));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->timers.hasStopped) {
            this->loseNext();
        }
    });
}

void SoakReplacements::startAfter(Duration delay, std::vector<std::size_t> cores)
{
    this->timers.revertAfter(delay, [this, cores = std::move(cores)] {
        for (const std::size_t core : cores) {
            this->daemons.start(core);
        }
        this->arm();
    });
}

void SoakReplacements::loseNext()
{
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const SoakLoss loss = Losses[this->random.below(Losses.size())];
    const std::size_t any = this->random.below(cores);
    const std::array chosen{any, (this->lastCore + 1) % cores, this->reach.leader().value_or(any)};
    const std::size_t core = chosen[this->random.below(chosen.size())];
    const Duration delay = this->random.below(2) == 0 ? Duration{0} : drawDuration(this->random, {0}, MaxStartDelay);
    this->lastCore = core;
    this->expectRead(loss);
    switch (loss) {
    case SoakLoss::Replace:
        this->replace(core, delay);
        return;
    case SoakLoss::ReplacePlanned:
        this->replacePlanned(core);
        return;
    case SoakLoss::LoseDisk:
    case SoakLoss::Kill:
        this->daemons.kill(core);
        if (loss == SoakLoss::LoseDisk) {
            this->daemons.wipeData(core);
        }
        this->startAfter(delay, {core});
        return;
    case SoakLoss::Freeze:
        this->daemons.pause(core, true);
        this->timers.revertAfter(drawDuration(this->random, MinFreezeTime, MaxFreezeTime), [this, core] {
            this->daemons.pause(core, false);
            this->arm();
        });
        return;
    default:
        this->killAll(delay);
        if (loss == SoakLoss::LoseDiskKillAll) {
            this->daemons.wipeData(core);
        }
        return;
    }
}

void SoakReplacements::expectRead(SoakLoss loss)
{
    ++this->injected[loss];
    const TimePoint lostAt = steadyNow();
    const std::string text = std::string(LossNames.nameOf(loss)) + " of core " + std::to_string(this->lastCore);
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " " << text << " (" << this->daemons.daemons[this->lastCore].name << ")" << std::endl;
    }
    this->timers.runAlwaysAfter(RecoveryTime, [this, lostAt, text, wallTime = formatWallTime(wallNow())] {
        if (this->checks.lastManifestRead < lostAt) {
            this->checks.addViolation("no read of the manifest is served for 12 s after a loss at " + wallTime + ": " + text);
        }
    });
}

void SoakReplacements::replace(std::size_t core, Duration delay)
{
    const int number = this->random.below(2) == 0 ? SIGKILL : SIGTERM;
    const bool isKilledAgain = this->random.below(4) == 0;
    this->end(this->daemons.replace(core), number);
    if (!isKilledAgain) {
        this->startAfter(delay, {core});
        return;
    }
    this->timers.revertAfter(delay, [this, core] {
        this->daemons.start(core);
    });
    this->timers.revertAfter(delay + drawDuration(this->random, {0}, CatchUpTime), [this, time = drawDuration(this->random, {0}, MaxStartDelay)] {
        if (!this->timers.hasStopped) {
            this->expectRead(SoakLoss::KillAll);
            this->killAll(time);
        }
    });
}

void SoakReplacements::replacePlanned(std::size_t core)
{
    const std::size_t other = this->daemons.replace(core);
    const int number = this->random.below(2) == 0 ? SIGKILL : SIGTERM;
    const bool isNextReplaced = this->random.below(2) == 0;
    const Duration time = drawDuration(this->random, CatchUpTime, MaxPlannedTime);
    this->daemons.start(core);
    this->daemons.exchange(core, other);
    this->timers.revertAfter(drawDuration(this->random, {0}, MaxNoticeTime), [this, core, other] {
        this->daemons.exchange(core, other);
        this->daemons.announceCores();
        this->daemons.exchange(core, other);
    });
    this->timers.revertAfter(time, [this, other, core, number, isNextReplaced] {
        this->daemons.exchange(core, other);
        this->end(other, number);
        if (!isNextReplaced || this->timers.hasStopped) {
            this->arm();
            return;
        }
        this->lastCore = (core + 1) % static_cast<std::size_t>(this->settings.cores);
        this->expectRead(SoakLoss::Replace);
        this->replace(this->lastCore, {0});
    });
}

void SoakReplacements::end(std::size_t old, int signal)
{
    this->daemons.retire(old, this->timers.hasStopped ? SIGKILL : signal);
    if (this->timers.hasStopped) {
        this->daemons.announceCores();
        return;
    }
    this->timers.revertAfter(GraceTime, [this, old] {
        this->daemons.retire(old, SIGKILL);
    });
    this->timers.revertAfter(drawDuration(this->random, {0}, MaxNoticeTime), [this] {
        this->daemons.announceCores();
    });
}

void SoakReplacements::killAll(Duration time)
{
    std::vector<std::size_t> cores(static_cast<std::size_t>(this->settings.cores));
    std::iota(cores.begin(), cores.end(), std::size_t{0});
    for (const std::size_t core : cores) {
        this->daemons.kill(core);
    }
    this->startAfter(time, cores);
}

} // namespace Filbertlanding
