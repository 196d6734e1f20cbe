/** @file soak_daemons.h The daemons of the soak. Each is a separate process with its own loopback address. */

#pragma once

#include "process_cluster.h"
#include "soak/soak_relay.h"
#include "soak/soak_type.h"

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
    std::unique_ptr<ChildProcess> process; ///< Null while the daemon is down.
    std::optional<TimePoint> upSince;
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

    /** Kills a daemon with SIGKILL. */
    void kill(std::size_t daemon);

    /** Sends SIGTERM to a daemon; restartExited() restarts it. */
    void terminate(std::size_t daemon);

    /** Restarts all daemons that have exited. Returns the names of those whose exit was unexpected. */
    std::vector<std::string> restartExited();

    void pause(std::size_t daemon, bool isPaused);

    /** Deletes the data folder of a daemon that is down. */
    void wipeData(std::size_t daemon) const;

    /** Appends an incomplete record to the log of a daemon that is down, like a write interrupted by a power failure. */
    void appendTornRecord(std::size_t daemon) const;

    /** Sets or removes a file size limit of 0 for a daemon, which makes writes fail as on a full disk. */
    void setFileSizeLimited(std::size_t daemon, bool isLimited);

    /** Returns whether all cores have been running undisturbed for at least a given time. */
    bool areCoresHealthy(Duration time) const;

    std::vector<std::string> callerAddresses() const;
    std::vector<std::string> controlAddresses() const;

    std::vector<SoakDaemon> daemons; ///< All daemons; the cores come first.

private:
    void writeSettings(const SoakDaemon &daemon, bool isFirstStart) const;
    std::filesystem::path dataFolder(const SoakDaemon &daemon) const;

    const SoakSettings &settings;
    std::string networkPrefix;
    std::vector<bool> isExitExpected; ///< For each daemon, whether an exit is expected.
};

} // namespace Filbertlanding
