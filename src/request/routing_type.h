/** @file routing_type.h The immutable routing table used by the request threads. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "request/slot.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** Load of one service on a peer, from the peer's load summary. */
struct PeerRoute {
    DaemonName daemon; ///< The peer.
    ZoneName availabilityZone; ///< Availability zone of the peer.
    std::uint32_t slots = 0; ///< Total slots of the workers that the peer owns.
    std::uint32_t inUse = 0; ///< Slots in use.
    double quantileMs = 1; ///< Latency estimate over its workers, in milliseconds.
    TimePoint receivedAt; ///< When the summary was received, on the clock of this daemon.
    bool drained = false; ///< The availability zone of the peer is drained.
    bool stopping = false; ///< The peer is shutting down.
    std::shared_ptr<PeerEntry> entry; ///< Limits the number of forwarded requests until the next summary.
};

/** Targets of one service. */
struct ServiceRoutes {
    std::vector<std::shared_ptr<WorkerEntry>> workers; ///< Own workers.
    std::vector<PeerRoute> peers; ///< Peers that offer the service.
};

/** One version of the routing table. Published through RcuPointer<RoutingTable>. */
struct RoutingTable {
    std::uint64_t version = 0; ///< Increases with each published table.
    ZoneName availabilityZone; ///< Availability zone of this daemon.
    bool drained = false; ///< The availability zone of this daemon is drained.
    std::unordered_map<ServiceName, ServiceRoutes> services; ///< Targets by service.
};

} // namespace Filbertlanding
