/** @file route_entries.h Builds routing tables from the worker registry and the load summaries of peers. Runs on the control thread. */

#pragma once

#include "membership/worker_registry_base.h"
#include "request/routing_type.h"

#include <map>
#include <memory>
#include <utility>

namespace Filbertlanding {

/** Entries that are shared by all versions of the routing table. Owned by the control thread. */
struct RouteEntries {
    std::map<std::pair<WorkerName, ServiceName>, std::shared_ptr<WorkerEntry>> workers; ///< Entries of own workers.
    std::map<std::pair<DaemonName, ServiceName>, std::shared_ptr<PeerEntry>> peers; ///< Entries of peers.
    std::uint64_t version = 0; ///< Version of the latest table.
};

/** Load of one service in a peer's load summary. */
struct PeerServiceLoad {
    ServiceName service;
    std::uint32_t slots = 0; ///< Total slots of the workers that the peer owns.
    std::uint32_t inUse = 0; ///< Slots in use.
    double quantileMs = 1; ///< Latency estimate in milliseconds.
};

/** Load summary from the heartbeat of a peer. */
struct PeerSummary {
    DaemonName daemon; ///< The peer.
    ZoneName availabilityZone; ///< Availability zone of the peer.
    bool drained = false; ///< The availability zone of the peer is drained.
    bool stopping = false; ///< The peer is shutting down.
    TimePoint receivedAt; ///< When the summary was received, on the clock of this daemon.
    std::vector<PeerServiceLoad> services; ///< One entry per service.
};

/**
 * Updates the entries of a worker after a report or a tick: slots, end of the lease, owner epoch, leaving.
 * @return Whether the set of entries has changed, so that a new table has to be published. Other changes take effect without a new table.
 */
bool updateWorkerEntries(RouteEntries &entries, const WorkerRecord &record, TimePoint now);

/** Removes the entries of a worker, except those with requests in flight. @return Whether an entry was removed. */
bool removeWorkerEntries(RouteEntries &entries, const WorkerName &worker);

/** Updates the entries of a peer from its load summary. Until the next summary, at most half of its free slots may be used by this daemon. */
void updatePeerEntries(RouteEntries &entries, const PeerSummary &summary);

/** Creates a table of all entries. */
std::unique_ptr<const RoutingTable> buildRoutingTable(RouteEntries &entries, const ZoneName &zone, bool drained, const std::vector<PeerSummary> &peers);

/** Returns the load of this daemon, to be sent with its heartbeat. */
std::vector<PeerServiceLoad> summarizeLoad(const RouteEntries &entries, TimePoint now);

} // namespace Filbertlanding
