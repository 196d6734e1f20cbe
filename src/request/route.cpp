/** @file route.cpp Chooses the target of a latency-critical request and acquires a slot on it. */

#include "request/route_func.h"

#include <algorithm>
#include <sstream>

namespace Filbertlanding {

namespace {

    constexpr int MaxPickAttempts = 4; ///< Bounds repeated choices of an own worker while other threads acquire its last slot first.

    void countExclusion(RouteDecision &decision, RouteExclusion reason)
    {
        ++decision.excluded[static_cast<std::size_t>(reason)];
    }

    bool wasTried(const RouteRequest &request, const std::string &name)
    {
        return std::find(request.tried.begin(), request.tried.end(), name) != request.tried.end();
    }

    /** Tries to route to an own worker. @return Whether a slot was acquired. */
    bool routeToWorker(RouteDecision &decision,
                       const ServiceRoutes &routes,
                       const std::function<RoutePolicy> &policy,
                       const RouteRequest &request,
                       Random &random,
                       TimePoint now)
    {
        decision.candidates = static_cast<std::uint32_t>(routes.workers.size());
        for (int i = 0; i < MaxPickAttempts; ++i) {
            const auto pick = policy({routes.workers, request, now}, random, decision.excluded);
            if (!pick) {
                return false;
            }
            const auto &entry = routes.workers[pick->index];
            const std::uint64_t ownerEpoch = entry->ownerEpoch.load(std::memory_order_acquire);
            SlotRefusal refusal = SlotRefusal::None;
            decision.slot = SlotGuard::acquireWorker(entry, now, refusal);
            if (refusal != SlotRefusal::None) {
                countExclusion(decision, refusal == SlotRefusal::Full ? RouteExclusion::Full : RouteExclusion::LeaseEnded);
                continue;
            }
            decision.target = RouteTarget::OwnWorker;
            decision.name = entry->worker;
            decision.ownerEpoch = ownerEpoch;
            decision.firstScore = pick->firstScore;
            decision.secondScore = pick->secondScore;
            return true;
        }
        return false;
    }

    /** Tries to route to a peer of this zone or of other zones, best first. @return Whether a slot was acquired. */
    bool routeToPeer(RouteDecision &decision,
                     const RoutingTable &table,
                     const ServiceRoutes &routes,
                     const RouteSettings &settings,
                     const RouteRequest &request,
                     bool sameZone,
                     TimePoint now)
    {
        std::vector<std::pair<double, const PeerRoute *>> usable;
        std::uint32_t candidates = 0;
        for (const PeerRoute &peer : routes.peers) {
            if ((peer.availabilityZone == table.availabilityZone) != sameZone) {
                continue;
            }
            ++candidates;
            const auto reason = peerExclusion(peer, table, settings, request, now);
            if (reason) {
                countExclusion(decision, *reason);
                continue;
            }
            usable.emplace_back(expectedWaitMs(peer), &peer);
        }
        std::sort(usable.begin(), usable.end());
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const auto &[score, peer] = usable[i];
            decision.slot = SlotGuard::acquirePeer(peer->entry);
            if (!decision.slot) {
                countExclusion(decision, RouteExclusion::Full);
                continue;
            }
            decision.target = sameZone ? RouteTarget::ZonePeer : RouteTarget::OtherZonePeer;
            decision.name = peer->daemon;
            decision.candidates = candidates;
            decision.firstScore = score;
            decision.secondScore = i + 1 < usable.size() ? usable[i + 1].first : 0;
            return true;
        }
        return false;
    }

} // namespace

std::optional<RouteExclusion> workerExclusion(const WorkerEntry &entry, const RouteRequest &request, TimePoint now)
{
    // Checked first: when a search among many workers takes longest, nearly all of them are full.
    if (!entry.slots.hasFree()) {
        return RouteExclusion::Full;
    }
    if (entry.leaving.load(std::memory_order_relaxed)) {
        return RouteExclusion::Leaving;
    }
    if (now.ms >= entry.leaseEndMs.load(std::memory_order_relaxed)) {
        return RouteExclusion::LeaseEnded;
    }
    if (now.ms < entry.ejectedUntilMs.load(std::memory_order_relaxed)) {
        return RouteExclusion::Ejected;
    }
    if (entry.probation.load(std::memory_order_relaxed) && entry.slots.inUse() > 0) {
        return RouteExclusion::Ejected;
    }
    if (wasTried(request, entry.worker)) {
        return RouteExclusion::Tried;
    }
    return std::nullopt;
}

std::optional<RouteExclusion>
peerExclusion(const PeerRoute &peer, const RoutingTable &table, const RouteSettings &settings, const RouteRequest &request, TimePoint now)
{
    if (peer.drained) {
        return RouteExclusion::Drained;
    }
    if (peer.stopping) {
        return RouteExclusion::Leaving;
    }
    if (now - peer.receivedAt > settings.summaryMaxAge) {
        return RouteExclusion::Silent;
    }
    const bool sameZone = peer.availabilityZone == table.availabilityZone;
    const double loadLimit = sameZone ? settings.zoneLoadLimit : settings.otherZoneLoadLimit;
    if (peer.slots == 0 || peer.inUse >= loadLimit * peer.slots) {
        return sameZone ? RouteExclusion::Full : RouteExclusion::Busy;
    }
    if (wasTried(request, peer.daemon)) {
        return RouteExclusion::Tried;
    }
    return std::nullopt;
}

double expectedWaitMs(const WorkerEntry &entry)
{
    const double capacity = std::max<std::uint32_t>(entry.slots.capacity(), 1);
    const double load = entry.slots.inUse() / capacity;
    const double slowdown = entry.batchSlowdownPermille.load(std::memory_order_relaxed) / 1000.0;
    return entry.latency.quantileMs() * (1 + load) * (1 + slowdown);
}

double expectedWaitMs(const PeerRoute &peer)
{
    const double slots = std::max<std::uint32_t>(peer.slots, 1);
    return peer.quantileMs * (1 + peer.inUse / slots);
}

RouteDecision routeRequest(const RoutingTable &table,
                           const RouteSettings &settings,
                           const std::function<RoutePolicy> &policy,
                           const RouteRequest &request,
                           Random &random,
                           TimePoint now)
{
    RouteDecision decision;
    const auto found = table.services.find(request.service);
    if (found == table.services.end()) {
        decision.code = ResultCode::ServiceUnknown;
        return decision;
    }
    const ServiceRoutes &routes = found->second;
    bool taken = false;
    if (table.drained) {
        decision.excluded[static_cast<std::size_t>(RouteExclusion::Drained)] += static_cast<std::uint32_t>(routes.workers.size());
    } else {
        taken = routeToWorker(decision, routes, policy, request, random, now);
        taken = taken || (!request.forwarded && routeToPeer(decision, table, routes, settings, request, true, now));
    }
    taken = taken || (!request.forwarded && routeToPeer(decision, table, routes, settings, request, false, now));
    decision.code = taken ? ResultCode::Ok : ResultCode::NoWorker;
    return decision;
}

std::string describeDecision(const RouteDecision &decision)
{
    std::ostringstream text;
    text << "target=" << RouteTargetNames.nameOf(decision.target) << " name=" << decision.name << " candidates=" << decision.candidates
         << " first=" << decision.firstScore << " second=" << decision.secondScore << " ownerEpoch=" << decision.ownerEpoch
         << " code=" << resultCodeRow(decision.code).name;
    for (std::size_t i = 0; i < RouteExclusionCount; ++i) {
        if (decision.excluded[i] > 0) {
            text << ' ' << RouteExclusionNames.nameOf(static_cast<RouteExclusion>(i)) << '=' << decision.excluded[i];
        }
    }
    return text.str();
}

} // namespace Filbertlanding
