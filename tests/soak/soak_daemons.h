/** @file soak_daemons.h The daemons of the soak as processes of their own, each with an address of its own on loopback. */

#pragma once

#include "process_cluster.h"
#include "soak/soak_relay.h"
#include "soak/soak_type.h"

#include <memory>
#include <vector>

namespace Filbertlanding {

/** One daemon. */
struct SoakDaemon {
    std::string name;
    std::string address;
    std::string zone;
    bool hasDisk = false;
    bool isSuspended = false; ///< By SIGSTOP.
    std::unique_ptr<ChildProcess> process; ///< Empty while it is down.
    std::optional<TimePoint> upSince;
};

/** All daemons, started, stopped and signalled by their process ids. */
class SoakDaemons
{
public:
    SoakDaemons(const SoakSettings &soakSettings, std::string loopbackPrefix, SoakRelay &soakRelay);

    /** Starts all daemons for the first time. */
    void startAll();

    /** Starts a daemon that is down. */
    void start(std::size_t daemon, bool isFirstStart = false);

    /** Kills a daemon at once. */
    void kill(std::size_t daemon);

    /** Asks a daemon to end; it is started again by startEnded(). */
    void terminate(std::size_t daemon);

    /** Starts daemons that were asked to end and have ended. Returns the names of those that have ended by themselves. */
    std::vector<std::string> restartExited();

    void pause(std::size_t daemon, bool isPaused);

    /** Removes the data of a daemon that is down. */
    void wipeData(std::size_t daemon) const;

    /** Adds the first bytes of a record to the log of a daemon that is down, as a write that a loss of power has cut short. */
    void appendTornRecord(std::size_t daemon) const;

    /** Lets the daemon's files grow no further, as on a full disk, or again. */
    void setFileSizeLimited(std::size_t daemon, bool isLimited);

    /** Returns whether all daemons with a disk have run undisturbed for a time. */
    bool areCoresHealthy(Duration time) const;

    std::vector<std::string> callerAddresses() const;
    std::vector<std::string> controlAddresses() const;

    std::vector<SoakDaemon> daemons; ///< Those with a disk first.

private:
    void writeSettings(const SoakDaemon &daemon, bool isFirstStart) const;
    std::filesystem::path dataFolder(const SoakDaemon &daemon) const;

    const SoakSettings &settings;
    std::string networkPrefix;
    std::vector<bool> isExitExpected; ///< By daemon: it was asked to end.
};

} // namespace Filbertlanding
