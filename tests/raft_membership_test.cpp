/** @file raft_membership_test.cpp Who votes: daemons that join, replace lost ones and come back, and changes by operators. */

#include "raft_steps.h"

using namespace Filbertlanding;

TEST_CASE("A voter that no bootstrap names takes the place of one that is gone")
{
    // Guards against an installation that loses its majority because lost voters are never removed.
    TestCluster cluster(11, 3, 0);
    cluster.admitsNewVoters = true;
    for (auto &node : cluster.nodes) {
        cluster.stop(*node, false);
        cluster.start(*node);
    }
    waitForLeader(cluster);
    TestNode &gone = otherVoter(cluster, *cluster.leader());
    cluster.stop(gone, false);
    TestNode &fresh = cluster.addNode();
    const VoterId identity = fresh.raft->settings.self;
    REQUIRE(cluster.runUntil(20'000, [&cluster, &fresh, &identity] {
        return cluster.leader() != nullptr && fresh.raft && holdsId(currentMembership(*cluster.leader()->raft).voters, identity);
    }));
    CHECK(cluster.runUntil(20'000, [&cluster] {
        return cluster.leader() != nullptr && currentMembership(*cluster.leader()->raft).voters.size() == 3;
    }));
    CHECK_FALSE(holdsId(currentMembership(*cluster.leader()->raft).voters, {gone.name, 1}));
    CHECK(canCommit(cluster));

    SUBCASE("the one that was gone comes back as a standby, and votes again when another voter is gone")
    {
        // Guards against an even number of voters, which a cut into halves leaves without a majority.
        cluster.start(gone);
        cluster.run(15'000);
        REQUIRE(cluster.leader() != nullptr);
        CHECK(currentMembership(*cluster.leader()->raft).voters.size() == 3);
        CHECK(holdsId(currentMembership(*cluster.leader()->raft).joining, {gone.name, 1}));
        cluster.stop(fresh, false);
        CHECK(cluster.runUntil(30'000, [&cluster, &gone] {
            return cluster.leader() != nullptr && holdsId(currentMembership(*cluster.leader()->raft).voters, {gone.name, 1});
        }));
        CHECK(currentMembership(*cluster.leader()->raft).voters.size() == 3);
    }

    SUBCASE("of two more daemons both vote")
    {
        cluster.start(gone);
        cluster.addNode();
        CHECK(cluster.runUntil(30'000, [&cluster] {
            return cluster.leader() != nullptr && currentMembership(*cluster.leader()->raft).voters.size() == 5;
        }));
    }
}

TEST_CASE("A voter that loses its disk again after its clock went back votes again")
{
    // Guards against a voter that is shut out for good, because the number of its new disk comes from the wall clock and is below the last one.
    constexpr std::uint64_t WhileAhead = 1'000'000;
    constexpr std::uint64_t AfterStepBack = 500'000;
    TestCluster cluster(13, 3, 0);
    TestNode &lost = otherVoter(cluster, waitForLeader(cluster));
    for (const std::uint64_t incarnation : {WhileAhead, AfterStepBack}) {
        cluster.loseDisk(lost);
        lost.newIncarnation = incarnation;
        cluster.start(lost);
        cluster.run(30'000);
    }
    REQUIRE(lost.raft);
    REQUIRE(cluster.leader() != nullptr);
    CHECK(holdsId(currentMembership(*cluster.leader()->raft).voters, lost.raft->settings.self));
    for (auto &node : cluster.nodes) {
        if (node->name != lost.name && node->name != cluster.leader()->name) {
            cluster.stop(*node, false);
        }
    }
    cluster.run(ElectionBound);
    CHECK(canCommit(cluster));
}

TEST_CASE("A failed read on one voter and a lost disk of another lose nothing")
{
    for (int reads = 0; reads < 8; ++reads) {
        TestCluster cluster(17, 3, 0);
        TestNode &leader = waitForLeader(cluster);
        TestNode &holder = otherVoter(cluster, leader);
        TestNode &behind = **std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [&leader, &holder](const auto &node) {
            return node->name != leader.name && node->name != holder.name;
        });
        cluster.stop(behind, false);
        REQUIRE(canCommit(cluster));
        const std::size_t accepted = cluster.accepted.size();
        cluster.loseDisk(leader);
        cluster.stop(holder, false);
        holder.disk.failReadAfter = reads;
        for (int attempt = 0; attempt < 2; ++attempt) {
            // A process whose disk fails ends and is started again.
            cluster.healAll();
        }
        TestNode &next = waitForLeader(cluster);
        CHECK(next.applied >= accepted);
        CHECK(canCommit(cluster));
        CHECK(cluster.runUntil(ElectionBound, [&cluster] {
            return cluster.isRepaired();
        }));
    }
}

TEST_CASE("Operators change the membership one voter at a time")
{
    TestCluster cluster(7, 3, 1);
    TestNode &leader = waitForLeader(cluster);
    const Membership start = currentMembership(*leader.raft);
    const auto change = [&cluster, &leader](const Membership &membership) {
        ProposeResult result = raftChangeMembership(*leader.raft, membership, cluster.clockOf(leader));
        cluster.carryOut(leader, result.actions);
        return result.code;
    };

    SUBCASE("two voters at once are refused")
    {
        Membership two = start;
        two.voters = {leader.raft->settings.self};
        CHECK(change(two) == ResultCode::BadRequest);
    }

    SUBCASE("a daemon without a disk is never promoted")
    {
        Membership promoted = start;
        promoted.voters.push_back({"d", 0});
        CHECK(change(promoted) == ResultCode::BadRequest);
    }

    SUBCASE("the leader removes itself and hands over")
    {
        Membership without = start;
        std::erase(without.voters, leader.raft->settings.self);
        CHECK(change(without) == ResultCode::Ok);
        CHECK(change(start) == ResultCode::MembershipBusy);
        cluster.run(500);
        CHECK(leader.raft->role == RaftRole::Learner);
        CHECK(waitForLeader(cluster).name != leader.name);
        CHECK(canCommit(cluster));
    }

    SUBCASE("a learner with a disk is added, caught up and promoted")
    {
        TestNode &added = *cluster.nodes.back();
        cluster.stop(added, false);
        added.hasDisk = true;
        Membership next = start;
        next.learners = {{"d", 1}};
        CHECK(change(next) == ResultCode::Ok);
        cluster.run(500);
        Membership promoted = start;
        promoted.learners.clear();
        promoted.voters.push_back({"d", 1});
        // Guards against a voter that counts towards the majority before it can help to reach it.
        CHECK(change(promoted) == ResultCode::MembershipBusy);
        cluster.start(added);
        cluster.run(2000);
        CHECK(change(promoted) == ResultCode::Ok);
        cluster.run(500);
        CHECK(added.raft->role == RaftRole::Follower);
        cluster.stop(otherVoter(cluster, leader), false);
        CHECK(canCommit(cluster));
    }
}

TEST_CASE("A lost disk whose request to join is lost with its leader asks again")
{
    // Guards against a daemon that stays out of the membership for good, since an entry that nobody accepted names it.
    TestCluster cluster(41, 5, 0);
    TestNode &old = waitForLeader(cluster);
    TestNode &lost = otherVoter(cluster, old);
    cluster.loseDisk(lost);
    for (const auto &node : cluster.nodes) {
        for (const auto &inside : {old.name, lost.name}) {
            const bool isOutside = node->name != old.name && node->name != lost.name;
            if (isOutside) {
                cluster.blocked.insert({inside, node->name});
                cluster.blocked.insert({node->name, inside});
            }
        }
    }
    cluster.start(lost);
    cluster.run(1000);
    REQUIRE(isMember(currentMembership(*lost.raft), lost.raft->settings.self));
    cluster.run(ElectionBound);
    REQUIRE(cluster.leader() != &old);
    cluster.blocked.clear();
    CHECK(cluster.runUntil(ElectionBound, [&cluster] {
        return cluster.isRepaired();
    }));
}
