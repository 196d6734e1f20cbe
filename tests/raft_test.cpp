/** @file raft_test.cpp Scenarios of the replicated log, of its membership and of the leases that its leader grants. */

#include "raft_cluster.h"
#include "replication/lease_view.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr std::int64_t ElectionBound = 10000; ///< Five longest election timeouts, for split votes.

/** Waits for a leader that has accepted an entry of its term. */
TestNode &waitForLeader(TestCluster &cluster)
{
    REQUIRE(cluster.runUntil(ElectionBound, [&cluster] {
        const TestNode *leader = cluster.leader();
        return leader != nullptr && leader->raft->commitIndex >= leader->raft->termStart;
    }));
    return *cluster.leader();
}

/** Returns a voter that is not the given node. */
TestNode &otherVoter(TestCluster &cluster, const TestNode &node)
{
    return node.name == "a" ? cluster.nodeNamed("b") : cluster.nodeNamed("a");
}

bool canCommit(TestCluster &cluster)
{
    const std::uint64_t index = cluster.proposeNext();
    return index > 0 && cluster.runUntil(2000, [&cluster, index] {
        return cluster.accepted.size() >= index;
    });
}

RaftMessage voteRequest(const VoterId &from, const VoterId &to, std::uint64_t term, bool preVote = false)
{
    return {from, to, term, VoteRequest{preVote, 1000, term - 1}};
}

/** Returns whether the actions grant a vote. */
bool grantsVote(const RaftActions &actions)
{
    for (const auto &envelope : actions.send) {
        const auto *answer = std::get_if<VoteAnswer>(&envelope.message.body);
        if (answer != nullptr && answer->granted) {
            return true;
        }
    }
    return false;
}

RaftSettings voterSettings(std::uint64_t incarnation)
{
    RaftSettings settings;
    settings.self = {"c", incarnation};
    settings.hasDisk = true;
    settings.bootstrap.voters = {{"a", 1}, {"b", 1}, {"c", 1}};
    return settings;
}

} // namespace

TEST_CASE("A leader is silently isolated for a long time, then healed")
{
    TestCluster cluster(1);
    TestNode &old = waitForLeader(cluster);
    const std::uint64_t oldTerm = old.raft->term;
    cluster.isolate(old, true);
    cluster.read(old);
    cluster.propose(old, "lost=1");

    // Guards against an isolated leader that keeps granting leases: check-quorum ends its role within the longest election timeout.
    CHECK(cluster.runUntil(2100, [&old] {
        return old.raft->role != RaftRole::Leader;
    }));
    CHECK(cluster.readsAnswered == 0);
    TestNode &next = waitForLeader(cluster);
    CHECK(next.name != old.name);
    CHECK(canCommit(cluster));
    cluster.run(600000);
    const std::uint64_t term = next.raft->term;
    CHECK(term > oldTerm);

    SUBCASE("its return neither deposes the leader nor brings back its own entry")
    {
        // Without pre-vote its term would have grown in every election that it could not win.
        cluster.isolate(old, false);
        cluster.run(3000);
        CHECK(next.raft->role == RaftRole::Leader);
        CHECK(next.raft->term == term);
        CHECK(cluster.hasConverged(cluster.accepted.size()));
        CHECK_FALSE(old.values.contains("lost"));
    }
}

TEST_CASE("A host returns after 500 changes")
{
    TestCluster cluster(2);
    TestNode &leader = waitForLeader(cluster);
    TestNode &late = otherVoter(cluster, leader);
    cluster.stop(late, false);
    for (int i = 0; i < 500; ++i) {
        cluster.proposeNext();
        cluster.run(10);
    }
    // Guards against a log that grows without bound, and against a host that cannot catch up once entries are dropped.
    CHECK(leader.raft->log.size() < 100);
    const std::size_t before = late.snapshotsInstalled;
    cluster.start(late);
    CHECK(cluster.runUntil(5000, [&cluster] {
        return cluster.hasConverged(500);
    }));
    CHECK(late.snapshotsInstalled > before);
}

TEST_CASE("All hosts lose power at once")
{
    TestCluster cluster(3, 3, 0);
    waitForLeader(cluster);
    for (int i = 0; i < 25; ++i) {
        cluster.proposeNext();
    }
    cluster.run(1000);
    const std::size_t accepted = cluster.accepted.size();
    for (auto &node : cluster.nodes) {
        cluster.stop(*node, true);
    }
    for (auto &node : cluster.nodes) {
        cluster.start(*node);
        cluster.isolate(*node, true);
    }
    cluster.run(100);
    // Guards against a configuration that reverts after a restart: each host serves what it had applied, without any peer.
    for (const auto &node : cluster.nodes) {
        CHECK(node->applied == accepted);
    }
    cluster.blocked.clear();
    waitForLeader(cluster);
    CHECK(canCommit(cluster));
}

TEST_CASE("A host that lost its disk")
{
    SUBCASE("does not answer for its old identity")
    {
        RaftState raft = raftStart(voterSettings(2), {}, {});
        CHECK(raft.role == RaftRole::Learner);
        CHECK(raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5), {5000}).send.empty());
        CHECK(raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5, true), {5000}).send.empty());
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 5, AppendRequest{}}, {5000}).send.empty());
        // A candidate whose membership lists the new incarnation may count on it.
        CHECK(grantsVote(raftReceive(raft, voteRequest({"a", 1}, {"c", 2}, 5), {5000})));
    }

    SUBCASE("does not complete a majority before it has been taken in again")
    {
        // Guards against accepted entries that vanish: "b" may hold entries that only "b" and the lost disk had.
        TestCluster cluster(4, 3, 0);
        waitForLeader(cluster);
        const std::uint64_t term = cluster.leader()->raft->term;
        cluster.isolate(cluster.nodeNamed("b"), true);
        cluster.loseDisk(cluster.nodeNamed("c"));
        cluster.stop(cluster.nodeNamed("a"), true);
        cluster.start(cluster.nodeNamed("c"));
        cluster.start(cluster.nodeNamed("a"));
        cluster.run(60000);
        CHECK(cluster.leader() == nullptr);
        CHECK(cluster.leaders.rbegin()->first == term);

        cluster.blocked.clear();
        CHECK(cluster.runUntil(ElectionBound, [&cluster] {
            return cluster.isRepaired();
        }));
        CHECK(holdsId(currentMembership(*cluster.leader()->raft).voters, {"c", 2}));
        // The old identity comes back, as from a disk that was put in again: nobody votes for it.
        TestNode &voter = cluster.nodeNamed("b");
        const auto actions = raftReceive(*voter.raft, voteRequest({"c", 1}, {"b", 1}, 99), {voter.raft->electionDue.ms + 100000});
        CHECK(actions.send.empty());
    }

    SUBCASE("is not replaced while its old identity answers")
    {
        // Guards against a second process with the same name, which would push the healthy one out.
        TestCluster cluster(5, 3, 0);
        TestNode &leader = waitForLeader(cluster);
        TestNode &twin = otherVoter(cluster, leader);
        const RaftMessage join{{twin.name, 9}, {leader.name, 0}, 0, JoinRequest{true}};
        cluster.carryOut(leader, raftReceive(*leader.raft, join, cluster.clockOf(leader)));
        cluster.run(1000);
        CHECK(holdsId(currentMembership(*leader.raft).joining, {twin.name, 9}));
        CHECK(holdsId(currentMembership(*leader.raft).voters, {twin.name, 1}));
    }
}

TEST_CASE("A vote survives a restart")
{
    // Guards against two leaders in one term.
    RaftState raft = raftStart(voterSettings(1), {}, {});
    const RaftActions first = raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5), {});
    REQUIRE(grantsVote(first));
    REQUIRE(first.persistHardState);
    PersistedState persisted;
    persisted.hardState = *first.persistHardState;
    RaftState restarted = raftStart(voterSettings(1), persisted, {});
    CHECK_FALSE(grantsVote(raftReceive(restarted, voteRequest({"b", 1}, {"c", 1}, 5), {})));
    CHECK(grantsVote(raftReceive(restarted, voteRequest({"a", 1}, {"c", 1}, 5), {})));
}

TEST_CASE("A daemon without a disk restarts in a partitioned availability zone")
{
    // Guards against a daemon that cannot serve under the configuration that its zone had accepted.
    TestCluster cluster(6, 3, 1);
    waitForLeader(cluster);
    for (int i = 0; i < 90; ++i) {
        cluster.proposeNext();
        cluster.run(10);
    }
    cluster.run(1000);
    TestNode &learner = cluster.nodeNamed("d");
    for (const DaemonName inside : {"a", "d"}) {
        for (const DaemonName outside : {"b", "c"}) {
            cluster.blocked.insert({inside, outside});
            cluster.blocked.insert({outside, inside});
        }
    }
    cluster.run(5000);
    const std::uint64_t known = cluster.nodeNamed("a").applied;
    cluster.stop(learner, false);
    cluster.start(learner);
    cluster.run(5000);
    CHECK(known >= 90);
    CHECK(learner.applied == known);
    CHECK(learner.values == cluster.nodeNamed("a").values);
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

TEST_CASE("A new leader answers no read before it has accepted an entry of its own term")
{
    // Guards against a read that misses entries which the leader holds but does not know to be accepted.
    RaftState raft = raftStart(voterSettings(1), {}, {});
    raftTick(raft, {5000});
    raftReceive(raft, {{"a", 1}, {"c", 1}, 1, VoteAnswer{true, true}}, {5001});
    raftReceive(raft, {{"a", 1}, {"c", 1}, 1, VoteAnswer{false, true}}, {5002});
    REQUIRE(raft.role == RaftRole::Leader);
    raftRead(raft, 7, {5003});
    const std::uint64_t round = raft.round;
    CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{false, 0, 0, round}}, {5004}).reads.empty());
    const RaftActions done = raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, round}}, {5005});
    REQUIRE(done.reads.size() == 1);
    CHECK(done.reads[0].code == ResultCode::Ok);
    CHECK(done.reads[0].index == 1);

    SUBCASE("an answer to an earlier round confirms nothing")
    {
        raftRead(raft, 8, {5010});
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round - 1}}, {5011}).reads.empty());
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round}}, {5012}).reads.size() == 1);
    }

    SUBCASE("an answer from an identity outside the membership confirms nothing")
    {
        raftRead(raft, 8, {5010});
        CHECK(raftReceive(raft, {{"a", 2}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round}}, {5011}).reads.empty());
        CHECK(raftReceive(raft, {{"a", 2}, {"c", 1}, 50, AppendAnswer{}}, {5011}).reads.empty());
        CHECK(raft.role == RaftRole::Leader);
    }
}

TEST_CASE("Leases end at the requester before the leader gives the jobs away")
{
    SUBCASE("for every clock drift within 1% and every delay of the messages")
    {
        // Guards against a survey that runs in two places.
        for (std::int64_t requesterPermille = 990; requesterPermille <= 1010; ++requesterPermille) {
            for (const std::int64_t delay : {0, 40, 2000}) {
                LeaseView view;
                LeaseGrants grants = startLeaseGrants({0});
                const std::uint64_t probe = startProbe(view, {0});
                grantLease(grants, "a", {delay});
                probeAnswered(view, probe, 12);
                for (std::int64_t now = 0; now < 40000; now += 10) {
                    const bool isUsed = isRunning(view, 12, {now * requesterPermille / 1000});
                    REQUIRE_FALSE((isUsed && mayReassign(grants, "a", {now})));
                }
                CHECK(mayReassign(grants, "a", {40000}));
            }
        }
    }

    SUBCASE("a new leader waits for leases that an earlier one may have granted")
    {
        const LeaseGrants grants = startLeaseGrants({50000});
        CHECK_FALSE(mayReassign(grants, "a", {80400}));
        CHECK(mayReassign(grants, "a", {80401}));
    }

    SUBCASE("a daemon is fresh only with the accepted state applied, and counts from before it asked")
    {
        LeaseView view;
        CHECK_FALSE(isFresh(view, 100, {0}));
        const std::uint64_t first = startProbe(view, {1000});
        const std::uint64_t second = startProbe(view, {1500});
        probeAnswered(view, second, 12);
        CHECK_FALSE(isFresh(view, 11, {2000}));
        CHECK(isFresh(view, 12, {4499}));
        CHECK_FALSE(isFresh(view, 12, {4500}));
        CHECK(isRunning(view, 12, {31499}));
        CHECK(runningLeaseEnd(view) == TimePoint{31500});
        probeAnswered(view, first, 5);
        CHECK(runningLeaseEnd(view) == TimePoint{31500});
        CHECK_FALSE(isFresh(view, 11, {2000}));
    }
}
