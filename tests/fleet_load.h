/** @file fleet_load.h Callers, operators and readers at a steady rate, whose calls are counted by their outcomes. */

#pragma once

#include "fleet_installation.h"
#include "soak/soak_manifests.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Filbertlanding {

/** Calls by outcome. */
struct CallCounts {
    int answered = 0; ///< With a status below 500, other than those below.
    int refused = 0; ///< HTTP status 503.
    int unknown = 0; ///< HTTP status 504.
    int cut = 0; ///< Sent, and no whole answer came.
    int unreachable = 0; ///< Certainly not sent, because no process listens.
    int lost = 0; ///< Accepted, and unknown later.
    int stale = 0; ///< A read older than a change that was acknowledged before it.
};

/** Adds the counts of other calls. */
CallCounts &operator+=(CallCounts &counts, const CallCounts &more);

/** Returns the counts of the calls since an earlier moment. */
CallCounts operator-(const CallCounts &now, const CallCounts &before);

/** Threads that call an installation until stop(). */
class FleetLoad
{
public:
    explicit FleetLoad(FleetInstallation &fleetInstallation);
    FleetLoad(const FleetLoad &) = delete;
    FleetLoad &operator=(const FleetLoad &) = delete;
    ~FleetLoad();

    /** Uploads the first manifest, and waits until it can be read. */
    bool putFirstManifest();

    /** Uploads a newer manifest, and waits until it is acknowledged. */
    bool putManifest();

    /** Begins to call. */
    void start();

    /** Ends the threads. */
    void stop();

    /** Returns the calls of callers so far. */
    CallCounts callers() const;

    /** Returns the calls of operators and readers so far. */
    CallCounts operators() const;

    /** Submits a job at an entry. Returns the HTTP status, or 0 without an answer. */
    unsigned submitOnce(const FleetProcess &entry);

    /** Reads the manifest, beginning at this core. Returns the HTTP status, or 0 without an answer; a stale read is counted. */
    unsigned readOnce(const FleetProcess &core);

private:
    void callEntry(const FleetProcess &entry, std::uint64_t caller);
    void changeManifests();
    void readManifests(const FleetProcess &core);
    HttpExchange readManifest(const FleetProcess &core);
    HttpExchange sendToEntry(const FleetProcess &entry, const std::string &method, const std::string &job);
    HttpExchange sendToControl(const FleetProcess &core, HttpRequest request);
    void count(CallCounts &counts, const HttpExchange &exchange);

    FleetInstallation &installation;
    NetworkCounters counters;
    HttpClient client;
    SoakManifests manifests;
    std::atomic<std::uint64_t> acknowledgedVersion = 0;
    std::atomic<std::uint64_t> lastJob = 0;
    std::atomic<bool> isStopping = false;
    mutable std::mutex mutex; ///< Guards the counts.
    CallCounts callerCounts;
    CallCounts operatorCounts;
    std::vector<std::thread> threads;
};

} // namespace Filbertlanding
