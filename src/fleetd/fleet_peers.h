/** @file fleet_peers.h Daemons that a daemon keeps links to. */

#pragma once

#include "core/names_type.h"
#include "replication/raft_type.h"

#include <set>
#include <vector>

namespace Filbertlanding {

/**
 * Returns all members, the contacts, and the leader. A daemon that joins knows no members yet, and the leader that has found it need not be
 * one of its contacts; without a link to it its answers would not arrive, and it would never be caught up.
 */
std::set<DaemonName> requiredPeers(const Membership &membership, const DaemonName &leader, const std::vector<DaemonName> &contacts);

} // namespace Filbertlanding
