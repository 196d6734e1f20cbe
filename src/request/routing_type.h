/** @file routing_type.h The immutable table by which the request threads route. */

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

/** What a peer's load summary says about one service. */
struct PeerRoute {
    DaemonName daemon; ///< The peer.
    ZoneName availabilityZone; ///< Its zone.
    std::uint32_t slots = 0; ///< Slots of the workers that it owns.
    std::uint32_t inUse = 0; ///< Slots in use.
    double quantileMs = 1; ///< Latency estimate over its workers, in milliseconds.
    TimePoint receivedAt; ///< When the summary came, on this daemon's clock.
    bool drained = false; ///< Its zone is drained.
    bool stopping = false; ///< The daemon is stopping.
    std::shared_ptr<PeerEntry> entry; ///< Bounds what is forwarded until the next summary.
};

/** Targets of one service. */
struct ServiceRoutes {
    std::vector<std::shared_ptr<WorkerEntry>> workers; ///< Own workers.
    std::vector<PeerRoute> peers; ///< Peers that offer the service.
};

/** One version of the table. Published by RcuPointer<RoutingTable>. */
struct RoutingTable {
    std::uint64_t version = 0; ///< Increases with each table.
    ZoneName availabilityZone; ///< Zone of this daemon.
    bool drained = false; ///< The zone of this daemon is drained.
    std::unordered_map<ServiceName, ServiceRoutes> services; ///< Targets by service.
};

} // namespace Filbertlanding
