/** @file fleet_installation.h Cores and entries of the fleet daemon as real processes on loopback addresses of their own. */

#pragma once

#include "network/http_client.h"
#include "process_cluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** A fleet daemon of the test. */
struct FleetProcess {
    std::string name;
    std::string address;
    bool isCore = false; ///< Whether it has a data folder.
    std::unique_ptr<ChildProcess> process; ///< Null while it is down.
    std::string availabilityZone; ///< Its availability zone.
    bool isFirstStart = true; ///< Whether it starts with the whole installation, all of whose disks are empty.
};

/** How many daemons an installation of the test has. */
struct FleetShape {
    std::size_t cores = 1;
    std::size_t entries = 1;
    std::int64_t stopGraceMs = 2'500; ///< Time between the signal to stop and the end of a process.
    std::int64_t diskMegabytes = 0; ///< Disk space of a core that the settings name; 0 if not known.
};

/** Cores and entries. The addresses are derived from the process id, so that concurrent runs use different ones. */
class FleetInstallation
{
public:
    static constexpr std::uint16_t PeerPort = 7'700;
    static constexpr std::uint16_t CallerPort = 8'100;
    static constexpr std::uint16_t ControlPort = 8'101;
    static constexpr std::uint16_t ReadinessPort = 8'102;
    static constexpr std::uint16_t MetricsPort = 8'103;

    explicit FleetInstallation(FleetShape fleetShape = {});
    FleetInstallation(const FleetInstallation &) = delete;
    FleetInstallation &operator=(const FleetInstallation &) = delete;
    /** Ends all processes by their ids and removes the files. */
    ~FleetInstallation();

    /** Starts a daemon that is down. */
    void start(FleetProcess &daemon);

    /** Kills a daemon and starts a new process in its place. */
    void restart(FleetProcess &daemon);

    /** Puts a new host with another address and an empty disk, which is down, in the place of a core. Returns the process of the old one. */
    std::unique_ptr<ChildProcess> replaceHost(FleetProcess &daemon);

    /** Starts a daemon that is down again, with the contacts of now. */
    void startAgain(FleetProcess &daemon);

    /** Sets the fault of the disk of a core that was started with switchableDisks: `eio`, `enospc`, `hang`, or none. */
    void setDiskFault(const FleetProcess &daemon, std::string_view fault) const;

    /** Returns whether the readiness check of a daemon says 200. */
    bool isReady(const FleetProcess &daemon);

    /** Starts all daemons and waits until they are ready. */
    bool startAll();

    /** Waits until all daemons are ready. */
    bool areAllReady();

    /** Returns the core that says that it leads, or null. */
    FleetProcess *leader();

    /** Waits until a core says that it leads, and returns it; null if none does. */
    FleetProcess *awaitLeader();

    /** Returns the cores and the entries. */
    std::vector<FleetProcess *> daemons();

    /** Sends a request and waits for its outcome. */
    HttpExchange exchange(const FleetProcess &daemon, std::uint16_t port, HttpRequest request, HttpSendOptions options);

    /** Sends a request and waits for the answer; the status is 0 if none came. */
    unsigned get(const FleetProcess &daemon, std::uint16_t port, const std::string &target);

    /** Sends requests at once, on connections of their own. Returns a function that waits for them and counts those without an answer. */
    std::function<int()> sendMany(const FleetProcess &daemon, std::uint16_t port, int count);

    /** Returns the standard output and error of all processes of a daemon so far. */
    std::string log(const FleetProcess &daemon) const;

    /** Returns how many log lines of a daemon have an event. */
    int countEvents(const FleetProcess &daemon, const std::string &event) const;

    /** Returns the settings of a daemon as JSON text. */
    std::string settingsText(const FleetProcess &daemon) const;

    std::filesystem::path settingsPath(const FleetProcess &daemon) const;
    std::filesystem::path logPath(const FleetProcess &daemon) const;
    std::filesystem::path dataPath(const FleetProcess &daemon) const;

    std::vector<FleetProcess> cores;
    std::vector<FleetProcess> entries;
    FleetProcess &core; ///< The first core.
    FleetProcess &entry; ///< The first entry.
    bool switchableDisks = false; ///< Whether the disks of cores that are started from now on fail as setDiskFault() says.
    int descriptorLimit = 0; ///< Limit on the descriptors of daemons that are started from now on; 0 for that of this process.

private:
    std::filesystem::path diskFaultPath(const FleetProcess &daemon) const;

    FleetShape shape;
    std::size_t replacedHosts = 0;
    std::filesystem::path folder;
    NetworkCounters counters;
    HttpClient client;
};

/** Returns the IP address and port of a daemon as text. */
std::string endpointOf(const FleetProcess &daemon, std::uint16_t port);

/** Replaces the content of a file. */
void writeText(const std::filesystem::path &path, std::string_view text);

/** Path of the fleet daemon's program. */
std::string fleetDaemonProgram();

} // namespace Filbertlanding
