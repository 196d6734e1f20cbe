/** @file soak_daemons.h The daemons of the soak. Each is a separate process with its own loopback address. */

#pragma once

#include "process_cluster.h"
#include "soak/soak_relay.h"
#include "soak/soak_type.h"

#include <functional>
#include <memory>
#include <vector>

namespace Filbertlanding {

/** One daemon process. */
struct SoakDaemon {
    std::string name;
    std::string address;
    std::string zone;
    bool hasDisk = false;
    bool isSuspended = false; ///< By SIGSTOP.
    bool isPortTaken = false; ///< Another program has the port for requests.
    std::unique_ptr<ChildProcess> process; ///< Null while the daemon is down.
    TimePoint startedAt; ///< Start of the last process.
    std::optional<TimePoint> upSince;
    std::vector<std::size_t> contacts; ///< Numbers of the core daemons in its settings file.
    TimePoint lastKill; ///< End of the last time at which callers could lose a request because of a fault.
    TimePoint lastTermination; ///< First SIGTERM of the last process that got one.
    TimePoint lastSlowDown; ///< Last signal that suspended or resumed the process.
    bool isDiskImpaired = false; ///< The data folder may not be opened or written to, because of a fault of the disk or of a limit.
    TimePoint diskSoundSince; ///< End of the last such fault.
    bool isShortOfDescriptors = false; ///< Its limit is below what its connections need.
};

/** How a settings file is replaced. */
enum class SoakFileWrite : std::uint8_t {
    WholeInPlace,
    FirstHalfInPlace, ///< Leaves a file that ends in the middle.
    Renamed, ///< A new file takes the place of the old one.
};

/** Ports that a daemon listens on. */
enum class SoakPort : std::uint8_t {
    Metrics,
    Peer,
    Readiness,
    Requests, ///< Of callers at an entry, of operators and workers at a core.
};

/** Starts, stops and signals all daemon processes. */
class SoakDaemons
{
public:
    SoakDaemons(const SoakSettings &soakSettings, std::string loopbackPrefix, SoakRelay &soakRelay);

    /** Starts all daemons for the first time. */
    void startAll();

    /** Starts a daemon unless it is running. */
    void start(std::size_t daemon, bool isFirstStart = false);

    /** Starts a daemon unless it is running, and leaves its settings file as it is. */
    void startProcess(std::size_t daemon);

    /** Writes the settings file of a daemon with its current contacts. */
    void writeSettings(std::size_t daemon, SoakFileWrite how, bool isFirstStart = false) const;

    /** Returns whether the first code of a running daemon's program has run, as its signal actions show: no program can handle a signal before. */
    bool hasBegun(std::size_t daemon) const;

    /** Sends a signal to a daemon if it is running. */
    void signal(std::size_t daemon, int number);

    /** Suspends or resumes a daemon for some milliseconds, as a slow processor does, unless pause() has suspended it. */
    void slowDown(std::size_t daemon, bool isSuspended);

    /** Returns an address of a daemon in the form "IP:port". */
    std::string addressOf(std::size_t daemon, SoakPort port) const;

    /** Kills a daemon with SIGKILL. */
    void kill(std::size_t daemon);

    /** Sends SIGTERM to a daemon; restartExited() restarts it. */
    void terminate(std::size_t daemon);

    /** Restarts all daemons that have exited. Returns the names of those whose exit was unexpected. */
    std::vector<std::string> restartExited();

    void pause(std::size_t daemon, bool isPaused);

    /** Puts a new machine of the same zone, which is down and has an empty disk, in the place of a core. Returns the number of the old one. */
    std::size_t replace(std::size_t core);

    /** Exchanges a core with the one that it has replaced. Callers, workers and operators know only the one in its place. */
    void exchange(std::size_t core, std::size_t number);

    /** Ends a core that was replaced, for good. */
    void retire(std::size_t number, int signal);

    /** Deletes the data folder of a daemon that is down. */
    void wipeData(std::size_t daemon) const;

    /** Appends an incomplete record to the log of a daemon that is down, like a write interrupted by a power failure. */
    void appendTornRecord(std::size_t daemon) const;

    /** Sets the limit of the size of files of a daemon that is running. At 0 all writes fail as on a full disk; RLIM_INFINITY removes the limit. */
    void setFileSizeLimit(std::size_t daemon, rlim_t limit);

    /** Sets the limit of open descriptors of a daemon that is running, at most to that of the soak. */
    void setDescriptorLimit(std::size_t daemon, rlim_t limit);

    /** Records that a fault of the disk or of a limit has begun, or that the last one has ended. */
    void setDiskImpaired(std::size_t daemon, bool isImpaired);

    std::filesystem::path dataFolder(const SoakDaemon &daemon) const;

    /** Returns whether all cores have been running undisturbed for at least a given time. */
    bool areCoresHealthy(Duration time) const;

    std::vector<std::string> callerAddresses() const;

    /** Returns the control addresses that workers and operators know. */
    const std::vector<std::string> &controlAddresses() const;

    /** Tells all daemons, workers and operators of the cores that are there now. */
    void announceCores();

    std::vector<SoakDaemon> daemons; ///< All daemons; the cores come first.
    std::function<void(std::size_t)> hasStarted; ///< Told about each daemon that has started.

private:
    /** Exits that are no violation. */
    enum class ExpectedExit : std::uint8_t {
        None,
        Orderly, ///< With code 0, after SIGTERM.
        Any,
    };

    void addExitsOfReplaced(std::vector<std::string> &unexpected);

    const SoakSettings &settings;
    std::string networkPrefix;
    std::vector<std::string> controls;
    SoakRelay &relay;
    std::vector<SoakDaemon> replaced; ///< Cores in whose place another one is. They may still run, or already run.
    std::vector<ExpectedExit> expectedExits; ///< For each daemon.
};

} // namespace Filbertlanding
