/** @file raft_internal.h Functions that the parts of Raft share. Not for other folders. */

#pragma once

#include "replication/raft_func.h"
#include "replication/raft_role.h"

namespace Filbertlanding {

/** Returns the term of an entry, also of the last dropped one; nothing if it is not known. */
std::optional<std::uint64_t> entryTerm(const RaftState &state, std::uint64_t index);

/** Returns the term of the last entry. */
std::uint64_t lastLogTerm(const RaftState &state);

/** Appends an entry to the log; a membership is in force from here on. */
void appendEntry(RaftState &state, RaftActions &actions, LogEntry entry, TimePoint now);

/** Removes an entry that is not accepted and all after it. */
void truncateLog(RaftState &state, RaftActions &actions, std::uint64_t from, TimePoint now);

/** Drops entries up to an index from memory. */
void dropEntries(RaftState &state, std::uint64_t index, std::uint64_t term);

/** Returns entries from an index up to a last one, at most about maxBatchBytes. */
std::vector<LogEntry> entriesBetween(const RaftState &state, std::uint64_t from, std::uint64_t last);

/** Sets the commit index if it is higher than before. */
void commitUpTo(RaftState &state, std::uint64_t index);

/** Adds what every call ends with: the hard state, accepted entries to apply, a snapshot to install. */
void finishActions(RaftState &state, RaftActions &actions);

/** Queues a message. */
void sendTo(const RaftState &state, RaftActions &actions, const VoterId &to, std::uint64_t term, RaftBody body);

/** Returns whether a list holds an identity. */
bool holdsId(const std::vector<VoterId> &list, const VoterId &id);

/** Returns whether an identity is part of a membership. */
bool isMember(const Membership &membership, const VoterId &id);

/** Returns the highest incarnation of a daemon in a membership, or nothing. */
std::optional<std::uint64_t> newestIncarnation(const Membership &membership, const DaemonName &daemon);

/** Returns whether a membership has voters, each with a disk and under one identity. */
bool isWellFormed(const Membership &membership);

/** Returns whether the transitions can rely on a message: entries follow each other, memberships are valid, a part lies within its snapshot. */
bool isWellFormed(const RaftMessage &message);

/** Returns whether more than half of the voters satisfy a condition. */
template<class Condition>
bool isQuorum(const RaftState &state, Condition condition)
{
    const auto &voters = currentMembership(state).voters;
    std::size_t count = 0;
    for (const auto &voter : voters) {
        count += condition(voter) ? 1 : 0;
    }
    return count > voters.size() / 2;
}

/** Adapts the role and the leader's table of replicas to the membership in force. */
void membershipChanged(RaftState &state, TimePoint now);

/** Moves to a term that is at least the own one, as follower or learner; pending reads are answered NoQuorum. */
void becomeFollower(RaftState &state, RaftActions &actions, std::uint64_t term, TimePoint now);

/** Chooses the next election time at random; later for a follower that isn't serving. */
void resetElection(RaftState &state, TimePoint now);

void electionTick(RaftState &state, RaftActions &actions, TimePoint now);
void receiveVoteRequest(RaftState &state, RaftActions &actions, const RaftMessage &message, const VoteRequest &request, TimePoint now);
/** Stands for election in the next term, without pre-vote, if the leader of this replica's present term asks for it. */
void receiveTimeoutNow(RaftState &state, RaftActions &actions, const RaftMessage &message, TimePoint now);
void receiveTransferVoteRequest(RaftState &state, RaftActions &actions, const RaftMessage &message, const TransferVoteRequest &request, TimePoint now);
void receiveVoteAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const VoteAnswer &answer, TimePoint now);

/** Sends the next entries, snapshot part or a heartbeat to one replica. */
void sendAppend(RaftState &state, RaftActions &actions, const VoterId &to, RaftProgress &progress);
/** Starts a quorum round: one message to every replica. */
void startRound(RaftState &state, RaftActions &actions, TimePoint now);
void leaderTick(RaftState &state, RaftActions &actions, TimePoint now);
/** Accepts what a majority of voters has stored. */
void advanceCommit(RaftState &state, RaftActions &actions, TimePoint now);
/** Handles a message's term as one from the leader of that term; returns false for an old term. */
bool acceptLeader(RaftState &state, RaftActions &actions, const RaftMessage &message, TimePoint now);
/** Adds entries that follow a matching one; removes conflicting entries first. */
void placeEntries(RaftState &state, RaftActions &actions, const std::vector<LogEntry> &entries, TimePoint now);
void receiveAppend(RaftState &state, RaftActions &actions, const RaftMessage &message, const AppendRequest &request, TimePoint now);
void receiveAppendAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const AppendAnswer &answer, TimePoint now);
/** Checks the sender of an answer and notes that it follows; returns its progress, or nothing for a refused answer. */
RaftProgress *noteAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, std::uint64_t round, TimePoint now);

/** Returns whether this replica may be the leader: it is electable, or nobody else could take over. */
bool mayLead(const RaftState &state);
/** Ends a transfer of leadership that is under way if a successor has the whole log, or if it has taken too long. */
void continueTransfer(RaftState &state, RaftActions &actions, TimePoint now);
/** Sends NotServing to the leader, once in a while, if this voter should not be its successor. */
void reportNotServing(RaftState &state, RaftActions &actions, const VoterId &leader, TimePoint now);
void receiveNotServing(RaftState &state, const RaftMessage &message, TimePoint now);

/** Sends a ReplicaReport to the leader at the start of its term and then at intervals of the shortest election timeout. */
void reportSettings(RaftState &state, RaftActions &actions, const VoterId &leader, TimePoint now);
void receiveReport(RaftState &state, const RaftMessage &message, const ReplicaReport &report);
/**
 * Returns the members that newer replicas replace, by what all report of their settings. Such a member may go for good at any moment and
 * doesn't count as a lost one then. A wrong result never costs an accepted entry, but may leave a member that is being replaced among the voters.
 */
std::set<VoterId> findReplaced(const RaftState &state, TimePoint now);

/** Returns the availability zone that a member has reported in this term; empty if it is not known. */
ZoneName zoneOf(const RaftState &state, const VoterId &id);

/** Returns whether a replica has answered the leader within the shortest election timeout. */
bool isAnswering(const RaftState &state, const VoterId &id, TimePoint now);
/** Returns whether a replica holds all that is accepted. */
bool isCaughtUp(const RaftState &state, const VoterId &id);
/** Returns whether the last change is accepted and the leader has accepted an entry of its own term and stays the leader. */
bool mayChange(const RaftState &state);
/** Returns the index of the entry that admitted a daemon; 0 for a founding member, and for one that a version without admissions admitted. */
std::uint64_t admissionOf(const Membership &membership, const DaemonName &daemon);
/** Returns the admissions of the membership that the next entry introduces. */
std::vector<MemberAdmission> nextAdmissions(const RaftState &state, const Membership &next);
/** Adds a membership to the log, with the admissions that follow from the one in force. */
void appendMembership(RaftState &state, RaftActions &actions, Membership membership, TimePoint now);
/** Removes a daemon from a list under any incarnation. */
void eraseDaemon(std::vector<VoterId> &list, const DaemonName &daemon);
/** Returns the identity of a daemon in a list, or nullptr. */
const VoterId *findDaemon(const std::vector<VoterId> &list, const DaemonName &daemon);
/** Returns the membership with a new incarnation taken in, or nothing when there is nothing to do. */
std::optional<Membership> withJoiner(const RaftState &state, const VoterId &joiner, bool hasDisk);

/** Returns a part of the last snapshot. */
SnapshotChunk snapshotPart(const RaftState &state, std::uint64_t offset);
void receiveChunk(RaftState &state, RaftActions &actions, const RaftMessage &message, const SnapshotChunk &chunk, TimePoint now);
void receiveSnapshotAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const SnapshotAnswer &answer, TimePoint now);

/** Sends JoinRequest or FetchRequest when no leader is heard. */
void learnerTick(RaftState &state, RaftActions &actions, TimePoint now);
/** Asks the voters for a place in the membership: a replica that none lists, or, where voters are removed when silent, one without a leader. */
void askToJoin(RaftState &state, RaftActions &actions, TimePoint now);
void receiveJoin(RaftState &state, RaftActions &actions, const RaftMessage &message, const JoinRequest &request);
/** Lets the leader take the next step towards voters that answer, of which none is being replaced. */
void maintainMembership(RaftState &state, RaftActions &actions, TimePoint now);
void receiveFetch(RaftState &state, RaftActions &actions, const RaftMessage &message, const FetchRequest &request);
void receiveFetchAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const FetchAnswer &answer, TimePoint now);
/** Returns whether fetched entries may come from a replica. Only the name counts: a learner may not know of its newest incarnation yet. */
bool isZoneVoter(const RaftState &state, const VoterId &id);
/** Sends a FetchRequest to a voter of the own zone. */
void sendFetch(RaftState &state, RaftActions &actions);

/** Answers reads whose round has ended. */
void answerReads(RaftState &state, RaftActions &actions);

} // namespace Filbertlanding
