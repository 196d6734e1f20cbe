/** @file fleet_peers.cpp Selection of the daemons to which a daemon maintains peer links. */

#include "fleetd/fleet_peers.h"

namespace Filbertlanding {

std::set<DaemonName> requiredPeers(const Membership &membership, const DaemonName &leader, const std::vector<DaemonName> &contacts)
{
    std::set<DaemonName> peers(contacts.begin(), contacts.end());
    for (const auto *list : {&membership.voters, &membership.joining, &membership.learners}) {
        for (const VoterId &id : *list) {
            peers.insert(id.daemon);
        }
    }
    if (!leader.empty()) {
        peers.insert(leader);
    }
    return peers;
}

} // namespace Filbertlanding
