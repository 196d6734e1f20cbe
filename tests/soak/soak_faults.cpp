/** @file soak_faults.cpp Seeded random fault injection. */

#include "soak/soak_faults.h"

#include "core/clock_func.h"
#include "core/name_table.h"

#include <iostream>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;

    constexpr Duration MinFaultGap{150}; ///< Minimum time between two faults.
    constexpr std::uint64_t FaultGapRangeMs = 1'200;
    constexpr std::uint64_t WorkerCrashGapRangeMs = 800; ///< If all faults are crashes of workers.
    constexpr Duration MinFaultDuration{300};
    constexpr std::uint64_t FaultDurationRangeMs = 5'000;
    constexpr Duration CatchUpTime{6'000}; ///< A data folder may only be wiped after all cores have run undisturbed for this long.

    constexpr auto FaultNames = makeNameTable<SoakFault>({{SoakFault::KillCore, "kill core"},
                                                          {SoakFault::KillAllCores, "kill all cores"},
                                                          {SoakFault::KillEntry, "kill entry"},
                                                          {SoakFault::WipeCore, "wipe core"},
                                                          {SoakFault::TornLogWrite, "torn log write"},
                                                          {SoakFault::PauseCore, "pause core"},
                                                          {SoakFault::PauseEntry, "pause entry"},
                                                          {SoakFault::TerminateCore, "terminate core"},
                                                          {SoakFault::TerminateEntry, "terminate entry"},
                                                          {SoakFault::FullDisk, "full disk"},
                                                          {SoakFault::PartitionCore, "partition core"},
                                                          {SoakFault::PartitionOneWay, "partition one way"},
                                                          {SoakFault::SplitCores, "split cores"},
                                                          {SoakFault::DelayCore, "delay core"},
                                                          {SoakFault::ResetCore, "reset core"},
                                                          {SoakFault::BlackholeCore, "blackhole core"},
                                                          {SoakFault::CrashWorker, "crash worker"},
                                                          {SoakFault::IsolateWorker, "isolate worker"},
                                                          {SoakFault::RestartIsolatedWorker, "restart isolated worker"},
                                                          {SoakFault::HangWorker, "hang worker"},
                                                          {SoakFault::ResetWorker, "reset worker"},
                                                          {SoakFault::DelayOrders, "delay orders"},
                                                          {SoakFault::DropResponses, "drop responses"}});

} // namespace

SoakFaults::SoakFaults(asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakRelay &soakRelay, SoakWorkers &soakWorkers)
    : settings(soakSettings)
    , daemons(soakDaemons)
    , relay(soakRelay)
    , workers(soakWorkers)
    , random{soakSettings.seed}
    , timer(loop)
    , timers(loop)
{
}

void SoakFaults::start()
{
    this->linksHealthySince = steadyNow();
    this->armNext();
}

void SoakFaults::armNext()
{
    const std::uint64_t gapRange = this->settings.hasOnlyWorkerCrashes ? WorkerCrashGapRangeMs : FaultGapRangeMs;
    this->timer.expires_after(std::chrono::milliseconds(MinFaultGap.ms + static_cast<std::int64_t>(this->random.below(gapRange))));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->timers.hasStopped) {
            this->injectNext();
        }
    });
}

void SoakFaults::injectNext()
{
    const auto kinds = static_cast<std::uint64_t>(lastEnumerator(SoakFault{})) + 1;
    const auto drawn = static_cast<SoakFault>(this->random.below(kinds));
    this->inject(this->settings.hasOnlyWorkerCrashes ? SoakFault::CrashWorker : drawn);
    this->armNext();
}

void SoakFaults::revertAll()
{
    this->timer.cancel();
    this->timers.stop();
}

bool SoakFaults::canLoseDisk() const
{
    return this->daemons.areCoresHealthy(CatchUpTime) && steadyNow() - this->linksHealthySince >= CatchUpTime;
}

void SoakFaults::inject(SoakFault fault)
{
    const auto core = static_cast<std::size_t>(this->random.below(static_cast<std::uint64_t>(this->settings.cores)));
    const auto entry = static_cast<std::size_t>(this->settings.cores) + this->random.below(static_cast<std::uint64_t>(this->settings.entries));
    const Duration duration = MinFaultDuration + Duration{static_cast<std::int64_t>(this->random.below(FaultDurationRangeMs))};
    if (fault == SoakFault::WipeCore && !this->canLoseDisk()) {
        fault = SoakFault::KillCore;
    }
    ++this->injected[fault];
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " " << FaultNames.nameOf(fault) << " for " << duration.ms << " ms, core " << core << ", entry " << entry
                  << std::endl;
    }
    if (fault <= SoakFault::FullDisk) {
        this->injectOnProcess(fault, core, entry, duration);
    } else if (fault <= SoakFault::BlackholeCore) {
        this->injectOnLinks(fault, core, duration);
    } else {
        this->injectOnWorkers(fault, duration);
    }
}

void SoakFaults::restartAfter(std::size_t daemon, Duration duration)
{
    this->timers.revertAfter(duration, [this, daemon] {
        this->daemons.start(daemon);
    });
}

void SoakFaults::killCore(std::size_t core, Duration duration)
{
    this->daemons.kill(core);
    this->restartAfter(core, duration);
}

void SoakFaults::injectOnProcess(SoakFault fault, std::size_t core, std::size_t entry, Duration duration)
{
    switch (fault) {
    case SoakFault::KillAllCores:
        for (std::size_t i = 0; i < static_cast<std::size_t>(this->settings.cores); ++i) {
            this->killCore(i, MinFaultDuration);
        }
        return;
    case SoakFault::WipeCore:
        this->daemons.kill(core);
        this->daemons.wipeData(core);
        this->restartAfter(core, MinFaultDuration);
        return;
    case SoakFault::TornLogWrite:
        this->killCore(core, duration);
        this->daemons.appendTornRecord(core);
        return;
    case SoakFault::KillEntry:
        this->killCore(entry, MinFaultDuration);
        return;
    case SoakFault::PauseCore:
    case SoakFault::PauseEntry: {
        const std::size_t paused = fault == SoakFault::PauseCore ? core : entry;
        this->daemons.pause(paused, true);
        this->timers.revertAfter(duration, [this, paused] {
            this->daemons.pause(paused, false);
        });
        return;
    }
    case SoakFault::TerminateCore:
        this->daemons.terminate(core);
        return;
    case SoakFault::TerminateEntry:
        this->daemons.terminate(entry);
        return;
    case SoakFault::FullDisk:
        this->daemons.setFileSizeLimit(core, 0);
        this->daemons.setDiskImpaired(core, true);
        this->timers.revertAfter(duration, [this, core] {
            this->daemons.setFileSizeLimit(core, RLIM_INFINITY);
            this->daemons.setDiskImpaired(core, false);
        });
        return;
    default:
        this->killCore(core, duration);
        return;
    }
}

void SoakFaults::blockTraffic(std::size_t from, std::size_t to, Duration duration)
{
    const std::string sender = this->daemons.daemons[from].address;
    const std::string receiver = this->daemons.daemons[to].address;
    this->relay.setBlocked(sender, receiver, true);
    this->timers.revertAfter(duration, [this, sender, receiver] {
        this->relay.setBlocked(sender, receiver, false);
        this->linksHealthySince = steadyNow();
    });
}

void SoakFaults::injectOnLinks(SoakFault fault, std::size_t core, Duration duration)
{
    const std::string address = this->daemons.daemons[core].address;
    this->linksHealthySince = steadyNow() + duration;
    switch (fault) {
    case SoakFault::DelayCore:
        this->relay.setDelay(address, Duration{20 + static_cast<std::int64_t>(this->random.below(200))});
        this->timers.revertAfter(duration, [this, address] {
            this->relay.setDelay(address, Duration{0});
        });
        return;
    case SoakFault::ResetCore:
        this->relay.resetConnections(address);
        return;
    case SoakFault::BlackholeCore:
        this->relay.blackhole(address);
        return;
    default:
        break;
    }
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const std::size_t last = fault == SoakFault::SplitCores ? cores : this->daemons.daemons.size();
    for (std::size_t other = 0; other < last; ++other) {
        // Cores in the same half stay connected to each other.
        const bool isSameHalf = fault == SoakFault::SplitCores && (other < cores / 2) == (core < cores / 2);
        if (other == core || isSameHalf) {
            continue;
        }
        this->blockTraffic(core, other, duration);
        if (fault != SoakFault::PartitionOneWay) {
            this->blockTraffic(other, core, duration);
        }
    }
}

void SoakFaults::injectOnWorkers(SoakFault fault, Duration duration)
{
    const auto worker = static_cast<std::size_t>(this->random.below(this->workers.count()));
    switch (fault) {
    case SoakFault::CrashWorker:
        if (this->random.below(2) == 0) {
            this->workers.crash(worker, true);
            return;
        }
        this->workers.crash(worker, false);
        this->timers.revertAfter(duration, [this, worker] {
            this->workers.crash(worker, true);
        });
        return;
    case SoakFault::IsolateWorker:
    case SoakFault::RestartIsolatedWorker:
        this->workers.setIsolated(worker, true);
        if (fault == SoakFault::RestartIsolatedWorker) {
            this->workers.crash(worker, true);
        }
        this->timers.revertAfter(duration * 2, [this, worker] {
            this->workers.setIsolated(worker, false);
        });
        return;
    case SoakFault::HangWorker:
        this->workers.setHanging(worker, true);
        this->timers.revertAfter(duration, [this, worker] {
            this->workers.setHanging(worker, false);
        });
        return;
    case SoakFault::ResetWorker:
        this->workers.resetConnections(worker);
        return;
    case SoakFault::DelayOrders:
        this->workers.setDelayedOrderPercent(10);
        this->timers.revertAfter(duration, [this] {
            this->workers.setDelayedOrderPercent(0);
        });
        return;
    default:
        this->workers.setDroppedResponsePercent(20);
        this->timers.revertAfter(duration, [this] {
            this->workers.setDroppedResponsePercent(0);
        });
        return;
    }
}

} // namespace Filbertlanding
