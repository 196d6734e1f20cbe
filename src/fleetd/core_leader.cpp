/** @file core_leader.cpp The leader to which a core sends calls of workers and operators. */

#include "core/clock_func.h"
#include "fleetd/fleet_core.h"

namespace Filbertlanding {

/** Returns whether the replica takes part and knows the leader of its term, which may be this daemon. */
bool FleetCore::isLeaderKnownToReplica() const
{
    return this->isReplicaRunning() && !this->status.leader.empty();
}

/** Returns another daemon that leads: the one that the replica names or, if it names none, one that has just confirmed that it leads. */
DaemonName FleetCore::otherLeader() const
{
    const DaemonName leader = this->isLeaderKnownToReplica() ? this->status.leader : this->finder.confirmedLeader();
    return leader == this->settings.address ? DaemonName() : leader;
}

/** Returns the daemons to which this one keeps links, without itself. */
std::set<DaemonName> FleetCore::linkedDaemons() const
{
    std::vector<DaemonName> others = this->recentSenders.names(steadyNow());
    for (const DaemonName &contact : this->contactAddresses()) {
        others.push_back(contact);
    }
    if (!this->isLeaderKnownToReplica()) {
        const std::set<DaemonName> &named = this->finder.namedDaemons();
        others.insert(others.end(), named.begin(), named.end());
    }
    std::set<DaemonName> linked = requiredPeers(this->status.membership, this->status.leader, others);
    linked.erase(this->settings.address);
    return linked;
}

/** Starts asking the other daemons for the leader while the replica names none. */
void FleetCore::startLeaderFinder()
{
    LeaderFinderHooks hooks;
    hooks.query = [this](const DaemonName &daemon, LeaderInfoHandler answered) {
        queryLeaderOver(*this->peers, daemon, std::move(answered));
    };
    hooks.peers = [this] {
        return this->linkedDaemons();
    };
    hooks.namesChanged = [this] {
        this->setRequiredPeers();
    };
    hooks.isNeeded = [this] {
        return !this->isStopping && !this->isLeaderKnownToReplica();
    };
    this->finder.leaderFound = [this] {
        this->releaseHeldCalls();
    };
    this->finder.start(std::move(hooks));
}

} // namespace Filbertlanding
