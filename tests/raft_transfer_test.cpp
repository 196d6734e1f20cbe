/** @file raft_transfer_test.cpp Scenarios of the transfer of leadership. */

#include "raft_steps.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

bool refusesVote(const RaftActions &actions)
{
    const auto answers = sentOf<VoteAnswer>(actions);
    return answers.size() == 1 && !std::get<VoteAnswer>(answers[0].message.body).granted;
}

/** Restarts, pauses, cuts off or resumes a node, changes whether it serves or may lead, or lets the leader hand over to a node that is paused. */
void disturbAtRandom(TestCluster &cluster)
{
    TestNode &node = *cluster.nodes[cluster.random.below(cluster.nodes.size())];
    TestNode *leader = cluster.leader();
    const bool isChosen = cluster.random.below(2) == 0;
    switch (cluster.random.below(7)) {
    case 0:
        cluster.stop(node, isChosen);
        cluster.start(node);
        break;
    case 1:
        cluster.isolate(node, isChosen);
        break;
    case 2:
        node.isPaused = isChosen;
        break;
    case 3:
        cluster.setServing(node, isChosen);
        break;
    case 4:
        cluster.setElectable(node, isChosen);
        break;
    default:
        if (leader != nullptr) {
            cluster.transfer(*leader);
            TestNode *successor = cluster.offeredNode();
            if (successor != nullptr) {
                successor->isPaused = isChosen;
            }
        }
        break;
    }
    cluster.proposeNext();
}

/** Three voters whose leader has transferred its leadership to one that is paused since. */
struct PausedTransfer {
    TestCluster cluster;
    TestNode *old;
    TestNode *successor;
    TestNode *third;

    explicit PausedTransfer(std::uint64_t seed)
        : cluster(seed, 3, 0, true)
        , old(&waitForLeader(this->cluster))
    {
        this->cluster.run(1000);
        this->cluster.transfer(*this->old);
        this->successor = this->cluster.offeredNode();
        REQUIRE(this->successor != nullptr);
        this->third = &thirdVoter(this->cluster, *this->old, *this->successor);
        this->successor->isPaused = true;
    }
};

} // namespace

TEST_CASE("A leader hands its leadership over")
{
    TestCluster cluster(11, 3, 1, true);
    TestNode &old = waitForLeader(cluster);
    cluster.run(1000);
    const std::uint64_t term = old.raft->term;
    const std::uint64_t accepted = cluster.accepted.size();

    SUBCASE("another voter leads the next term at once, and callers lose no time")
    {
        // Guards against a planned stop that costs the callers an election timeout.
        cluster.transfer(old);
        CHECK(old.raft->role == RaftRole::Follower);
        CHECK(leaderLeaseEnd(*old.raft) == TimePoint());
        TestNode &next = waitForOther(cluster, old, TransferBound);
        CHECK(next.raft->term == term + 1);
        CHECK(canCommit(cluster));
        cluster.run(UsualElection);
        CHECK(cluster.leader() == &next);
        CHECK(next.raft->term == term + 1);
    }

    SUBCASE("a voter that lags is not chosen")
    {
        TestNode &late = otherVoter(cluster, old);
        cluster.isolate(late, true);
        CHECK(canCommit(cluster));
        cluster.isolate(late, false);
        cluster.transfer(old);
        CHECK(&waitForOther(cluster, old, TransferBound) == &thirdVoter(cluster, old, late));
    }

    SUBCASE("what was proposed just before is accepted under the successor, and nothing is proposed meanwhile")
    {
        const std::uint64_t index = cluster.proposeNext();
        cluster.transfer(old);
        REQUIRE(old.raft->transferDue);
        const ProposeResult refused = cluster.propose(old, "late=1");
        CHECK(refused.code == ResultCode::NotLeader);
        CHECK(refused.leaderHint.empty());
        Membership membership = currentMembership(*old.raft);
        membership.learners.clear();
        CHECK(raftChangeMembership(*old.raft, membership, cluster.clockOf(old)).code == ResultCode::MembershipBusy);
        waitForOther(cluster, old, TransferBound);
        CHECK(cluster.runUntil(TransferBound, [&cluster, index] {
            return cluster.accepted.size() > index;
        }));
        CHECK_FALSE(cluster.accepted[index - 1].payload.empty());
        CHECK_FALSE(old.values.contains("late"));
    }

    SUBCASE("a second call changes nothing")
    {
        cluster.transfer(old);
        cluster.transfer(old);
        const auto offers = std::count_if(cluster.network.begin(), cluster.network.end(), [](const auto &item) {
            return std::holds_alternative<TimeoutNow>(item.second.message.body);
        });
        CHECK(offers == 1);
        waitForOther(cluster, old, TransferBound);
        cluster.transfer(old);
        cluster.run(UsualElection);
        CHECK(cluster.leader()->raft->term == term + 1);
    }

    SUBCASE("a second call during a transfer does not prolong it")
    {
        cluster.isolate(old, true);
        cluster.proposeNext();
        cluster.transfer(old);
        REQUIRE(old.raft->transferDue);
        const TimePoint due = *old.raft->transferDue;
        cluster.run(300);
        cluster.transfer(old);
        CHECK(old.raft->transferDue == due);
    }

    SUBCASE("it steps down without a successor when nobody can catch up, and does not stand first")
    {
        cluster.isolate(old, true);
        cluster.proposeNext();
        cluster.transfer(old);
        cluster.run(900);
        CHECK(old.raft->role == RaftRole::Leader);
        cluster.run(150);
        CHECK(old.raft->role == RaftRole::Follower);
        CHECK(cluster.offeredNode() == nullptr);
        CHECK(old.raft->electionDue >= cluster.clockOf(old) + old.raft->settings.electionTimeoutMax);
        waitForOther(cluster, old, UsualElection);
    }

    SUBCASE("the successor dies before it stands")
    {
        cluster.transfer(old);
        TestNode *successor = cluster.offeredNode();
        REQUIRE(successor != nullptr);
        cluster.stop(*successor, true);
        TestNode &next = waitForOther(cluster, old, UsualElection);
        CHECK(&next == &thirdVoter(cluster, old, *successor));
        CHECK(canCommit(cluster));
    }

    SUBCASE("the successor loses its disk before it stands")
    {
        // Guards against an offer that a new incarnation takes for its own.
        cluster.transfer(old);
        TestNode *successor = cluster.offeredNode();
        REQUIRE(successor != nullptr);
        cluster.loseDisk(*successor);
        cluster.start(*successor);
        waitForOther(cluster, old, UsualElection);
        CHECK(&*cluster.leader() == &thirdVoter(cluster, old, *successor));
        CHECK(cluster.runUntil(ElectionBound, [&cluster] {
            return cluster.isRepaired();
        }));
    }

    SUBCASE("the voters restart before they are asked for their votes")
    {
        // Guards against a restarted voter that takes the guard of the old leader's lease for a reason to refuse.
        cluster.transfer(old);
        TestNode *successor = cluster.offeredNode();
        REQUIRE(successor != nullptr);
        for (TestNode *voter : {&old, &thirdVoter(cluster, old, *successor)}) {
            cluster.stop(*voter, false);
            cluster.start(*voter);
        }
        CHECK(cluster.runUntil(TransferBound, [&cluster, successor] {
            return cluster.leader() == successor;
        }));
    }

    SUBCASE("a change of the membership is under way")
    {
        // Guards against a successor that the change removes, and against a change that is lost.
        TestNode &removed = otherVoter(cluster, old);
        Membership membership = currentMembership(*old.raft);
        std::erase(membership.voters, VoterId{removed.name, 1});
        ProposeResult change = raftChangeMembership(*old.raft, membership, cluster.clockOf(old));
        REQUIRE(change.code == ResultCode::Ok);
        cluster.carryOut(old, change.actions);
        cluster.transfer(old);
        TestNode &next = waitForOther(cluster, old, TransferBound);
        CHECK(&next == &thirdVoter(cluster, old, removed));
        CHECK(currentMembership(*next.raft) == membership);
        CHECK(canCommit(cluster));
    }

    CHECK(cluster.accepted.size() >= accepted);
}

TEST_CASE("A leadership that cannot be handed over stays")
{
    SUBCASE("the only voter keeps leading, also beside learners")
    {
        TestCluster cluster(12, 1, 2);
        TestNode &only = waitForLeader(cluster);
        cluster.run(1000);
        cluster.transfer(only);
        CHECK_FALSE(only.raft->transferDue);
        CHECK(only.raft->role == RaftRole::Leader);
        CHECK_FALSE(hasSuccessor(*only.raft, cluster.clockOf(only)));
        CHECK(canCommit(cluster));
        cluster.setElectable(only, false);
        CHECK(only.raft->role == RaftRole::Leader);
    }

    SUBCASE("a learner is offered nothing")
    {
        TestCluster cluster(13, 2, 2);
        TestNode &old = waitForLeader(cluster);
        cluster.stop(otherVoter(cluster, old), false);
        cluster.run(1100);
        cluster.transfer(old);
        const bool isOffered = cluster.runUntil(UsualElection, [&cluster] {
            return cluster.offeredNode() != nullptr;
        });
        CHECK_FALSE(isOffered);
        cluster.start(otherVoter(cluster, old));
        CHECK(waitForLeader(cluster).hasDisk);
    }

    SUBCASE("a replica that does not lead does nothing")
    {
        RaftState raft = followerOfTerm5();
        CHECK(raftTransferLeadership(raft, {10}).send.empty());
        CHECK_FALSE(raft.transferDue);
    }
}

TEST_CASE("An offer of leadership is taken in the next term only")
{
    RaftState raft = followerOfTerm5();
    const RaftMessage offer{Leader, Self, 5, TimeoutNow{}};

    SUBCASE("the voters are asked at once, after the own vote is on the disk")
    {
        const RaftActions actions = raftReceive(raft, offer, {10});
        CHECK(sentOf<TransferVoteRequest>(actions).size() == 2);
        CHECK(actions.send.size() == 2);
        REQUIRE(actions.persistHardState);
        CHECK(actions.persistHardState->term == 6);
        CHECK(actions.persistHardState->votedFor == Self);

        SUBCASE("a repeated offer causes no second candidacy")
        {
            CHECK(raftReceive(raft, offer, {11}).send.empty());
            CHECK(raft.term == 6);
        }
        SUBCASE("a repeated offer that comes after the election changes nothing")
        {
            raftReceive(raft, {Other, Self, 6, VoteAnswer{false, true}}, {11});
            REQUIRE(raft.role == RaftRole::Leader);
            CHECK(raftReceive(raft, offer, {12}).send.empty());
            CHECK(raft.role == RaftRole::Leader);
            CHECK(raft.term == 6);
        }
        SUBCASE("without votes the next term takes an ordinary pre-vote")
        {
            const RaftActions later = raftTick(raft, {3000});
            CHECK(sentOf<TransferVoteRequest>(later).empty());
            REQUIRE(sentOf<VoteRequest>(later).size() == 2);
            CHECK(std::get<VoteRequest>(sentOf<VoteRequest>(later)[0].message.body).preVote);
            const RaftActions won = raftReceive(raft, {Other, Self, 7, VoteAnswer{true, true}}, {3001});
            CHECK(sentOf<TransferVoteRequest>(won).empty());
            CHECK(sentOf<VoteRequest>(won).size() == 2);
        }
    }

    SUBCASE("another leader has been elected in the next term")
    {
        // Guards against a replica that was paused between the offer and its candidacy.
        raftReceive(raft, {Other, Self, 6, AppendRequest{1, 5, {}, 1, 1}}, {10});
        CHECK(raftReceive(raft, offer, {11}).send.empty());
        CHECK(raft.leader == Other);
        CHECK(raft.term == 6);
    }
    SUBCASE("a vote was given in the next term")
    {
        REQUIRE(grantsVote(raftReceive(raft, {Other, Self, 6, TransferVoteRequest{1, 5}}, {10})));
        CHECK(raftReceive(raft, offer, {11}).send.empty());
    }
    SUBCASE("the old leader is elected again")
    {
        raftReceive(raft, {Leader, Self, 7, AppendRequest{1, 5, {}, 1, 1}}, {10});
        CHECK(raftReceive(raft, offer, {11}).send.empty());
        CHECK(raft.term == 7);
    }
    SUBCASE("it comes from a replica that does not lead, or of another term")
    {
        CHECK(raftReceive(raft, {Other, Self, 5, TimeoutNow{}}, {10}).send.empty());
        CHECK(raftReceive(raft, {Leader, Self, 4, TimeoutNow{}}, {10}).send.empty());
        CHECK(raftReceive(raft, {Leader, Self, 6, TimeoutNow{}}, {10}).send.empty());
        CHECK(raft.term == 5);
    }
    SUBCASE("it is for an earlier incarnation")
    {
        CHECK(raftReceive(raft, {Leader, {"c", 9}, 5, TimeoutNow{}}, {10}).send.empty());
    }
    SUBCASE("an election has begun meanwhile")
    {
        raftTick(raft, {2500});
        REQUIRE(raft.role == RaftRole::PreCandidate);
        CHECK(raftReceive(raft, offer, {2501}).send.empty());
    }
    SUBCASE("the replica may not lead")
    {
        raftSetElectable(raft, false, {10});
        CHECK(raftReceive(raft, offer, {11}).send.empty());
        CHECK(raft.term == 5);
    }
    SUBCASE("the replica has no disk")
    {
        RaftSettings settings;
        settings.self = {"d", 0};
        settings.bootstrap = {{Leader, Other, Self}, {{"d", 0}}, {}};
        RaftState learner = raftStart(settings, {}, {0}).state;
        raftReceive(learner, {Leader, {"d", 0}, 5, AppendRequest{0, 0, {}, 0, 1}}, {0});
        CHECK(raftReceive(learner, {Leader, {"d", 0}, 5, TimeoutNow{}}, {10}).send.empty());
        CHECK(learner.role == RaftRole::Learner);
    }
}

TEST_CASE("A vote for a successor")
{
    RaftState raft = followerOfTerm5();
    const RaftMessage request{Other, Self, 6, TransferVoteRequest{1, 5}};

    SUBCASE("is granted despite a recent contact with the old leader, which refuses any other candidate")
    {
        CHECK(raftReceive(raft, {Other, Self, 6, VoteRequest{false, 1, 5}}, {10}).send.empty());
        const RaftActions actions = raftReceive(raft, request, {10});
        CHECK(grantsVote(actions));
        REQUIRE(actions.persistHardState);
        CHECK(actions.persistHardState->votedFor == Other);

        SUBCASE("once: another candidate and a repeated request get none")
        {
            CHECK(refusesVote(raftReceive(raft, {Leader, Self, 6, TransferVoteRequest{1, 5}}, {11})));
            CHECK(refusesVote(raftReceive(raft, request, {11})));
            CHECK(raft.votedFor == Other);
        }
    }

    SUBCASE("is refused in a term that is not higher than the own one")
    {
        CHECK(refusesVote(raftReceive(raft, {Other, Self, 5, TransferVoteRequest{9, 5}}, {10})));
        CHECK(refusesVote(raftReceive(raft, {Other, Self, 4, TransferVoteRequest{9, 5}}, {10})));
        CHECK(raft.leader == Leader);
    }

    SUBCASE("is refused after a later leader was heard")
    {
        raftReceive(raft, {Leader, Self, 6, AppendRequest{1, 5, {}, 1, 1}}, {10});
        CHECK(refusesVote(raftReceive(raft, request, {11})));
        CHECK(raft.leader == Leader);
    }

    SUBCASE("is refused to a log that lacks an entry")
    {
        CHECK(refusesVote(raftReceive(raft, {Other, Self, 6, TransferVoteRequest{0, 0}}, {10})));
        CHECK(refusesVote(raftReceive(raft, {Other, Self, 7, TransferVoteRequest{9, 4}}, {10})));
    }

    SUBCASE("is not given to an earlier incarnation")
    {
        raft.memberships.back().membership.voters[1].incarnation = 2;
        CHECK(raftReceive(raft, request, {10}).send.empty());
    }

    SUBCASE("is granted by a voter that restarted and guards the old leader's lease")
    {
        PersistedState persisted;
        persisted.hardState = {5, std::nullopt, 1};
        persisted.log = {{1, 5, EntryKind::Command, "entry"}};
        RaftState restarted = raftStart(raft.settings, persisted, {20}).state;
        CHECK(raftReceive(restarted, {Other, Self, 6, VoteRequest{false, 1, 5}}, {21}).send.empty());
        CHECK(grantsVote(raftReceive(restarted, request, {21})));
    }
}

TEST_CASE("The successor is paused between the offer and its candidacy")
{
    // Guards against a second leader, or leases that overlap, when a paused process acts on what it was told before.
    SUBCASE("and wakes after another leader has been elected")
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            PausedTransfer story(seed);
            TestNode &next = waitForOther(story.cluster, *story.old, UsualElection);
            CHECK(&next == story.third);
            story.cluster.run(1000);
            story.successor->isPaused = false;
            story.cluster.run(UsualElection);
            CHECK(story.cluster.leader() == &next);
            CHECK(canCommit(story.cluster));
        }
    }

    SUBCASE("and wakes after the old leader has been elected again")
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            PausedTransfer story(seed);
            story.cluster.setElectable(*story.third, false);
            REQUIRE(story.cluster.runUntil(3 * UsualElection, [&story] {
                return story.cluster.leader() == story.old;
            }));
            const std::uint64_t term = story.old->raft->term;
            story.cluster.run(1000);
            story.successor->isPaused = false;
            story.cluster.run(UsualElection);
            CHECK(story.cluster.leader() == story.old);
            CHECK(story.old->raft->term == term);
        }
    }

    SUBCASE("and wakes while the others hold an election")
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            PausedTransfer story(seed);
            story.cluster.run(900 + 20 * static_cast<std::int64_t>(seed));
            story.successor->isPaused = false;
            waitForLeader(story.cluster);
            CHECK(canCommit(story.cluster));
        }
    }
}

TEST_CASE("Transfers among voters that admit new ones and remove silent ones")
{
    // Guards against leases that overlap, and a cluster that stays without a leader, when the membership changes beside the transfers.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TestCluster cluster(seed, 3, 0, true);
        cluster.admitsNewVoters = true;
        for (auto &node : cluster.nodes) {
            cluster.stop(*node, false);
            cluster.start(*node);
        }
        cluster.addNode();
        for (int i = 0; i < 60; ++i) {
            disturbAtRandom(cluster);
            cluster.run(static_cast<std::int64_t>(cluster.random.below(1500)));
        }
        cluster.healAll();
        waitForLeader(cluster);
        CHECK_MESSAGE(canCommit(cluster), "seed " << seed);
    }
}
