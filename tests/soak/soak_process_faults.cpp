/** @file soak_process_faults.cpp Faults of processes that come in series and overlap. */

#include "soak/soak_process_faults.h"

#include "core/clock_func.h"
#include "core/name_table.h"
#include "soak/soak_client.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;

    constexpr Duration MinGap{100}; ///< Between two faults.
    constexpr Duration MaxGap{900};
    constexpr std::array<int, 6> VolleySizes{1, 2, 3, 20, 100, 200};
    constexpr Duration MaxVolleyTime{20};
    constexpr Duration MinStartDelay{1}; ///< Of the first signal after a start.
    constexpr Duration MaxStartDelay{20};
    constexpr std::uint64_t SignalledStartEvery = 3;
    constexpr Duration MaxHalfFileTime{400};
    constexpr Duration SlowCycle{100};
    constexpr Duration EntryRunTime{10}; ///< Of each cycle.
    constexpr Duration CoreRunTime{50};
    constexpr std::uint64_t MinSlowCycles = 10;
    constexpr std::uint64_t SlowCyclesRange = 40;
    constexpr Duration MetricsPortTime{6'000};
    constexpr Duration OtherPortTime{1'000};

    constexpr auto FaultNames = makeNameTable<SoakProcessFault>({{SoakProcessFault::HangupEntry, "hang up entry"},
                                                                 {SoakProcessFault::HangupCore, "hang up core"},
                                                                 {SoakProcessFault::HangupAllCores, "hang up all cores"},
                                                                 {SoakProcessFault::RestartUnderSignals, "restart under signals"},
                                                                 {SoakProcessFault::TerminateAfterStart, "terminate after start"},
                                                                 {SoakProcessFault::ChangeContacts, "change contacts"},
                                                                 {SoakProcessFault::HalfFileAtStart, "half file at start"},
                                                                 {SoakProcessFault::SlowEntry, "slow entry"},
                                                                 {SoakProcessFault::SlowCore, "slow core"},
                                                                 {SoakProcessFault::MetricsPortInUse, "metrics port in use"},
                                                                 {SoakProcessFault::PortInUse, "port in use"}});

} // namespace

SoakProcessFaults::SoakProcessFaults(asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons)
    : io(loop)
    , settings(soakSettings)
    , daemons(soakDaemons)
    , random{soakSettings.seed ^ 0x516eULL}
    , timer(loop)
    , timers(loop)
{
}

void SoakProcessFaults::start()
{
    if (this->settings.hasOnlyWorkerCrashes) {
        return;
    }
    this->daemons.hasStarted = [this](std::size_t daemon) {
        this->onStarted(daemon);
    };
    this->arm();
}

void SoakProcessFaults::stop()
{
    this->timer.cancel();
    this->timers.stop();
    this->daemons.hasStarted = {};
    const auto used = std::exchange(this->portsInUse, {});
    for (const auto &[daemon, port] : used) {
        port->close();
        this->daemons.daemons[daemon].lastKill = steadyNow();
    }
    for (const std::size_t daemon : this->slowDaemons) {
        this->daemons.slowDown(daemon, false);
    }
    for (std::size_t i = 0; i < this->daemons.daemons.size(); ++i) {
        this->daemons.writeSettings(i, SoakFileWrite::WholeInPlace);
    }
}

void SoakProcessFaults::arm()
{
    this->timer.expires_after(std::chrono::milliseconds(drawDuration(this->random, MinGap, MaxGap).ms));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->timers.hasStopped) {
            const auto kinds = static_cast<std::uint64_t>(lastEnumerator(SoakProcessFault{})) + 1;
            this->inject(static_cast<SoakProcessFault>(this->random.below(kinds)));
            this->arm();
        }
    });
}

void SoakProcessFaults::inject(SoakProcessFault fault)
{
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const auto core = static_cast<std::size_t>(this->random.below(cores));
    const std::size_t entry = cores + this->random.below(this->daemons.daemons.size() - cores);
    const std::size_t any = this->random.below(2) == 0 ? core : entry;
    ++this->injected[fault];
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " " << FaultNames.nameOf(fault) << ", core " << core << ", entry " << entry << ", any " << any << std::endl;
    }
    switch (fault) {
    case SoakProcessFault::HangupEntry:
        this->sendVolley(entry);
        return;
    case SoakProcessFault::HangupCore:
        this->sendVolley(core);
        return;
    case SoakProcessFault::HangupAllCores:
        for (std::size_t i = 0; i < cores; ++i) {
            this->sendVolley(i);
        }
        return;
    case SoakProcessFault::RestartUnderSignals:
        this->daemons.kill(any);
        this->daemons.start(any);
        this->timers.runAfter(drawDuration(this->random, MinStartDelay, MaxStartDelay), [this, any] {
            this->sendVolley(any);
        });
        return;
    case SoakProcessFault::TerminateAfterStart:
        this->daemons.kill(any);
        this->daemons.start(any);
        this->timers.runAfter(drawDuration(this->random, MinStartDelay, MaxStartDelay), [this, any] {
            this->daemons.terminate(any);
        });
        return;
    case SoakProcessFault::ChangeContacts:
        this->changeContacts(any);
        return;
    case SoakProcessFault::HalfFileAtStart:
        this->startWithHalfFile(any);
        return;
    case SoakProcessFault::SlowEntry:
    case SoakProcessFault::SlowCore: {
        const std::size_t slow = fault == SoakProcessFault::SlowEntry ? entry : core;
        const std::uint64_t cycles = MinSlowCycles + this->random.below(SlowCyclesRange);
        if (this->slowDaemons.insert(slow).second) {
            this->slowDown(slow, slow == entry ? EntryRunTime : CoreRunTime, cycles);
        }
        return;
    }
    case SoakProcessFault::MetricsPortInUse:
        this->occupyPort(any, SoakPort::Metrics, MetricsPortTime);
        return;
    default:
        this->occupyPort(any, this->random.below(2) == 0 ? SoakPort::Peer : SoakPort::Requests, OtherPortTime);
        return;
    }
}

void SoakProcessFaults::hangUp(std::size_t daemon)
{
    if (this->daemons.hasBegun(daemon)) {
        this->daemons.signal(daemon, SIGHUP);
    }
}

void SoakProcessFaults::sendVolley(std::size_t daemon)
{
    if (this->daemons.daemons[daemon].process != nullptr && !this->daemons.hasBegun(daemon)) {
        this->timers.runAfter(MinStartDelay, [this, daemon] {
            this->sendVolley(daemon);
        });
        return;
    }
    const int signals = VolleySizes[this->random.below(VolleySizes.size())];
    const bool isAtOnce = this->random.below(2) == 0;
    for (int i = 0; i < signals; ++i) {
        if (isAtOnce) {
            this->hangUp(daemon);
            continue;
        }
        this->timers.runAfter(drawDuration(this->random, {0}, MaxVolleyTime), [this, daemon] {
            this->hangUp(daemon);
        });
    }
}

void SoakProcessFaults::onStarted(std::size_t daemon)
{
    if (this->random.below(SignalledStartEvery) == 0) {
        this->timers.runAfter(drawDuration(this->random, MinStartDelay, MaxStartDelay), [this, daemon] {
            this->sendVolley(daemon);
        });
    }
}

void SoakProcessFaults::changeContacts(std::size_t daemon)
{
    std::vector<std::size_t> all(static_cast<std::size_t>(this->settings.cores));
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i] = i;
        std::swap(all[i], all[this->random.below(i + 1)]);
    }
    all.resize(1 + this->random.below(all.size()));
    this->daemons.daemons[daemon].contacts = all;
    const bool isSignalled = this->random.below(2) == 0;
    const auto write = [this, daemon, isSignalled](SoakFileWrite how) {
        this->daemons.writeSettings(daemon, how);
        if (isSignalled) {
            this->hangUp(daemon);
        }
    };
    if (this->random.below(2) == 0) {
        write(SoakFileWrite::Renamed);
        return;
    }
    write(SoakFileWrite::FirstHalfInPlace);
    this->timers.runAfter(drawDuration(this->random, {0}, MaxHalfFileTime), [write] {
        write(SoakFileWrite::WholeInPlace);
    });
}

void SoakProcessFaults::startWithHalfFile(std::size_t daemon)
{
    this->daemons.kill(daemon);
    this->daemons.writeSettings(daemon, SoakFileWrite::FirstHalfInPlace);
    this->daemons.startProcess(daemon);
    this->timers.runAfter(drawDuration(this->random, {0}, MaxHalfFileTime), [this, daemon] {
        this->daemons.writeSettings(daemon, SoakFileWrite::WholeInPlace);
    });
}

void SoakProcessFaults::slowDown(std::size_t daemon, Duration running, std::uint64_t cyclesLeft)
{
    if (cyclesLeft == 0) {
        this->slowDaemons.erase(daemon);
        return;
    }
    this->daemons.slowDown(daemon, true);
    this->timers.runAfter(SlowCycle - running, [this, daemon, running, cyclesLeft] {
        this->daemons.slowDown(daemon, false);
        this->timers.runAfter(running, [this, daemon, running, cyclesLeft] {
            this->slowDown(daemon, running, cyclesLeft - 1);
        });
    });
}

void SoakProcessFaults::occupyPort(std::size_t daemon, SoakPort port, Duration time)
{
    if (this->portsInUse.contains(daemon)) {
        return;
    }
    this->daemons.kill(daemon);
    const HttpAddress address = soakAddressOf(this->daemons.addressOf(daemon, port));
    const Port acceptor = std::make_shared<asio::ip::tcp::acceptor>(this->io, asio::ip::tcp::endpoint{asio::ip::make_address(address.address), address.port});
    this->portsInUse.emplace(daemon, acceptor);
    this->daemons.start(daemon);
    this->timers.runAfter(time, [this, daemon, acceptor] {
        this->release(daemon, acceptor);
    });
}

void SoakProcessFaults::release(std::size_t daemon, const Port &port)
{
    port->close();
    this->portsInUse.erase(daemon);
    // Requests that the other process has taken are lost.
    this->daemons.daemons[daemon].lastKill = steadyNow();
}

} // namespace Filbertlanding
