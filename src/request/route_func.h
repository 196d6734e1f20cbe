/** @file route_func.h Chooses the target of a latency-critical request and acquires a slot on it. */

#pragma once

#include "core/name_table.h"
#include "core/random.h"
#include "core/registry.h"
#include "core/result_code.h"
#include "request/routing_type.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Kind of target. */
enum class RouteTarget : std::uint8_t {
    None, ///< No target is available.
    OwnWorker, ///< A worker owned by this daemon.
    ZonePeer, ///< A daemon in the same availability zone.
    OtherZonePeer, ///< A daemon in another availability zone.
};

constexpr auto RouteTargetNames = makeNameTable<RouteTarget>(
    {{RouteTarget::None, "none"}, {RouteTarget::OwnWorker, "ownWorker"}, {RouteTarget::ZonePeer, "zonePeer"}, {RouteTarget::OtherZonePeer, "otherZonePeer"}});

/** Reason for excluding a target. */
enum class RouteExclusion : std::uint8_t {
    Full, ///< It has no free slot.
    LeaseEnded, ///< This daemon does not currently own the worker.
    Leaving, ///< The worker is leaving or the peer is shutting down.
    Ejected, ///< The worker is ejected, or on probation with a request in flight.
    Drained, ///< Its availability zone is drained.
    Busy, ///< The peer in another availability zone is too loaded to accept forwarded requests.
    Silent, ///< The peer's load summary is too old.
    Tried, ///< An earlier attempt of this request used it.
};

constexpr std::size_t RouteExclusionCount = 8; ///< Number of enumerators of RouteExclusion.

constexpr auto RouteExclusionNames = makeNameTable<RouteExclusion>({{RouteExclusion::Full, "full"},
                                                                    {RouteExclusion::LeaseEnded, "leaseEnded"},
                                                                    {RouteExclusion::Leaving, "leaving"},
                                                                    {RouteExclusion::Ejected, "ejected"},
                                                                    {RouteExclusion::Drained, "drained"},
                                                                    {RouteExclusion::Busy, "busy"},
                                                                    {RouteExclusion::Silent, "silent"},
                                                                    {RouteExclusion::Tried, "tried"}});

/** Limits of forwarding. */
struct RouteSettings {
    double zoneLoadLimit = 0.95; ///< Requests are forwarded to a peer of the same zone below this fraction of slots in use.
    double otherZoneLoadLimit = 0.7; ///< Requests are forwarded to a peer of another zone below this fraction of slots in use.
    Duration summaryMaxAge{2000}; ///< Peers whose last load summary is older are excluded. Summaries arrive every 500 ms.
};

/** The request to route. */
struct RouteRequest {
    ServiceName service;
    bool forwarded = false; ///< The request was forwarded by a peer, so it must not be forwarded again.
    std::vector<std::string> tried; ///< Workers and daemons on which earlier attempts of this request failed.
};

/** A routing decision with the details that are logged. */
struct RouteDecision {
    RouteTarget target = RouteTarget::None;
    ResultCode code = ResultCode::NoWorker; ///< Ok, ServiceUnknown or NoWorker.
    std::string name; ///< Name of the chosen worker or daemon.
    SlotGuard slot; ///< The acquired slot.
    std::uint64_t ownerEpoch = 0; ///< Owner epoch to send with the request; for an own worker.
    std::uint32_t candidates = 0; ///< Number of targets of the chosen kind, or of own workers if there is no target.
    double firstScore = 0; ///< Expected response time of the chosen target, in milliseconds.
    double secondScore = 0; ///< Expected response time of the best alternative that was examined; 0 if there is none.
    std::array<std::uint32_t, RouteExclusionCount> excluded{}; ///< Number of examined targets that were excluded, by RouteExclusion.
};

/** Input of a routing policy. */
struct RouteCandidates {
    const std::vector<std::shared_ptr<WorkerEntry>> &workers; ///< All own workers of the service.
    const RouteRequest &request;
    TimePoint now;
};

/** Choice of a routing policy. */
struct RouteChoice {
    std::size_t index = 0; ///< Index of the chosen worker.
    double firstScore = 0; ///< Expected response time of the chosen worker, in milliseconds.
    double secondScore = 0; ///< Expected response time of the runner-up; 0 if there is none.
};

/** A routing policy. Chooses a worker for which workerExclusion() returns nothing, if there is one, and counts the excluded workers. */
using RoutePolicy = std::optional<RouteChoice>(const RouteCandidates &candidates, Random &random, std::array<std::uint32_t, RouteExclusionCount> &excluded);

/** Tag of the registry of routing policies. */
struct RoutePolicyTag {
};

using RoutePolicies = Registry<RoutePolicy, RoutePolicyTag>; ///< Routing policies by name.

/** Returns why a worker cannot currently accept the request, or nothing if it can. */
std::optional<RouteExclusion> workerExclusion(const WorkerEntry &entry, const RouteRequest &request, TimePoint now);

/** Returns why the request cannot currently be forwarded to a peer, or nothing if it can. */
std::optional<RouteExclusion>
peerExclusion(const PeerRoute &peer, const RoutingTable &table, const RouteSettings &settings, const RouteRequest &request, TimePoint now);

/** Returns the expected response time of a worker, in milliseconds, from its latency quantile, its load and its slowdown by batch tasks. */
double expectedWaitMs(const WorkerEntry &entry);

/** Returns the expected response time of a peer, in milliseconds. */
double expectedWaitMs(const PeerRoute &peer);

/**
 * Chooses a target and acquires a slot on it. Prefers own workers, then daemons of the same zone, then daemons of other zones.
 * @param policy Policy for own workers, from RoutePolicies.
 * @param now Current time, read just before the call, since leases are checked against it.
 */
RouteDecision routeRequest(const RoutingTable &table,
                           const RouteSettings &settings,
                           const std::function<RoutePolicy> &policy,
                           const RouteRequest &request,
                           Random &random,
                           TimePoint now);

/** Formats the decision for a log line. */
std::string describeDecision(const RouteDecision &decision);

} // namespace Filbertlanding
