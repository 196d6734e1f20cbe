/** @file fleet_peers.h Selection of the daemons to which a daemon maintains peer links. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "replication/raft_type.h"

#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

/**
 * Returns all members, the configured contacts, and the leader. A joining daemon does not know the membership yet, and the leader that
 * contacts it need not be one of its contacts. Without a link its replies would not reach that leader, which would never catch it up.
 */
std::set<DaemonName> requiredPeers(const Membership &membership, const DaemonName &leader, const std::vector<DaemonName> &contacts);

/**
 * Daemons that have written recently. They get a link whether or not this daemon knows them as members: a candidate whose addition it has
 * missed needs its vote, and a daemon sends only on the links that it opens.
 */
class RecentSenders
{
public:
    /** Notes a message. Returns whether the daemon had not written recently. */
    bool note(const DaemonName &daemon, TimePoint now);

    /** Returns the daemons that have written recently. */
    std::vector<DaemonName> names(TimePoint now) const;

private:
    std::map<DaemonName, TimePoint> lastMessages;
};

} // namespace Filbertlanding
