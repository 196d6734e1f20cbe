/** @file fleet_peers.h Selection of the daemons to which a daemon maintains peer links. */

#pragma once

#include "core/names_type.h"
#include "replication/raft_type.h"

#include <set>
#include <vector>

namespace Filbertlanding {

/**
 * Returns all members, the configured contacts, and the leader. A joining daemon does not know the membership yet, and the leader that
 * contacts it need not be one of its contacts. Without a link its replies would not reach that leader, which would never catch it up.
 */
std::set<DaemonName> requiredPeers(const Membership &membership, const DaemonName &leader, const std::vector<DaemonName> &contacts);

} // namespace Filbertlanding
