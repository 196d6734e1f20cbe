/** @file route_entries.h Builds routing tables on the control thread from the worker registry and the peers' load summaries. */

#pragma once

#include "membership/worker_registry_base.h"
#include "request/routing_type.h"

#include <map>
#include <memory>
#include <utility>

namespace Filbertlanding {

/** The shared entries of all tables; kept by the control thread. */
struct RouteEntries {
    std::map<std::pair<WorkerName, ServiceName>, std::shared_ptr<WorkerEntry>> workers; ///< Own workers.
    std::map<std::pair<DaemonName, ServiceName>, std::shared_ptr<PeerEntry>> peers; ///< Peers.
    std::uint64_t version = 0; ///< Version of the latest table.
};

/** One service in a peer's load summary. */
struct PeerServiceLoad {
    ServiceName service; ///< The service.
    std::uint32_t slots = 0; ///< Slots of the workers that the peer owns.
    std::uint32_t inUse = 0; ///< Slots in use.
    double quantileMs = 1; ///< Latency estimate in milliseconds.
};

/** Load summary of a peer, from its heartbeat. */
struct PeerSummary {
    DaemonName daemon; ///< The peer.
    ZoneName availabilityZone; ///< Its zone.
    bool drained = false; ///< Its zone is drained.
    bool stopping = false; ///< The daemon is stopping.
    TimePoint receivedAt; ///< When the summary came, on this daemon's clock.
    std::vector<PeerServiceLoad> services; ///< One entry for each service.
};

/**
 * Takes over what a report or a tick changed in one worker: slots, lease end, owner epoch, leaving.
 * Cheap; needs no new table unless it returns true.
 * @return Whether the set of entries changed, so that a new table has to be published.
 */
bool updateWorkerEntries(RouteEntries &entries, const WorkerRecord &record, TimePoint now);

/** Removes the entries of a worker that is gone. Requests in flight keep theirs. @return Whether there was one. */
bool removeWorkerEntries(RouteEntries &entries, const WorkerName &worker);

/** Takes over a peer's load summary: half of its free slots may be forwarded to until the next one. */
void updatePeerEntries(RouteEntries &entries, const PeerSummary &summary);

/** Makes a table of all entries. */
std::unique_ptr<const RoutingTable> buildRoutingTable(RouteEntries &entries, const ZoneName &zone, bool drained, const std::vector<PeerSummary> &peers);

/** Returns this daemon's own load, for its heartbeat. */
std::vector<PeerServiceLoad> summarizeLoad(const RouteEntries &entries, TimePoint now);

} // namespace Filbertlanding
