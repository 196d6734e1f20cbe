/** @file raft_steps.h Steps that the tests of the replicated log share. */

#pragma once

#include "raft_cluster.h"

#include <doctest/doctest.h>

namespace Filbertlanding {

inline constexpr std::int64_t ElectionBound = 10000; ///< Five longest election timeouts, for split votes.

/** Waits for a leader that has accepted an entry of its term. */
inline TestNode &waitForLeader(TestCluster &cluster)
{
    REQUIRE(cluster.runUntil(ElectionBound, [&cluster] {
        const TestNode *leader = cluster.leader();
        return leader != nullptr && leader->raft->commitIndex >= leader->raft->termStart;
    }));
    return *cluster.leader();
}

/** Returns a voter that is not the given node. */
inline TestNode &otherVoter(TestCluster &cluster, const TestNode &node)
{
    return node.name == "a" ? cluster.nodeNamed("b") : cluster.nodeNamed("a");
}

/** Returns whether a new entry is accepted in time. */
inline bool canCommit(TestCluster &cluster)
{
    const std::uint64_t index = cluster.proposeNext();
    return index > 0 && cluster.runUntil(2000, [&cluster, index] {
        return cluster.accepted.size() >= index;
    });
}

inline constexpr std::int64_t TransferBound = 100; ///< Some message delays; far below the shortest election timeout.
inline constexpr std::int64_t UsualElection = 5000; ///< Two longest election timeouts and the exchange of votes, for one split vote.

inline const VoterId Self{"c", 1};
inline const VoterId Leader{"a", 1};
inline const VoterId Other{"b", 1};

/** Returns the messages of one kind. */
template<class Body>
std::vector<RaftEnvelope> sentOf(const RaftActions &actions)
{
    std::vector<RaftEnvelope> found;
    for (const auto &envelope : actions.send) {
        if (std::holds_alternative<Body>(envelope.message.body)) {
            found.push_back(envelope);
        }
    }
    return found;
}

/** Returns whether the actions grant a vote. */
inline bool grantsVote(const RaftActions &actions)
{
    const auto answers = sentOf<VoteAnswer>(actions);
    return answers.size() == 1 && std::get<VoteAnswer>(answers[0].message.body).granted;
}

/** Returns a follower, "c" of three voters, that has just heard the leader "a" of term 5 and holds one entry. */
inline RaftState followerOfTerm5()
{
    RaftSettings settings;
    settings.self = Self;
    settings.hasDisk = true;
    settings.guardsLeaderLease = true;
    settings.bootstrap.voters = {Leader, Other, Self};
    RaftState raft = raftStart(settings, {}, {0}).state;
    raftReceive(raft, {Leader, Self, 5, AppendRequest{0, 0, {{1, 5, EntryKind::Command, "entry"}}, 1, 1}}, {0});
    REQUIRE(raft.term == 5);
    REQUIRE(raft.leader == Leader);
    return raft;
}

inline TestNode *leaderOtherThan(TestCluster &cluster, const TestNode &node)
{
    TestNode *leader = cluster.leader();
    return leader == &node ? nullptr : leader;
}

/** Waits for a leader other than the given one. */
inline TestNode &waitForOther(TestCluster &cluster, const TestNode &old, std::int64_t ms)
{
    REQUIRE(cluster.runUntil(ms, [&cluster, &old] {
        return leaderOtherThan(cluster, old) != nullptr;
    }));
    return *cluster.leader();
}

/** Returns the third voter of three. */
inline TestNode &thirdVoter(TestCluster &cluster, const TestNode &first, const TestNode &second)
{
    for (const DaemonName name : {"a", "b", "c"}) {
        if (name != first.name && name != second.name) {
            return cluster.nodeNamed(name);
        }
    }
    throw std::logic_error("no third voter");
}

} // namespace Filbertlanding
