/** @file soak_reach_faults.cpp Faults that leave a daemon running while callers cannot reach it, and planned stops of the leader. */

#include "soak/soak_reach_faults.h"

#include "core/clock_func.h"
#include "core/name_table.h"
#include "soak/soak_client.h"

#include <iostream>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;

    constexpr Duration MinGap{500}; ///< Between two faults.
    constexpr Duration MaxGap{5'000};
    constexpr Duration MinPortTime{3'000};
    constexpr Duration MaxPortTime{20'000};
    constexpr Duration MinCatchUpTime{1'000}; ///< From the restart without the port until the leader ends.
    constexpr Duration MaxCatchUpTime{3'000};
    constexpr Duration MinCrowdTime{6'000};
    constexpr Duration MaxCrowdTime{12'000};
    constexpr Duration MinStopGap{500}; ///< Between two planned stops in series.
    constexpr Duration MaxStopGap{4'000};
    constexpr std::uint64_t MaxStops = 3;
    constexpr Duration MaxPauseLead{300}; ///< From the suspension of another core until the leader stops.
    constexpr Duration MinPauseTime{500};
    constexpr Duration MaxPauseTime{4'000};
    constexpr rlim_t DescriptorLimit = 300;
    constexpr std::size_t CrowdSize = 340;

    constexpr auto FaultNames = makeNameTable<SoakReachFault>({{SoakReachFault::ControlPortTaken, "control port taken"},
                                                               {SoakReachFault::CrowdAtLeader, "crowd at leader"},
                                                               {SoakReachFault::CrowdAtEntry, "crowd at entry"},
                                                               {SoakReachFault::CrowdAtReadiness, "crowd at readiness port"},
                                                               {SoakReachFault::StopLeader, "stop leader"},
                                                               {SoakReachFault::StopLeaderPauseOther, "stop leader, pause other"},
                                                               {SoakReachFault::StopEntry, "stop entry"}});

    /** Another program at a port. It accepts connections, and closes each at once or lets it wait. */
    class OtherProgram : public std::enable_shared_from_this<OtherProgram>
    {
    public:
        OtherProgram(asio::io_context &loop, const HttpAddress &address, bool closesConnections)
            : acceptor(loop, {asio::ip::make_address(address.address), address.port})
            , isClosing(closesConnections)
        {
        }

        void accept()
        {
            this->acceptor.async_accept([self = this->shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                if (!self->isClosing) {
                    self->accepted.push_back(std::move(socket));
                }
                self->accept();
            });
        }

        void close()
        {
            this->acceptor.close();
            this->accepted.clear();
        }

    private:
        asio::ip::tcp::acceptor acceptor;
        std::vector<asio::ip::tcp::socket> accepted;
        bool isClosing;
    };

} // namespace

SoakReachFaults::SoakReachFaults(asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons, SoakReach &soakReach)
    : io(loop)
    , settings(soakSettings)
    , daemons(soakDaemons)
    , reach(soakReach)
    , random{soakSettings.seed ^ 0x4eacULL}
    , run(static_cast<SoakReachRun>(random.below(static_cast<std::uint64_t>(lastEnumerator(SoakReachRun{})) + 1)))
    , timer(loop)
    , timers(loop)
{
}

void SoakReachFaults::start()
{
    const auto limit = [this](std::size_t daemon) {
        this->daemons.setDescriptorLimit(daemon, DescriptorLimit);
    };
    for (std::size_t i = 0; i < this->daemons.daemons.size(); ++i) {
        limit(i);
    }
    this->daemons.hasStarted = limit;
    this->arm();
}

void SoakReachFaults::stop()
{
    this->timer.cancel();
    this->timers.stop();
    if (this->run == SoakReachRun::PlannedStops) {
        this->reach.checkPlannedStops();
    }
}

void SoakReachFaults::arm()
{
    this->timer.expires_after(std::chrono::milliseconds(drawDuration(this->random, MinGap, MaxGap).ms));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error || this->timers.hasStopped) {
            return;
        }
        if (this->run != SoakReachRun::OneByOne || !this->timers.hasReverts()) {
            this->inject(this->draw());
        }
        this->arm();
    });
}

SoakReachFault SoakReachFaults::draw()
{
    const auto kinds = static_cast<std::uint64_t>(lastEnumerator(SoakReachFault{})) + 1;
    const auto drawn = static_cast<SoakReachFault>(this->random.below(kinds));
    if (this->run != SoakReachRun::PlannedStops) {
        return drawn;
    }
    return this->random.below(2) == 0 ? SoakReachFault::StopLeader : SoakReachFault::StopEntry;
}

void SoakReachFaults::inject(SoakReachFault fault)
{
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const auto core = static_cast<std::size_t>(this->random.below(cores));
    const std::size_t entry = cores + this->random.below(this->daemons.daemons.size() - cores);
    const std::size_t leader = this->reach.leader().value_or(core);
    ++this->injected[fault];
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " " << FaultNames.nameOf(fault) << ", core " << core << ", entry " << entry << ", leader " << leader
                  << std::endl;
    }
    switch (fault) {
    case SoakReachFault::ControlPortTaken:
        this->takeControlPort(core);
        return;
    case SoakReachFault::CrowdAtLeader:
        this->gather(leader, SoakPort::Requests);
        return;
    case SoakReachFault::CrowdAtEntry:
        this->gather(entry, SoakPort::Requests);
        return;
    case SoakReachFault::CrowdAtReadiness:
        this->gather(this->random.below(2) == 0 ? core : entry, SoakPort::Readiness);
        return;
    case SoakReachFault::StopLeader:
        this->stopLeader(1 + this->random.below(MaxStops));
        return;
    case SoakReachFault::StopEntry:
        this->daemons.terminate(entry);
        return;
    default:
        this->stopLeaderPauseOther();
        return;
    }
}

void SoakReachFaults::takeControlPort(std::size_t core)
{
    const bool closesConnections = this->random.below(2) == 0;
    const bool endsLeader = this->random.below(4) != 0;
    const Duration catchUpTime = drawDuration(this->random, MinCatchUpTime, MaxCatchUpTime);
    const Duration time = drawDuration(this->random, MinPortTime, MaxPortTime);
    if (std::exchange(this->hasTakenPort, true)) {
        return;
    }
    this->reach.onDisturbance();
    this->daemons.kill(core);
    const auto other = std::make_shared<OtherProgram>(this->io, soakAddressOf(this->daemons.addressOf(core, SoakPort::Requests)), closesConnections);
    other->accept();
    this->daemons.daemons[core].isPortTaken = true;
    this->daemons.start(core);
    if (endsLeader) {
        this->timers.runAfter(catchUpTime, [this, core] {
            this->endLeaderBut(core);
        });
    }
    this->timers.revertAfter(time, [this, core, other] {
        other->close();
        this->hasTakenPort = false;
        this->reach.onDisturbance();
        SoakDaemon &daemon = this->daemons.daemons[core];
        daemon.isPortTaken = false;
        daemon.lastKill = steadyNow();
        daemon.upSince = daemon.process == nullptr ? std::nullopt : std::optional(steadyNow());
    });
}

void SoakReachFaults::endLeaderBut(std::size_t core)
{
    const std::optional<std::size_t> leader = this->reach.leader();
    if (!leader || *leader == core) {
        return;
    }
    if (this->random.below(2) == 0) {
        this->daemons.terminate(*leader);
        return;
    }
    this->daemons.kill(*leader);
    this->daemons.start(*leader);
}

void SoakReachFaults::gather(std::size_t daemon, SoakPort port)
{
    const Duration time = drawDuration(this->random, MinCrowdTime, MaxCrowdTime);
    const std::pair place{daemon, port};
    if (!this->crowded.insert(place).second) {
        return;
    }
    this->reach.onDisturbance();
    const auto crowd = std::make_shared<SoakCrowd>(this->io, soakAddressOf(this->daemons.addressOf(daemon, port)));
    crowd->start(CrowdSize);
    this->timers.revertAfter(time, [this, crowd, place] {
        crowd->stop();
        this->crowded.erase(place);
        this->reach.onDisturbance();
    });
}

void SoakReachFaults::stopLeader(std::uint64_t stopsLeft)
{
    const std::optional<std::size_t> leader = this->reach.leader();
    if (!leader || stopsLeft == 0) {
        return;
    }
    this->reach.onPlannedStop();
    this->daemons.terminate(*leader);
    this->timers.runAfter(drawDuration(this->random, MinStopGap, MaxStopGap), [this, stopsLeft] {
        this->stopLeader(stopsLeft - 1);
    });
}

void SoakReachFaults::stopLeaderPauseOther()
{
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const std::size_t distance = 1 + this->random.below(cores - 1);
    const Duration lead = drawDuration(this->random, {0}, MaxPauseLead);
    const Duration time = lead + drawDuration(this->random, MinPauseTime, MaxPauseTime);
    const std::optional<std::size_t> leader = this->reach.leader();
    if (!leader) {
        return;
    }
    const std::size_t paused = (*leader + distance) % cores;
    this->reach.onDisturbance();
    this->daemons.pause(paused, true);
    this->timers.runAfter(lead, [this, stopped = *leader] {
        this->daemons.terminate(stopped);
    });
    this->timers.revertAfter(time, [this, paused] {
        this->daemons.pause(paused, false);
        this->reach.onDisturbance();
    });
}

} // namespace Filbertlanding
