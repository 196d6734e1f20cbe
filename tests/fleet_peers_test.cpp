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

TEST_CASE("A daemon that has written recently gets a link for some seconds")
{
    // Guards against a candidate whose request for a vote cannot be answered.
    RecentSenders senders;
    const TimePoint start{1'000};
    CHECK(senders.note("10.0.0.4", start));
    CHECK(!senders.note("10.0.0.4", start + Duration{9'000}));
    CHECK(senders.names(start + Duration{18'000}) == std::vector<DaemonName>{"10.0.0.4"});
    CHECK(senders.names(start + Duration{19'000}).empty());
    CHECK(senders.note("10.0.0.4", start + Duration{19'000}));
}
