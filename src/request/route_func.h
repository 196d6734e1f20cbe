/** @file route_func.h Chooses the target of a latency-critical request and takes its slot. */

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
    None, ///< There is no target now.
    OwnWorker, ///< A worker that this daemon owns.
    ZonePeer, ///< A daemon of the same zone.
    OtherZonePeer, ///< A daemon of another zone.
};

constexpr auto RouteTargetNames = makeNameTable<RouteTarget>(
    {{RouteTarget::None, "none"}, {RouteTarget::OwnWorker, "ownWorker"}, {RouteTarget::ZonePeer, "zonePeer"}, {RouteTarget::OtherZonePeer, "otherZonePeer"}});

/** Why a target was left out. */
enum class RouteExclusion : std::uint8_t {
    Full, ///< No free slot.
    LeaseEnded, ///< This daemon does not own the worker now.
    Leaving, ///< The worker leaves or the peer stops.
    Ejected, ///< The worker is ejected, or on probation with a request in flight.
    Drained, ///< The zone is drained.
    Busy, ///< The other zone is too loaded to take requests from this one.
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

/** Bounds of forwarding. */
struct RouteSettings {
    double zoneLoadLimit = 0.95; ///< A peer of the same zone gets requests below this share of slots in use.
    double otherZoneLoadLimit = 0.7; ///< A peer of another zone gets requests below this share of slots in use.
    Duration summaryMaxAge{2000}; ///< Load summaries come each 500 ms; an older one than this is not used.
};

/** The request to route. */
struct RouteRequest {
    ServiceName service; ///< The service.
    bool forwarded = false; ///< It came from a peer, so it is not forwarded again.
    std::vector<std::string> tried; ///< Workers and daemons that failed this request before.
};

/** The choice, with what a log line needs. */
struct RouteDecision {
    RouteTarget target = RouteTarget::None; ///< Kind of target.
    ResultCode code = ResultCode::NoWorker; ///< Ok, ServiceUnknown or NoWorker.
    std::string name; ///< Worker or daemon chosen.
    SlotGuard slot; ///< The slot, taken.
    std::uint64_t ownerEpoch = 0; ///< For an own worker: owner epoch to send.
    std::uint32_t candidates = 0; ///< Targets of the chosen kind, or all own workers when there is no target.
    double firstScore = 0; ///< Expected wait of the chosen target in milliseconds.
    double secondScore = 0; ///< Expected wait of the next best target that was looked at; 0 when there is none.
    std::array<std::uint32_t, RouteExclusionCount> excluded{}; ///< Number of targets left out, by RouteExclusion, of those looked at.
};

/** Workers among which a policy picks. */
struct RouteCandidates {
    const std::vector<std::shared_ptr<WorkerEntry>> &workers; ///< All own workers of the service.
    const RouteRequest &request; ///< The request.
    TimePoint now; ///< Time of the decision.
};

/** What a policy picked. */
struct RouteChoice {
    std::size_t index = 0; ///< Place of the chosen worker.
    double firstScore = 0; ///< Its expected wait in milliseconds.
    double secondScore = 0; ///< Expected wait of the runner-up; 0 when there is none.
};

/** A routing policy: picks a worker for which workerExclusion is empty, counting those that it left out; nothing if there is none. */
using RoutePolicy = std::optional<RouteChoice>(const RouteCandidates &candidates, Random &random, std::array<std::uint32_t, RouteExclusionCount> &excluded);

/** Tag of the registry of routing policies. */
struct RoutePolicyTag {
};

using RoutePolicies = Registry<RoutePolicy, RoutePolicyTag>; ///< Routing policies by name.

/** Returns why a worker cannot take the request now, or nothing. */
std::optional<RouteExclusion> workerExclusion(const WorkerEntry &entry, const RouteRequest &request, TimePoint now);

/** Returns why a peer cannot take the request now, or nothing. */
std::optional<RouteExclusion>
peerExclusion(const PeerRoute &peer, const RoutingTable &table, const RouteSettings &settings, const RouteRequest &request, TimePoint now);

/** Returns the expected wait for the answer of a worker, in milliseconds: latency quantile, queueing, slowdown by batch tasks. */
double expectedWaitMs(const WorkerEntry &entry);

/** Returns the expected wait for the answer of a peer, in milliseconds. */
double expectedWaitMs(const PeerRoute &peer);

/**
 * Chooses a target and takes its slot: own workers first, then daemons of the same zone, then of other zones.
 * @param policy Policy for own workers, from RoutePolicies.
 * @param now Time read just before the call; the lease is compared with it.
 */
RouteDecision routeRequest(const RoutingTable &table,
                           const RouteSettings &settings,
                           const std::function<RoutePolicy> &policy,
                           const RouteRequest &request,
                           Random &random,
                           TimePoint now);

/** Returns the decision as the text of a log line. */
std::string describeDecision(const RouteDecision &decision);

} // namespace Filbertlanding
