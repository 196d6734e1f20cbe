/** @file process_cluster.h Daemons, workers and callers as real processes on loopback, for tests of failures. */

#pragma once

#include "network/http_client.h"
#include "peer_relay.h"

#include <boost/json/fwd.hpp>

#include <sys/resource.h>
#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Leases of the test installation; shorter than the defaults, so that a test of their end takes seconds. */
struct TestLeases {
    Duration freshness{1000}; ///< Freshness lease.
    Duration running{4000}; ///< Running lease.
    Duration owner{1500}; ///< Slot ownership lease.
    Duration task{2000}; ///< Task lease.
    Duration stopGrace{1500}; ///< Time between readiness turning false and the listener closing.
};

/** A child process. It is killed by its id when this object ends, or when the thread that started it ends. */
class ChildProcess
{
public:
    /** Starts a program with standard output and error appended to a file, and waits until it runs; throws if that is not possible. The variables, as
     * `NAME=value`, go before those of this process. */
    ChildProcess(const std::vector<std::string> &arguments, const std::filesystem::path &output, std::vector<std::string> variables = {});
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    /** Kills the process if it still runs. */
    ~ChildProcess();

    /** Sends a signal if the process still runs. */
    void signal(int number);

    /** Changes a limit of the process if it still runs. */
    void limit(int resource, const rlimit &value);

    /** Waits for the end of the process. Returns the exit code, 128 plus the signal that ended it, or nothing at the limit. */
    std::optional<int> waitForEnd(Duration limit);

    /** Id of the process; meaningless once it has ended. */
    pid_t id() const;

private:
    pid_t pid = -1;
    std::optional<int> ended;
};

/** A daemon of the test installation. */
struct TestDaemon {
    std::string name; ///< Name of the daemon.
    std::string zone; ///< Its availability zone.
    bool voter = false; ///< Whether it has a disk.
    std::uint16_t httpPort = 0; ///< Port for callers, workers and operators.
    std::uint16_t tcpPort = 0; ///< Port of its own for peer links.
    std::uint16_t udpPort = 0; ///< Port of its own for heartbeats.
    std::unique_ptr<ChildProcess> process; ///< The process; empty while it is down.
};

/** An answer with its JSON body. */
struct Reply {
    unsigned status = 0; ///< HTTP status; 0 when no answer came.
    std::string body; ///< Body as text.
    std::vector<HttpHeader> headers; ///< Headers.
};

/** Three zones with two daemons each, the first of each zone a voter. Links between zones go through the relay. */
class ProcessCluster
{
public:
    /** Starts all daemons and waits until each is ready. */
    explicit ProcessCluster(TestLeases leases = {});
    ProcessCluster(const ProcessCluster &) = delete;
    ProcessCluster &operator=(const ProcessCluster &) = delete;
    /** Ends all processes by their ids and removes the files. */
    ~ProcessCluster();

    /** Starts a daemon that is down. */
    void start(std::size_t daemon, bool firstStart = false);

    /** Kills a daemon at once and waits for its end. */
    void kill(std::size_t daemon);

    /** Removes the data folder of a daemon that is down. */
    void removeData(std::size_t daemon) const;

    /** Starts four workers in a zone that report to the daemons of the zone. Further arguments go to the program; the name ends with the suffix and a number.
     */
    void startWorkers(const std::string &zone, const std::vector<std::string> &arguments = {}, const std::string &suffix = "-w");

    /** Starts workers in all zones and waits until each is owned. */
    void startAllWorkers(const std::vector<std::string> &arguments = {});

    /** Starts a caller that sends to some daemons; its ledger has the given name. */
    ChildProcess &startCaller(const std::string &ledger, const std::vector<std::size_t> &to, const std::vector<std::string> &arguments);

    /** Sends one request to a port and waits for the answer. */
    Reply callPort(std::uint16_t port, const HttpRequest &request);

    /** Sends one operator request to a daemon and waits for the answer. */
    Reply call(std::size_t daemon, const std::string &method, const std::string &target, const std::string &body = {}, std::vector<HttpHeader> headers = {});

    /** Changes an intent file based on the version that the daemon has now; repeats it with the same operation id until it is answered. */
    Reply change(std::size_t daemon, const std::string &method, const std::string &file, const std::string &text = {});

    /** Returns the status of a daemon; null when it gives none. */
    boost::json::value status(std::size_t daemon);

    /** Returns the number of the leader that a majority of voters follows, or nothing. */
    std::optional<std::size_t> leader();

    /** Sets the links between a zone and the others. */
    void setZoneLinks(const std::string &zone, LinkMode mode);

    /** Returns the lines of a ledger so far. */
    std::vector<boost::json::object> ledger(const std::string &name) const;

    /** Returns the lines of the ledgers of all workers so far. */
    std::vector<boost::json::object> workerLedgers() const;

    std::vector<TestDaemon> daemons; ///< Two daemons of each zone, one zone after the other.
    std::vector<std::string> zones{"bole", "piassa", "kazanchis"}; ///< The zones.
    std::vector<std::uint16_t> workerPorts; ///< First worker port of each call of startWorkers.

private:
    /** A link between two daemons of different zones. */
    struct ZoneLink {
        std::string from; ///< Zone that connects.
        std::string to; ///< Zone that is connected to.
        std::size_t link = 0; ///< Number in the relay.
    };

    void makeDaemons();
    void writeSettings(const TestDaemon &daemon);
    void claimPorts();
    std::uint16_t freePort();

    TestLeases leases;
    std::filesystem::path folder;
    std::unique_ptr<class RawSocket> portClaim; ///< Keeps the block of ports.
    std::uint16_t nextPort = 0;
    std::uint64_t operations = 0;
    PeerRelay relay;
    std::vector<ZoneLink> zoneLinks;
    NetworkCounters counters;
    HttpClient client;
    std::vector<std::unique_ptr<ChildProcess>> others; ///< Workers and callers.
};

/** Waits until a condition holds; false after the limit, which is far above any expected time. */
bool eventually(const std::function<bool()> &condition, Duration limit = Duration{40'000});

} // namespace Filbertlanding
