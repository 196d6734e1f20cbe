/** @file fleet_peers_test.cpp Links that a daemon keeps. */

#include "fleetd/fleet_peers.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

TEST_CASE("A daemon that joins keeps a link to a leader that is none of its contacts")
{
    // Guards against a replaced host that is never caught up, because its answers to the leader have no way: with two disks lost later no
    // majority was left, and nothing was served any more.
    Membership bootstrap;
    bootstrap.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
    const std::set<DaemonName> peers = requiredPeers(bootstrap, "10.0.0.4", {"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    CHECK(peers == std::set<DaemonName>{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});

    SUBCASE("joining daemons and learners are peers too, and no leader adds none")
    {
        bootstrap.joining = {{"10.0.0.5", 7}};
        bootstrap.learners = {{"10.0.0.6", 1}};
        CHECK(requiredPeers(bootstrap, "", {"10.0.0.1"}) == std::set<DaemonName>{"10.0.0.1", "10.0.0.2", "10.0.0.5", "10.0.0.6"});
    }
}
