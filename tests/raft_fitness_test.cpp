/** @file raft_fitness_test.cpp Scenarios of replicas that should not or may not lead. */

#include "raft_steps.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

TEST_CASE("A replica that is not serving")
{
    SUBCASE("is not elected while others serve")
    {
        // Guards against a leader whose control port is closed.
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            TestCluster cluster(seed, 3, 0, true);
            TestNode &old = waitForLeader(cluster);
            TestNode &closed = otherVoter(cluster, old);
            cluster.setServing(closed, false);
            cluster.run(500);
            cluster.stop(old, false);
            CHECK(&waitForOther(cluster, old, UsualElection) == &thirdVoter(cluster, old, closed));
        }
    }

    SUBCASE("is elected where nobody serves, and hands over once another one does")
    {
        TestCluster cluster(21, 3, 0, true);
        for (auto &node : cluster.nodes) {
            cluster.setServing(*node, false);
        }
        TestNode &first = waitForLeader(cluster);
        cluster.run(1000);
        CHECK_FALSE(hasSuccessor(*first.raft, cluster.clockOf(first)));
        TestNode &open = otherVoter(cluster, first);
        cluster.setServing(open, true);
        CHECK(cluster.runUntil(3000, [&cluster, &first] {
            return hasSuccessor(*first.raft, cluster.clockOf(first));
        }));
        cluster.transfer(first);
        CHECK(&waitForOther(cluster, first, TransferBound) == &open);
    }

    SUBCASE("is passed over as successor, unless there is no other")
    {
        TestCluster cluster(22, 3, 0, true);
        TestNode &old = waitForLeader(cluster);
        TestNode &closed = otherVoter(cluster, old);
        TestNode &third = thirdVoter(cluster, old, closed);
        cluster.setServing(closed, false);
        cluster.run(1000);
        CHECK(hasSuccessor(*old.raft, cluster.clockOf(old)));

        SUBCASE("another one serves")
        {
            cluster.transfer(old);
            CHECK(&waitForOther(cluster, old, TransferBound) == &third);
        }
        SUBCASE("the other one is gone")
        {
            cluster.stop(third, false);
            cluster.run(1100);
            CHECK_FALSE(hasSuccessor(*old.raft, cluster.clockOf(old)));
            cluster.transfer(old);
            CHECK(&waitForOther(cluster, old, TransferBound) == &closed);
        }
    }

    SUBCASE("says so beside its answers to the leader, and nothing otherwise")
    {
        RaftState raft = followerOfTerm5();
        const RaftMessage heartbeat{Leader, Self, 5, AppendRequest{1, 5, {}, 1, 2}};
        CHECK(raftReceive(raft, heartbeat, {200}).send.size() == 1);
        raftSetServing(raft, false, {300});
        const RaftActions told = raftReceive(raft, heartbeat, {400});
        REQUIRE(told.send.size() == 2);
        CHECK(std::holds_alternative<NotServing>(told.send[0].message.body));
        CHECK(raftReceive(raft, heartbeat, {410}).send.size() == 1);
        CHECK(raftReceive(raft, heartbeat, {600}).send.size() == 2);
        raftSetServing(raft, true, {700});
        CHECK(raftReceive(raft, heartbeat, {800}).send.size() == 1);
        raftSetElectable(raft, false, {900});
        CHECK(raftReceive(raft, heartbeat, {1000}).send.size() == 2);
    }
}

TEST_CASE("A replica that may not lead")
{
    TestCluster cluster(31, 3, 0, true);
    TestNode &old = waitForLeader(cluster);
    cluster.run(1000);

    SUBCASE("steps down, and the others elect once its lease has ended")
    {
        // Guards against a leader that keeps a duty which its owner cannot carry out.
        const TimePoint leaseEnd = leaderLeaseEnd(*old.raft);
        REQUIRE(leaseEnd > cluster.clockOf(old));
        cluster.setElectable(old, false);
        CHECK(old.raft->role == RaftRole::Follower);
        CHECK(cluster.offeredNode() == nullptr);
        waitForOther(cluster, old, UsualElection);
        CHECK(cluster.clockOf(old) >= leaseEnd);
    }

    SUBCASE("votes for nobody before its own lease has ended")
    {
        const TimePoint leaseEnd = leaderLeaseEnd(*old.raft);
        cluster.setElectable(old, false);
        TestNode &next = otherVoter(cluster, old);
        const RaftMessage request{{next.name, 1}, {old.name, 1}, old.raft->term + 1, VoteRequest{false, 1000, old.raft->term}};
        CHECK(raftReceive(*old.raft, request, leaseEnd + Duration{-1}).send.empty());
        CHECK(grantsVote(raftReceive(*old.raft, request, leaseEnd)));
    }

    SUBCASE("leads on as the only voter, until another one has joined")
    {
        // Guards against a leader that keeps a duty since nobody could take it over when its owner stopped.
        TestCluster small(32, 1, 0, true);
        small.admitsNewVoters = true;
        TestNode &only = *small.nodes.front();
        small.stop(only, false);
        small.start(only);
        REQUIRE(&waitForLeader(small) == &only);
        small.setElectable(only, false);
        small.run(UsualElection);
        CHECK(small.leader() == &only);
        small.addNode();
        waitForOther(small, only, ElectionBound);
    }

    SUBCASE("does not stand while the others are away, and stands again once it may")
    {
        cluster.setElectable(old, false);
        TestNode &next = otherVoter(cluster, old);
        cluster.setElectable(next, false);
        cluster.stop(thirdVoter(cluster, old, next), false);
        cluster.run(60000);
        CHECK(cluster.leader() == nullptr);
        CHECK(old.raft->role == RaftRole::Follower);
        cluster.setElectable(old, true);
        CHECK(cluster.runUntil(UsualElection, [&cluster, &old] {
            return cluster.leader() == &old;
        }));
    }
}
