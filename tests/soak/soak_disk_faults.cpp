/** @file soak_disk_faults.cpp Faults of the disks and limits of cores, in series that overlap with each other and with restarts. */

#include "soak/soak_disk_faults.h"

#include "core/clock_func.h"
#include "core/name_table.h"

#include <sys/file.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace Filbertlanding {

namespace {

    constexpr std::uint64_t MaxSeries = 8;
    constexpr Duration MaxGap{900}; ///< Between two faults of a series.
    constexpr Duration MinFaultTime{300};
    constexpr Duration MaxFaultTime{5'000};
    constexpr Duration MaxShortPause{1'000}; ///< Between the end of the last fault of a series and the next series.
    constexpr Duration CatchUpTime{4'200}; ///< A loss counts for 4 s after the core is back.
    constexpr Duration MaxLongPause{5'500};
    constexpr Duration WatchInterval{100};
    constexpr Duration MaxStartDelay{500};
    constexpr Duration MaxNoticeTime{3'000}; ///< Until the other daemons, workers and operators know of a successor.
    constexpr Duration GraceTime{6'000}; ///< From SIGTERM to SIGKILL.
    constexpr std::uint64_t FreeBytesRange = 16'384; ///< Of a disk that is nearly full.
    constexpr rlim_t MinDescriptors = 10;
    constexpr std::uint64_t DescriptorsRange = 30;

    constexpr auto FaultNames = makeNameTable<SoakDiskFault>({{SoakDiskFault::FullDisk, "full disk"},
                                                              {SoakDiskFault::NearlyFullDisk, "nearly full disk"},
                                                              {SoakDiskFault::FullDiskAtStart, "full disk at start"},
                                                              {SoakDiskFault::AllDisksFull, "all disks full"},
                                                              {SoakDiskFault::FolderInUse, "folder in use"},
                                                              {SoakDiskFault::FewDescriptors, "few descriptors"},
                                                              {SoakDiskFault::KillCore, "kill core"},
                                                              {SoakDiskFault::TerminateCore, "terminate core"},
                                                              {SoakDiskFault::KillAllCores, "kill all cores"},
                                                              {SoakDiskFault::ReplaceCore, "replace core"}});

    rlim_t lowest(const std::multiset<rlim_t> &limits)
    {
        return limits.empty() ? RLIM_INFINITY : *limits.begin();
    }

} // namespace

SoakDiskFaults::SoakDiskFaults(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakDaemons &soakDaemons)
    : settings(soakSettings)
    , daemons(soakDaemons)
    , random{soakSettings.seed ^ 0xd15cULL}
    , timers(loop)
{
}

void SoakDiskFaults::start()
{
    this->daemons.hasStarted = [this](std::size_t daemon) {
        this->apply(daemon);
    };
    this->beginSeries();
}

void SoakDiskFaults::stop()
{
    this->timers.stop();
}

void SoakDiskFaults::beginSeries()
{
    const auto &all = this->daemons.daemons;
    const bool isAnyImpaired = std::any_of(all.begin(), all.end(), [](const SoakDaemon &daemon) {
        return daemon.isDiskImpaired;
    });
    if (isAnyImpaired) {
        this->timers.runAfter(WatchInterval, [this] {
            this->beginSeries();
        });
        return;
    }
    const Duration pause = this->random.below(2) == 0 ? drawDuration(this->random, {0}, MaxShortPause) : drawDuration(this->random, CatchUpTime, MaxLongPause);
    this->timers.runAfter(pause, [this] {
        this->leftInSeries = 1 + this->random.below(MaxSeries);
        const bool isReplacementDrawn = this->random.below(2) == 0;
        if (isReplacementDrawn && this->daemons.areCoresHealthy(CatchUpTime)) {
            this->inject(SoakDiskFault::ReplaceCore);
        }
        this->injectNext();
    });
}

void SoakDiskFaults::injectNext()
{
    if (this->leftInSeries == 0) {
        this->beginSeries();
        return;
    }
    --this->leftInSeries;
    // Replacements only begin a series.
    this->inject(static_cast<SoakDiskFault>(this->random.below(static_cast<std::uint64_t>(SoakDiskFault::ReplaceCore))));
    this->timers.runAfter(drawDuration(this->random, {0}, MaxGap), [this] {
        this->injectNext();
    });
}

void SoakDiskFaults::inject(SoakDiskFault fault)
{
    const auto cores = static_cast<std::size_t>(this->settings.cores);
    const auto core = static_cast<std::size_t>(this->random.below(cores));
    const Duration duration = drawDuration(this->random, MinFaultTime, MaxFaultTime);
    const std::uint64_t freeBytes = this->random.below(FreeBytesRange);
    const rlim_t descriptors = MinDescriptors + this->random.below(DescriptorsRange);
    ++this->injected[fault];
    if (this->settings.isVerbose) {
        std::cout << formatWallTime(wallNow()) << " " << FaultNames.nameOf(fault) << " for " << duration.ms << " ms, core " << core << " ("
                  << this->daemons.daemons[core].name << "), " << freeBytes << " bytes, " << descriptors << " descriptors" << std::endl;
    }
    switch (fault) {
    case SoakDiskFault::FullDisk:
        this->limit(core, &Impairment::fileSizeLimits, 0, duration);
        return;
    case SoakDiskFault::NearlyFullDisk:
        this->limit(core, &Impairment::fileSizeLimits, this->logSize(core) + freeBytes, duration);
        return;
    case SoakDiskFault::FullDiskAtStart:
        this->daemons.kill(core);
        this->limit(core, &Impairment::fileSizeLimits, 0, duration);
        this->daemons.start(core);
        return;
    case SoakDiskFault::AllDisksFull:
        for (std::size_t i = 0; i < cores; ++i) {
            this->limit(i, &Impairment::fileSizeLimits, 0, duration);
        }
        return;
    case SoakDiskFault::FolderInUse:
        this->daemons.kill(core);
        this->holdFolder(core, duration);
        this->daemons.start(core);
        return;
    case SoakDiskFault::FewDescriptors:
        this->daemons.kill(core);
        this->limit(core, &Impairment::descriptorLimits, descriptors, duration);
        this->daemons.start(core);
        return;
    case SoakDiskFault::KillCore:
        this->restart(core);
        return;
    case SoakDiskFault::TerminateCore:
        this->daemons.terminate(core);
        return;
    case SoakDiskFault::KillAllCores:
        for (std::size_t i = 0; i < cores; ++i) {
            this->restart(i);
        }
        return;
    case SoakDiskFault::ReplaceCore:
        this->replace(core);
        return;
    }
}

void SoakDiskFaults::apply(std::size_t core)
{
    SoakDaemon &daemon = this->daemons.daemons[core];
    const Impairment &impairment = this->impairments[daemon.name];
    if (std::exchange(daemon.isShortOfDescriptors, !impairment.descriptorLimits.empty()) && impairment.descriptorLimits.empty()) {
        // Calls on connections that it has closed for want of descriptors are lost.
        daemon.lastKill = steadyNow();
        daemon.upSince = daemon.process == nullptr ? std::nullopt : std::optional(steadyNow());
    }
    this->daemons.setFileSizeLimit(core, lowest(impairment.fileSizeLimits));
    this->daemons.setDescriptorLimit(core, lowest(impairment.descriptorLimits));
    this->daemons.setDiskImpaired(core, !impairment.fileSizeLimits.empty() || !impairment.descriptorLimits.empty() || impairment.locks > 0);
}

void SoakDiskFaults::impair(std::size_t core, Duration duration, const Change &begin, Change end)
{
    Impairment &impairment = this->impairments[this->daemons.daemons[core].name];
    begin(impairment);
    this->apply(core);
    this->timers.revertAfter(duration, [this, core, &impairment, end = std::move(end)] {
        end(impairment);
        this->apply(core);
    });
}

void SoakDiskFaults::limit(std::size_t core, Limits limits, rlim_t value, Duration duration)
{
    const auto begin = [limits, value](Impairment &impairment) {
        (impairment.*limits).insert(value);
    };
    this->impair(core, duration, begin, [limits, value](Impairment &impairment) {
        (impairment.*limits).extract(value);
    });
}

void SoakDiskFaults::holdFolder(std::size_t core, Duration duration)
{
    const auto path = this->daemons.dataFolder(this->daemons.daemons[core]) / "lock";
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    const auto begin = [file](Impairment &impairment) {
        ::flock(file, LOCK_EX | LOCK_NB);
        ++impairment.locks;
    };
    this->impair(core, duration, begin, [file](Impairment &impairment) {
        ::close(file);
        --impairment.locks;
    });
}

void SoakDiskFaults::restart(std::size_t core)
{
    this->daemons.kill(core);
    this->timers.revertAfter(drawDuration(this->random, {0}, MaxStartDelay), [this, core] {
        this->daemons.start(core);
    });
}

void SoakDiskFaults::replace(std::size_t core)
{
    const int number = this->random.below(2) == 0 ? SIGKILL : SIGTERM;
    const std::size_t old = this->daemons.replace(core);
    this->daemons.retire(old, number);
    this->daemons.start(core);
    this->timers.revertAfter(GraceTime, [this, old] {
        this->daemons.retire(old, SIGKILL);
    });
    this->timers.revertAfter(drawDuration(this->random, {0}, MaxNoticeTime), [this] {
        this->daemons.announceCores();
    });
}

rlim_t SoakDiskFaults::logSize(std::size_t core) const
{
    std::error_code error;
    const auto size = std::filesystem::file_size(this->daemons.dataFolder(this->daemons.daemons[core]) / "current" / "raft.log", error);
    return error ? 0 : size;
}

} // namespace Filbertlanding
