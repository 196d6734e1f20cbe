/** @file soak_daemons.cpp The daemons of the soak. */

#include "soak/soak_daemons.h"

#include "core/clock_func.h"

#include <boost/json.hpp>

#include <sys/resource.h>

#include <csignal>
#include <fstream>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::uint16_t PeerPort = 7'700; ///< Port of the relay; the daemon itself listens on the next port.
    constexpr std::uint16_t CallerPort = 8'100;
    constexpr std::uint16_t ControlPort = 8'101;
    constexpr std::uint16_t ReadinessPort = 8'102;
    constexpr std::uint16_t MetricsPort = 8'103;
    constexpr int MaxContacts = 3;
    constexpr Duration JoinTime{3'000}; ///< An entry that has run for this long serves callers.
    constexpr Duration ServingTime{2'000}; ///< An entry that serves callers goes on for this long after SIGTERM.
    constexpr Duration KillTimeout{10'000}; ///< Maximum time until a killed process has exited.

    /** Returns whether a set of signals in hexadecimal notation, as in /proc, holds a signal. */
    bool hasSignal(const std::string &set, int signal)
    {
        return (std::stoull(set, nullptr, 16) >> (signal - 1) & 1U) != 0;
    }

    std::string endpoint(const std::string &address, std::uint16_t port)
    {
        return address + ":" + std::to_string(port);
    }

    /** Returns whether a daemon that has just ended after SIGTERM was an entry that served callers, and did not go on to serve them. */
    bool hasEndedEarly(const SoakDaemon &daemon)
    {
        const bool hasServed = daemon.lastTermination - daemon.startedAt >= JoinTime;
        return !daemon.hasDisk && hasServed && steadyNow() - daemon.lastTermination < ServingTime;
    }

} // namespace

SoakDaemons::SoakDaemons(const SoakSettings &soakSettings, std::string loopbackPrefix, SoakRelay &soakRelay)
    : settings(soakSettings)
    , networkPrefix(std::move(loopbackPrefix))
    , relay(soakRelay)
{
    for (int i = 0; i < this->settings.cores + this->settings.entries; ++i) {
        SoakDaemon daemon;
        daemon.hasDisk = i < this->settings.cores;
        daemon.name = (daemon.hasDisk ? "core-" : "entry-") + std::to_string(i);
        daemon.address = this->networkPrefix + std::to_string(i + 1);
        daemon.zone = "z" + std::to_string(i % 3);
        for (int contact = 0; contact < std::min(MaxContacts, this->settings.cores); ++contact) {
            daemon.contacts.push_back(static_cast<std::size_t>(contact));
        }
        soakRelay.listen(daemon.address, PeerPort, PeerPort + 1);
        if (daemon.hasDisk) {
            this->controls.push_back(endpoint(daemon.address, ControlPort));
        }
        this->daemons.push_back(std::move(daemon));
    }
    this->expectedExits.resize(this->daemons.size());
}

std::filesystem::path SoakDaemons::dataFolder(const SoakDaemon &daemon) const
{
    return this->settings.folder / (daemon.name + "-data");
}

void SoakDaemons::writeSettings(std::size_t written, SoakFileWrite how, bool isFirstStart) const
{
    const SoakDaemon &daemon = this->daemons[written];
    json::array contacts;
    for (const std::size_t contact : daemon.contacts) {
        contacts.emplace_back(endpoint(this->daemons[contact].address, ControlPort));
    }
    json::object listen{{"readiness", endpoint(daemon.address, ReadinessPort)}, {"metrics", endpoint(daemon.address, MetricsPort)}};
    listen[daemon.hasDisk ? "control" : "callers"] = endpoint(daemon.address, daemon.hasDisk ? ControlPort : CallerPort);
    const json::object settingsFile{{"daemon", daemon.name},
                                    {"availabilityZone", daemon.zone},
                                    {"address", daemon.address},
                                    {"dataFolder", daemon.hasDisk ? this->dataFolder(daemon).string() : std::string()},
                                    {"firstStart", isFirstStart},
                                    {"contacts", contacts},
                                    {"availabilityZones", {"z0", "z1", "z2"}},
                                    {"listen", listen},
                                    {"peer", {{"port", PeerPort}, {"listenPort", PeerPort + 1}, {"fromOwnAddress", true}, {"key", "key of the soak"}}},
                                    {"tolerated", {{"hosts", 1}}}};
    const std::string text = json::serialize(settingsFile);
    const auto path = this->settings.folder / (daemon.name + ".json");
    if (how == SoakFileWrite::Renamed) {
        const auto replacement = this->settings.folder / (daemon.name + ".json.new");
        std::ofstream(replacement) << text;
        std::filesystem::rename(replacement, path);
        return;
    }
    std::ofstream(path) << (how == SoakFileWrite::FirstHalfInPlace ? text.substr(0, text.size() / 2) : text);
}

void SoakDaemons::startAll()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i].hasDisk) {
            std::filesystem::create_directories(this->dataFolder(this->daemons[i]));
        }
        this->start(i, true);
    }
}

void SoakDaemons::start(std::size_t daemon, bool isFirstStart)
{
    if (this->daemons[daemon].process == nullptr) {
        this->writeSettings(daemon, SoakFileWrite::WholeInPlace, isFirstStart);
        this->startProcess(daemon);
    }
}

void SoakDaemons::startProcess(std::size_t daemon)
{
    SoakDaemon &started = this->daemons[daemon];
    if (started.process != nullptr) {
        return;
    }
    const auto settingsPath = this->settings.folder / (started.name + ".json");
    const std::vector<std::string> arguments{this->settings.program, "--settings", settingsPath.string()};
    started.process = std::make_unique<ChildProcess>(arguments, this->settings.folder / (started.name + ".log"));
    started.isSuspended = false;
    started.startedAt = steadyNow();
    started.upSince = started.startedAt;
    this->expectedExits[daemon] = ExpectedExit::None;
    if (this->hasStarted) {
        this->hasStarted(daemon);
    }
}

bool SoakDaemons::hasBegun(std::size_t daemon) const
{
    const auto &process = this->daemons[daemon].process;
    if (process == nullptr) {
        return false;
    }
    std::ifstream status("/proc/" + std::to_string(process->id()) + "/status");
    std::string name;
    std::string value;
    while (status >> name && std::getline(status, value)) {
        // The cryptography library blocks nearly all signals for a moment before the first code of the program; the daemon blocks only some.
        const bool isBlocked = name == "SigBlk:" && hasSignal(value, SIGHUP) && !hasSignal(value, SIGUSR1);
        const bool isCaught = name == "SigCgt:" && hasSignal(value, SIGHUP);
        if (isBlocked || isCaught || (name == "SigIgn:" && hasSignal(value, SIGXFSZ))) {
            return true;
        }
    }
    return false;
}

void SoakDaemons::signal(std::size_t daemon, int number)
{
    if (this->daemons[daemon].process != nullptr) {
        this->daemons[daemon].process->signal(number);
    }
}

void SoakDaemons::slowDown(std::size_t daemon, bool isSuspended)
{
    SoakDaemon &slow = this->daemons[daemon];
    if (slow.process != nullptr && !slow.isSuspended) {
        slow.lastSlowDown = steadyNow();
        slow.upSince = slow.lastSlowDown;
        slow.process->signal(isSuspended ? SIGSTOP : SIGCONT);
    }
}

void SoakDaemons::kill(std::size_t daemon)
{
    SoakDaemon &killed = this->daemons[daemon];
    if (killed.process == nullptr) {
        return;
    }
    killed.process->signal(SIGKILL);
    killed.process->waitForEnd(KillTimeout);
    killed.process.reset();
    killed.upSince.reset();
    killed.lastKill = steadyNow();
}

void SoakDaemons::terminate(std::size_t daemon)
{
    SoakDaemon &terminated = this->daemons[daemon];
    if (terminated.process == nullptr) {
        return;
    }
    if (this->expectedExits[daemon] == ExpectedExit::None) {
        this->expectedExits[daemon] = this->hasBegun(daemon) ? ExpectedExit::Orderly : ExpectedExit::Any;
        terminated.lastTermination = steadyNow();
    }
    terminated.upSince = steadyNow();
    terminated.process->signal(SIGTERM);
}

std::vector<std::string> SoakDaemons::restartExited()
{
    std::vector<std::string> unexpected;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        SoakDaemon &daemon = this->daemons[i];
        const auto code = daemon.process == nullptr ? std::optional<int>() : daemon.process->waitForEnd(Duration{0});
        if (!code) {
            continue;
        }
        const bool isOrderly = *code == 0 && this->expectedExits[i] == ExpectedExit::Orderly;
        if (!isOrderly && this->expectedExits[i] != ExpectedExit::Any) {
            unexpected.push_back(daemon.name + " with code " + std::to_string(*code)
                                 + (this->expectedExits[i] == ExpectedExit::Orderly ? " after SIGTERM" : ""));
        }
        if (isOrderly && hasEndedEarly(daemon)) {
            unexpected.push_back(daemon.name + " " + std::to_string((steadyNow() - daemon.lastTermination).ms)
                                 + " ms after SIGTERM, while callers may still be sent to it");
        }
        daemon.process.reset();
        this->start(i);
    }
    this->addExitsOfReplaced(unexpected);
    return unexpected;
}

void SoakDaemons::pause(std::size_t daemon, bool isPaused)
{
    SoakDaemon &paused = this->daemons[daemon];
    if (paused.process != nullptr && paused.isSuspended != isPaused) {
        paused.isSuspended = isPaused;
        paused.upSince = steadyNow();
        paused.lastSlowDown = steadyNow();
        paused.process->signal(isPaused ? SIGSTOP : SIGCONT);
    }
}

std::size_t SoakDaemons::replace(std::size_t core)
{
    const std::size_t number = this->daemons.size() + this->replaced.size();
    SoakDaemon successor;
    successor.hasDisk = true;
    successor.name = "core-" + std::to_string(number);
    successor.address = this->networkPrefix + std::to_string(number + 1);
    successor.zone = this->daemons[core].zone;
    successor.contacts = this->daemons[core].contacts;
    this->relay.listen(successor.address, PeerPort, PeerPort + 1);
    std::filesystem::create_directories(this->dataFolder(successor));
    this->replaced.push_back(std::exchange(this->daemons[core], std::move(successor)));
    return this->replaced.size() - 1;
}

void SoakDaemons::exchange(std::size_t core, std::size_t number)
{
    std::swap(this->daemons[core], this->replaced[number]);
}

void SoakDaemons::retire(std::size_t number, int signal)
{
    SoakDaemon &old = this->replaced[number];
    if (old.process == nullptr) {
        return;
    }
    old.process->signal(signal);
    old.lastTermination = steadyNow();
    if (signal == SIGKILL) {
        old.process->waitForEnd(KillTimeout);
        old.process.reset();
    }
}

void SoakDaemons::addExitsOfReplaced(std::vector<std::string> &unexpected)
{
    for (SoakDaemon &old : this->replaced) {
        const auto code = old.process == nullptr ? std::optional<int>() : old.process->waitForEnd(Duration{0});
        if (!code) {
            continue;
        }
        if (*code != 0 || old.lastTermination == TimePoint{}) {
            unexpected.push_back(old.name + ", which was replaced, with code " + std::to_string(*code));
        }
        old.process.reset();
    }
}

void SoakDaemons::wipeData(std::size_t daemon) const
{
    std::filesystem::remove_all(this->dataFolder(this->daemons[daemon]));
    std::filesystem::create_directories(this->dataFolder(this->daemons[daemon]));
}

void SoakDaemons::appendTornRecord(std::size_t daemon) const
{
    for (const auto &entry : std::filesystem::recursive_directory_iterator(this->dataFolder(this->daemons[daemon]))) {
        if (entry.path().filename() == "raft.log") {
            std::ofstream file(entry.path(), std::ios::binary | std::ios::app);
            file << "\x07torn";
        }
    }
}

void SoakDaemons::setFileSizeLimit(std::size_t daemon, rlim_t limit)
{
    if (this->daemons[daemon].process != nullptr) {
        this->daemons[daemon].process->limit(RLIMIT_FSIZE, {limit, RLIM_INFINITY});
    }
}

void SoakDaemons::setDescriptorLimit(std::size_t daemon, rlim_t limit)
{
    rlimit own{};
    if (this->daemons[daemon].process != nullptr && ::getrlimit(RLIMIT_NOFILE, &own) == 0) {
        this->daemons[daemon].process->limit(RLIMIT_NOFILE, {std::min(limit, own.rlim_cur), own.rlim_max});
    }
}

void SoakDaemons::setDiskImpaired(std::size_t daemon, bool isImpaired)
{
    SoakDaemon &changed = this->daemons[daemon];
    if (std::exchange(changed.isDiskImpaired, isImpaired) && !isImpaired) {
        changed.diskSoundSince = steadyNow();
    }
}

bool SoakDaemons::areCoresHealthy(Duration time) const
{
    return std::all_of(this->daemons.begin(), this->daemons.end(), [time](const SoakDaemon &daemon) {
        const bool isUp = daemon.process != nullptr && !daemon.isSuspended && daemon.upSince && steadyNow() - *daemon.upSince >= time;
        return !daemon.hasDisk || (isUp && !daemon.isDiskImpaired && steadyNow() - daemon.diskSoundSince >= time);
    });
}

std::string SoakDaemons::addressOf(std::size_t daemon, SoakPort port) const
{
    const SoakDaemon &found = this->daemons[daemon];
    switch (port) {
    case SoakPort::Metrics:
        return endpoint(found.address, MetricsPort);
    case SoakPort::Peer:
        return endpoint(found.address, PeerPort + 1);
    case SoakPort::Readiness:
        return endpoint(found.address, ReadinessPort);
    case SoakPort::Requests:
        break;
    }
    return endpoint(found.address, found.hasDisk ? ControlPort : CallerPort);
}

std::vector<std::string> SoakDaemons::callerAddresses() const
{
    std::vector<std::string> result;
    for (const SoakDaemon &daemon : this->daemons) {
        if (!daemon.hasDisk) {
            result.push_back(endpoint(daemon.address, CallerPort));
        }
    }
    return result;
}

const std::vector<std::string> &SoakDaemons::controlAddresses() const
{
    return this->controls;
}

void SoakDaemons::announceCores()
{
    this->controls.clear();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i].hasDisk) {
            this->controls.push_back(this->addressOf(i, SoakPort::Requests));
        }
        this->writeSettings(i, SoakFileWrite::Renamed);
        if (this->hasBegun(i)) {
            this->signal(i, SIGHUP);
        }
    }
}

} // namespace Filbertlanding
