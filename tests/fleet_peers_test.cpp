/** @file fleet_peers_test.cpp Tests of the selection of peer links. */

#include "fleetd/fleet_peers.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

TEST_CASE("A joining daemon keeps a link to a leader that is not among its contacts")
{
    // Without the link a replaced host cannot reply to the leader and is never caught up. Losing two more disks then leaves no majority,
    // and the service becomes unavailable.
    Membership bootstrap;
    bootstrap.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
    const std::set<DaemonName> peers = requiredPeers(bootstrap, "10.0.0.4", {"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    CHECK(peers == std::set<DaemonName>{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});

    SUBCASE("joining daemons and learners are included, and an empty leader name adds no peer")
    {
        bootstrap.joining = {{"10.0.0.5", 7}};
        bootstrap.learners = {{"10.0.0.6", 1}};
        CHECK(requiredPeers(bootstrap, "", {"10.0.0.1"}) == std::set<DaemonName>{"10.0.0.1", "10.0.0.2", "10.0.0.5", "10.0.0.6"});
    }
}
